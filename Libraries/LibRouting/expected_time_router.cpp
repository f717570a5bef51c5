// Selection by expected time to first token.

#include <LibRouting/expected_time_router.hpp>

#include <LibCore/text.hpp>
#include <LibRouting/candidate_filter.hpp>

#include <algorithm>

namespace hyssoploft::routing {
namespace {

// Maximum number of keys in matching_. Fewer combinations of role, model and
// adapter are in use.
constexpr std::size_t max_matching_keys = 1024;

std::uint64_t prompt_hash(const routing_request& request)
{
    return request.prefix_hashes.empty() ? 0 : request.prefix_hashes.back();
}

route_option* best_of(
    std::vector<route_option>& options, bool local,
    double (*value)(const route_option&))
{
    route_option* best = nullptr;
    for (route_option& it : options)
    {
        if (it.local == local && (best == nullptr || value(it) < value(*best)))
        {
            best = &it;
        }
    }
    return best;
}

double seconds_of(const route_option& it)
{
    return it.expected_seconds;
}

double score_of(const route_option& it)
{
    return it.score();
}

} // namespace

expected_time_router::expected_time_router(
    const expected_time_settings& settings, core::random_source& random)
    : settings_(settings), random_(random), times_(settings.costs),
      prefixes_(settings.prefix), ejector_(settings.ejector),
      links_(settings.link)
{}

void expected_time_router::update(
    std::shared_ptr<const membership::fleet_view> fleet,
    std::shared_ptr<const resource::configuration> configuration,
    core::time_point now)
{
    // Upstreams of the first view don't ramp: they ran before this VM started.
    const bool first = fleet_ == nullptr;
    fleet_ = std::move(fleet);
    own_region_ = own_region(*fleet_);
    const auto self = fleet_->vms.find(fleet_->self);
    data_center_ =
        self == fleet_->vms.end() ? std::string() : self->second.data_center;
    alive_vms_ = std::max<double>(
        1, std::count_if(
               fleet_->vms.begin(), fleet_->vms.end(), [](const auto& it) {
                   return it.second.state == membership::vm_state::alive;
               }));
    links_.update(*fleet_, *configuration);
    matching_.clear();
    for (auto& [id, it] : slots_)
    {
        it->listed = false;
    }
    for (const auto& [id, record] : fleet_->upstreams)
    {
        auto& it = slots_[id];
        if (it == nullptr)
        {
            it = std::make_unique<upstream_slot>(
                settings_.load, settings_.ramp, next_number_++);
            it->record = record;
            if (!first)
            {
                it->ramp.start_ramp(now);
            }
        }
        refresh(*it, record, now);
    }
    for (auto it = slots_.begin(); it != slots_.end();)
    {
        upstream_slot& slot = *it->second;
        slot.health->serving =
            slot.listed &&
            slot.record.state == membership::upstream_state::serving;
        // Calls in flight still have to be finished.
        if (slot.listed || slot.load.own_in_flight() > 0)
        {
            ++it;
            continue;
        }
        prefixes_.remove_upstream(slot.number);
        ejector_.remove(it->first);
        it = slots_.erase(it);
    }
}

void expected_time_router::refresh(
    upstream_slot& it, const membership::upstream_record& record,
    core::time_point now)
{
    const bool restarted =
        it.record.incarnation != record.incarnation ||
        (it.record.state == membership::upstream_state::expired &&
         record.state == membership::upstream_state::serving);
    it.listed = true;
    it.record = record;
    it.health =
        &ejector_.add(record.id, core::concat(record.role, "/", record.region));
    if (restarted)
    {
        prefixes_.invalidate(it.number);
        it.ramp.start_ramp(now);
    }
    if (it.load.apply_report(record.load))
    {
        ejector_.record_report(*it.health, it.load.is_understated(), now);
    }
    it.load.set_distrusted(ejector_.is_distrusted(*it.health), alive_vms_);
}

const std::vector<upstream_slot*>&
expected_time_router::serving_upstreams(const routing_request& request)
{
    const std::string key =
        core::concat(request.role, "\n", request.model, "\n", request.adapter);
    const auto known = matching_.find(key);
    if (known != matching_.end())
    {
        return known->second;
    }
    if (matching_.size() >= max_matching_keys)
    {
        matching_.clear();
    }
    std::vector<upstream_slot*>& list = matching_[key];
    for (const auto& [id, it] : slots_)
    {
        if (it->listed &&
            it->record.state == membership::upstream_state::serving &&
            serves(it->record, request))
        {
            list.push_back(it.get());
        }
    }
    return list;
}

routing_result expected_time_router::choose(
    const routing_request& request, core::time_point now)
{
    routing_result result;
    if (fleet_ == nullptr)
    {
        return result;
    }
    std::vector<route_option> options =
        find_options(request, result.refusal, now);
    // A probe is sent to one upstream, whatever its expected time.
    if (const route_option* it = find_probe(options, now); it != nullptr)
    {
        return commit(*it, request, routing_reason::probe, now);
    }
    const auto ejected = std::stable_partition(
        options.begin(), options.end(), [&](const route_option& it) {
            return ejector_.state(*it.upstream->health, now) ==
                   health_state::healthy;
        });
    std::vector<route_option> ejected_options(ejected, options.end());
    options.erase(ejected, options.end());
    const bool healthy = !options.empty();
    drop_unaffordable(options, cost_of(request), now);
    // The peers of an ejected upstream can leave after its ejection. Use an
    // ejected upstream rather than refuse the call.
    const bool last_resort = options.empty();
    if (last_resort)
    {
        drop_unaffordable(ejected_options, cost_of(request), now);
        options = std::move(ejected_options);
    }
    if (options.empty())
    {
        result.refusal =
            healthy ? no_route_reason::link_budget_exhausted : result.refusal;
        return result;
    }
    const bool single_option = options.size() == 1;
    apply_affinity(options, request, now);
    filter_ramping(options, now);
    const route_option* local = best_of(options, true, seconds_of);
    const route_option* remote = best_of(options, false, seconds_of);
    const bool use_remote =
        remote != nullptr &&
        (local == nullptr ||
         local->expected_seconds - remote->expected_seconds >
             request.remote_price_seconds);
    const route_option& it =
        *choose_among_ties(options, *best_of(options, !use_remote, score_of));
    routing_reason reason = routing_reason::shortest_expected_time;
    if (last_resort)
    {
        reason = routing_reason::last_resort;
    }
    else if (single_option)
    {
        reason = routing_reason::only_candidate;
    }
    else if (use_remote)
    {
        reason = routing_reason::remote_gain;
    }
    else if (it.expected_seconds < it.uncached_seconds)
    {
        reason = routing_reason::prefix_affinity;
    }
    return commit(it, request, reason, now);
}

std::vector<route_option> expected_time_router::find_options(
    const routing_request& request, no_route_reason& refusal,
    core::time_point now)
{
    std::vector<route_option> options;
    const std::vector<upstream_slot*>& all = serving_upstreams(request);
    options.reserve(all.size());
    refusal = all.empty() ? no_route_reason::no_upstream
                          : no_route_reason::residency_forbids;
    for (upstream_slot* it : all)
    {
        const std::string& region = it->record.region;
        if (!region_allowed(region, request, own_region_))
        {
            continue;
        }
        refusal = no_route_reason::all_ejected_or_full;
        route_option option;
        option.upstream = it;
        option.local = region == own_region_;
        option.calls = it->load.calls(now);
        if (now >= it->paused_until &&
            option.calls < settings_.full_factor * it->capacity() &&
            !request.excluded.contains(it->record.id))
        {
            times_.estimate(
                option, request.prompt_tokens, 0, data_center_, now);
            options.push_back(option);
        }
    }
    return options;
}

void expected_time_router::drop_unaffordable(
    std::vector<route_option>& options, const link_cost& cost,
    core::time_point now)
{
    std::map<std::string, bool> affordable; // By region.
    std::erase_if(options, [&](const route_option& it) {
        if (it.local)
        {
            return false;
        }
        const std::string& region = it.upstream->record.region;
        auto known = affordable.find(region);
        if (known == affordable.end())
        {
            known =
                affordable.emplace(region, links_.has_budget(region, cost, now))
                    .first;
        }
        return !known->second;
    });
}

void expected_time_router::apply_affinity(
    std::vector<route_option>& options, const routing_request& request,
    core::time_point now) const
{
    if (request.prefix_hashes.empty())
    {
        return;
    }
    double calls = 0;
    double capacity = 0;
    for (const route_option& it : options)
    {
        calls += it.calls;
        capacity += it.upstream->capacity();
    }
    for (const prefix_match& m : prefixes_.match(request.prefix_hashes, now))
    {
        const auto it = std::find_if(
            options.begin(), options.end(), [&](const route_option& o) {
                return o.upstream->number == m.upstream;
            });
        if (it == options.end())
        {
            continue;
        }
        // Above the bound a cached prefix does not count, so that a hot prefix
        // does not overload the upstream that caches it.
        const double bound = settings_.affinity_load_bound * calls / capacity *
                                 it->upstream->capacity() +
                             1;
        if (it->calls <= bound)
        {
            const double cached = std::min<double>(
                request.prompt_tokens,
                static_cast<double>(m.blocks) * prefix_block_tokens);
            times_.estimate(
                *it, request.prompt_tokens, cached * m.probability,
                data_center_, now);
            it->cache_bonus =
                settings_.cache_bonus_share *
                std::max(0.0, it->uncached_seconds - it->expected_seconds);
        }
    }
}

route_option* expected_time_router::find_probe(
    std::vector<route_option>& options, core::time_point now)
{
    for (route_option& it : options)
    {
        upstream_health& health = *it.upstream->health;
        // Probes stay in the region: VMs of the upstream's region probe it
        // without using the link budget.
        if (it.local && ejector_.state(health, now) == health_state::probing &&
            !health.probe_running)
        {
            return &it;
        }
    }
    return nullptr;
}

void expected_time_router::filter_ramping(
    std::vector<route_option>& options, core::time_point now)
{
    // Each ramping upstream is a candidate in its share of the decisions.
    const auto middle = std::stable_partition(
        options.begin(), options.end(), [&](const route_option& it) {
            const double share = it.upstream->ramp.share(now);
            return share >= 1 || random_.uniform() < share;
        });
    if (middle != options.begin())
    {
        options.erase(middle, options.end());
    }
}

route_option* expected_time_router::choose_among_ties(
    std::vector<route_option>& options, const route_option& best)
{
    const double margin = std::max(
        settings_.tie_seconds, settings_.tie_share * best.expected_seconds);
    std::vector<route_option*> ties;
    for (route_option& it : options)
    {
        if (it.local == best.local && it.score() <= best.score() + margin)
        {
            ties.push_back(&it);
        }
    }
    if (ties.size() == 1)
    {
        return ties.front();
    }
    const std::size_t a = random_.below(ties.size());
    const std::size_t b =
        (a + 1 + random_.below(ties.size() - 1)) % ties.size();
    return ties[a]->score() <= ties[b]->score() ? ties[a] : ties[b];
}

routing_result expected_time_router::commit(
    const route_option& it, const routing_request& request,
    routing_reason reason, core::time_point now)
{
    upstream_slot& slot = *it.upstream;
    own_call call;
    call.start = now;
    call.prompt_tokens = request.prompt_tokens;
    call.prompt_hash = prompt_hash(request);
    call.work_tokens = it.work_tokens;
    call.uncached_tokens = it.uncached_tokens;
    call.wait_seconds = it.network_seconds + it.queue_seconds;
    call.first_token = core::from_seconds(it.expected_seconds);
    call.probe = reason == routing_reason::probe;
    call.remote = !it.local;
    if (call.remote)
    {
        call.bytes = cost_of(request);
        links_.charge(slot.record.region, call.bytes, now);
    }
    if (call.probe)
    {
        ejector_.begin_probe(*slot.health);
    }
    slot.load.add_call(call);
    prefixes_.record(slot.number, request.prefix_hashes, now);
    routing_result result;
    result.chosen = true;
    result.decision = {
        slot.record.id, slot.record.region, reason, call.first_token};
    return result;
}

void expected_time_router::record_first_token(
    const std::string& upstream, const routing_request& request,
    core::duration since_choice, core::time_point now)
{
    const auto found = slots_.find(upstream);
    if (found == slots_.end() || since_choice <= core::duration{})
    {
        return;
    }
    upstream_slot& slot = *found->second;
    const auto call = slot.load.record_first_token(
        request.prompt_tokens, prompt_hash(request), since_choice, now);
    // A probe is evaluated when it has finished.
    if (!call || call->answered || call->probe)
    {
        return;
    }
    const expected_time::speed_sample sample = times_.observe_first_token(
        slot, *call, core::to_seconds(since_choice), now);
    ejector_.record_first_token(*slot.health, sample.slowness, now);
}

void expected_time_router::record_result(
    const std::string& upstream, const routing_request& request,
    const call_result& result, core::time_point now)
{
    const auto found = slots_.find(upstream);
    if (found == slots_.end())
    {
        return;
    }
    upstream_slot& slot = *found->second;
    const auto call = slot.load.remove_call(
        request.prompt_tokens, prompt_hash(request), result.total, now);
    if (!call)
    {
        return;
    }
    if (call->remote)
    {
        links_.adjust(slot.record.region, call->bytes, result.bytes, now);
    }
    if (result.outcome == call_outcome::rejected_for_load)
    {
        slot.paused_until = now + settings_.rejected_pause;
    }
    const expected_time::speed_sample sample =
        times_.observe_result(slot, *call, result, now);
    const bool failed = result.outcome == call_outcome::failed;
    const bool conclusive = failed || result.outcome == call_outcome::completed;
    if (!call->probe)
    {
        if (conclusive)
        {
            ejector_.record_call(
                *slot.health, failed, sample.timed, sample.slowness, now);
        }
        return;
    }
    if (!conclusive)
    {
        ejector_.cancel_probe(*slot.health);
    }
    else if (ejector_.end_probe(*slot.health, failed, sample.slowness, now))
    {
        slot.ramp.start_ramp(now);
    }
}

void expected_time_router::apply_cache_event(
    const std::string& upstream, std::uint64_t sequence,
    const std::vector<std::uint64_t>& stored,
    const std::vector<std::uint64_t>& evicted, core::time_point now)
{
    const auto it = slots_.find(upstream);
    if (it != slots_.end())
    {
        prefixes_.apply_event(
            it->second->number, sequence, stored, evicted, now);
    }
}

link_cost expected_time_router::cost_of(const routing_request& request) const
{
    return {
        request.prompt_tokens * settings_.request_bytes_per_token,
        request.answer_limit * settings_.answer_bytes_per_token};
}

upstream_status expected_time_router::status_of(
    const std::string& upstream, core::time_point now) const
{
    const auto it = slots_.find(upstream);
    if (it == slots_.end())
    {
        return {};
    }
    const upstream_slot& slot = *it->second;
    return {slot.load.calls(now),    slot.load.own_in_flight(),
            times_.rates(slot, now), ejector_.state(*slot.health, now),
            slot.health->cause,      slot.ramp.share(now)};
}

} // namespace hyssoploft::routing
