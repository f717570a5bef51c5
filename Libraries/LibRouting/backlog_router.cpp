// Estimates the time to first event of each upstream and places calls.

#include <LibRouting/backlog_router.hpp>

#include <LibCore/rendezvous.hpp>
#include <LibFleet/entry_directory.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <utility>

namespace hyssoploft::routing {

namespace {

using membership::upstream_record;

/// Weights of the newest sample in exponential moving averages.
constexpr double observation_weight = 0.05;
constexpr double failure_weight = 0.15;
/// Shorter prefills are dominated by fixed costs and don't show the rate.
constexpr double min_sample_tokens = 3000;
/// Under load, an engine also prefills later prompts before a call's first
/// event. The prefill rate is learned only from calls whose queued tokens are
/// at most this part of their own.
constexpr double max_queued_share = 0.1;
/// Bounds on the learned prefill rate, in tokens per second.
constexpr double min_prefill_rate = 10'000;
constexpr double max_prefill_rate = 2'000'000;
/// Part of an engine's memory that caches prompts; the rest holds running
/// requests.
constexpr double cache_memory_share = 0.6;
/// At most this many VMs of a region send to one cold upstream. The permitted
/// rate is divided by them and would be too low for each one otherwise.
constexpr std::uint32_t max_cold_senders = 4;
/// Bonus for the upstream that rendezvous hashing selects for a prompt, as a
/// multiple of the time to prefill its shared parts.
constexpr double affinity_factor = 3.0;
/// Candidates whose scores differ by less than this are chosen at random.
constexpr double tie_seconds = 0.003;
/// State of an unlisted upstream is removed after this time without a call.
constexpr std::chrono::seconds upstream_state_ttl{60};
/// Retry delay for callers whose allowed regions have no upstream, as in an
/// evacuation. It lasts tens of seconds, so earlier retries would fail again.
constexpr std::chrono::seconds residency_retry_after{10};

// Identifies prompts with the same prefix: the id of the last shared part.
std::uint64_t shared_prefix_id(const std::vector<prompt_part>& parts)
{
    return parts.size() < 2 ? 0 : parts[parts.size() - 2].id;
}

} // namespace

backlog_router::backlog_router(
    std::string region, const backlog_settings& settings,
    core::random_source& random)
    : region_(std::move(region)), settings_(settings), random_(random),
      waits_(settings.max_wait_share)
{}

bool backlog_router::may_send_cold_call(
    const fleet::traffic_view& view, const upstream_record& it,
    const upstream_state& state, core::time_point now) const
{
    const auto* role = view.routes->find_role(it.role);
    const double rate = role ? role->cold_requests_per_second : 0;
    if (it.cold_until <= now || rate <= 0)
    {
        return true;
    }
    const auto senders = std::min(max_cold_senders, view.region_entry_vms);
    if (view.region_entry_vms > max_cold_senders)
    {
        std::uint32_t higher_ranked = 0;
        const auto own_rank =
            core::rendezvous_hash(1, it.id + view.fleet->self);
        for (const auto& [id, vm] : view.fleet->vms)
        {
            const bool is_sender = vm.entry && vm.region == region_ &&
                                   vm.state == membership::vm_state::alive;
            higher_ranked +=
                is_sender && core::rendezvous_hash(1, it.id + id) > own_rank
                    ? 1
                    : 0;
        }
        if (higher_ranked >= max_cold_senders)
        {
            return false;
        }
    }
    return now - state.last_cold_call >= core::from_seconds(senders / rate);
}

void backlog_router::estimate(
    option& out, const fleet::traffic_view& view,
    const placement_request& request) const
{
    const auto& record = *out.record;
    const auto found = roles_.find(record.role);
    const role_state learned =
        found == roles_.end() ? role_state() : found->second;
    const auto others = view.loads.find(record.id);
    const double running =
        out.state->running +
        (others == view.loads.end() ? 0.0 : others->second.running);
    out.estimate.running = running;
    const double capacity = std::max(1U, record.capacity);
    out.estimate.expected_seconds =
        out.local ? 0.0 : settings_.region_round_trip_seconds;
    if (request.prompt_tokens == 0)
    {
        const double mean = learned.service_seconds > 0
                                ? learned.service_seconds
                                : settings_.prior_service_seconds;
        out.estimate.expected_seconds +=
            mean * (1.0 + std::max(0.0, running + 1 - capacity) / capacity);
        // Prefers the less loaded of two upstreams with free slots.
        out.score =
            out.estimate.expected_seconds + 0.1 * mean * running / capacity;
        return;
    }
    const double rate = learned.prefill_rate > 0 ? learned.prefill_rate
                                                 : settings_.prior_prefill_rate;
    const double effective_rate =
        rate /
        (1.0 + settings_.slowdown_per_request * std::min(running, capacity));
    const auto cached = std::min(
        request.prompt_tokens,
        std::max(
            out.assumed_cached, out.state->cache.cached_tokens(request.parts)));
    out.estimate.uncached_tokens = request.prompt_tokens - cached;
    out.estimate.queued_tokens =
        static_cast<double>(out.state->waiting_tokens) +
        (others == view.loads.end() ? 0.0 : others->second.waiting_tokens);
    const double queued = std::max(0.0, running + 1 - capacity);
    // A request without a slot waits for a running one to end. A request takes
    // about one second on average.
    out.wait_seconds =
        out.estimate.queued_tokens / effective_rate + queued / capacity;
    out.estimate.expected_seconds +=
        settings_.base_latency_seconds +
        (out.estimate.queued_tokens + out.estimate.uncached_tokens) /
            effective_rate +
        queued / capacity;
    out.backlog_seconds = out.estimate.queued_tokens / rate;
    out.score =
        out.estimate.expected_seconds +
        pause_penalty(
            out.estimate, effective_rate,
            core::to_seconds(view.routes->pause_target_of(record.role)));
}

std::optional<backlog_router::option> backlog_router::make_option(
    const fleet::traffic_view& view, const upstream_record& it,
    const placement_request& request, core::time_point now)
{
    const bool usable = it.role == request.role &&
                        it.state == membership::upstream_state::serving &&
                        !view.evacuated.contains(it.data_center) &&
                        !request.excluded.contains(it.id);
    const bool local = it.region == region_;
    const bool allowed = request.allowed_regions.empty() ||
                         request.allowed_regions.contains(it.region);
    if (!usable || !allowed || (!local && request.local_only) ||
        (!local && request.excluded_regions.contains(it.region)))
    {
        return std::nullopt;
    }
    auto& state = upstreams_[it.id];
    state.last_used = now;
    if (local && !may_send_cold_call(view, it, state, now))
    {
        return std::nullopt;
    }
    option out;
    out.record = &it;
    out.state = &state;
    out.local = local;
    out.fallback = state.paused_until > now;
    evaluate(out, view, request);
    return out;
}

void backlog_router::evaluate(
    option& out, const fleet::traffic_view& view,
    const placement_request& request) const
{
    estimate(out, view, request);
    const double penalty =
        settings_.failure_penalty_seconds * out.state->failure_rate;
    out.estimate.expected_seconds += penalty;
    out.score +=
        penalty + (out.record->silent ? settings_.silent_penalty_seconds : 0.0);
}

// Rendezvous hashing: every VM prefers the same upstream of a region for a
// shared prefix, so that only one upstream has to prefill it. A VM sees few of
// the calls that share a prefix. In its own region it takes the prefix as
// cached at that upstream, because the other VMs send their calls there.
void backlog_router::prefer_agreed_upstreams(
    std::vector<option>& options, const fleet::traffic_view& view,
    const placement_request& request) const
{
    const auto prefix_id = shared_prefix_id(request.parts);
    std::map<std::string, std::pair<std::uint64_t, option*>> preferred;
    for (auto& it : options)
    {
        const auto rank = core::rendezvous_hash(prefix_id, it.record->id);
        auto& highest = preferred[it.record->region];
        if (!highest.second || rank > highest.first)
        {
            highest = {rank, &it};
        }
    }
    const auto shared =
        request.prompt_tokens -
        std::min(request.prompt_tokens, request.parts.back().tokens);
    for (auto& [region, highest] : preferred)
    {
        auto& it = *highest.second;
        if (it.local)
        {
            it.assumed_cached = shared;
            evaluate(it, view, request);
        }
        it.score -= affinity_factor * shared / settings_.prior_prefill_rate;
    }
}

const backlog_router::option* backlog_router::best_of(
    const std::vector<option>& options, bool local, bool fallback) const
{
    const option* best = nullptr;
    std::uint32_t ties = 0;
    for (const auto& it : options)
    {
        if (it.local != local || it.fallback != fallback)
        {
            continue;
        }
        if (!best || it.score < best->score - tie_seconds)
        {
            best = &it;
            ties = 1;
        }
        else if (it.score < best->score + tie_seconds)
        {
            ++ties;
            best = random_.below(ties) == 0 ? &it : best;
        }
    }
    return best;
}

placement_result backlog_router::choose(
    const fleet::traffic_view& view, const placement_request& request,
    core::time_point now)
{
    placement_result out;
    std::vector<option> options;
    bool serves = false;
    bool permitted = false; // An upstream in an allowed region serves it.
    std::optional<core::time_point> first_pause_end;
    std::map<std::string, bool> served_regions;
    for (const auto& [id, it] : view.fleet->upstreams)
    {
        if (it.role != request.role ||
            it.state != membership::upstream_state::serving ||
            leaving_.contains(id, it.incarnation))
        {
            continue;
        }
        serves = true;
        permitted |= !view.evacuated.contains(it.data_center) &&
                     (request.allowed_regions.empty() ||
                      request.allowed_regions.contains(it.region));
        if (it.region != region_)
        {
            const auto known = served_regions.try_emplace(
                it.region,
                !fleet::relay_vms_of(*view.fleet, it.region).empty());
            if (!known.first->second)
            {
                continue;
            }
        }
        auto made = make_option(view, it, request, now);
        if (made && may_be_called(it, now, first_pause_end))
        {
            options.push_back(*made);
        }
    }
    const auto prefix_id = shared_prefix_id(request.parts);
    if (prefix_id != 0)
    {
        prefer_agreed_upstreams(options, view, request);
    }
    const double draw =
        prefix_id == 0
            ? random_.uniform()
            : static_cast<double>(core::rendezvous_hash(prefix_id, "region")) /
                  18446744073709551616.0; // 2^64
    const auto overflow_region =
        request.prompt_tokens > 0 && !request.local_only
            ? choose_overflow_region(
                  options, draw,
                  core::to_seconds(view.routes->pause_target_of(request.role)))
            : std::string();
    if (!overflow_region.empty())
    {
        std::erase_if(options, [&](const option& it) {
            return !it.local && it.record->region != overflow_region;
        });
    }
    const std::size_t compared =
        request.prompt_tokens > 0
            ? keep_compared_engines(options, view, request, now)
            : 0;
    const auto* local = best_of(options, true, false);
    const auto* remote = best_of(options, false, false);
    const double target = core::to_seconds(request.latency_target);
    const double limit = settings_.local_latency_share * target;
    const option* best = local;
    auto reason = placement_reason::shortest_wait;
    const bool share_backlog =
        remote && !overflow_region.empty() &&
        (!local || remote->estimate.expected_seconds <
                       std::max(limit, local->estimate.expected_seconds));
    const double max_wait = waits_.max_wait_seconds(
        request.role, request.urgency, request.latency_target, now);
    const bool use_remote =
        remote && (!local || share_backlog ||
                   (local->estimate.expected_seconds > limit &&
                    remote->estimate.expected_seconds +
                            settings_.min_region_gain_seconds <
                        local->estimate.expected_seconds));
    if (use_remote)
    {
        best = remote;
        reason = placement_reason::other_region;
    }
    if (!best)
    {
        best = best_of(options, true, true);
        best = best ? best : best_of(options, false, true);
        reason = placement_reason::last_resort;
    }
    if (!best)
    {
        const bool has_tried =
            !request.excluded.empty() || !request.excluded_regions.empty();
        const bool is_forbidden = serves && !permitted && !has_tried;
        out.refusal = has_tried      ? placement_refusal::all_tried
                      : is_forbidden ? placement_refusal::residency_forbids
                      : serves       ? placement_refusal::all_tried
                                     : placement_refusal::no_upstream;
        out.retry_after = is_forbidden ? core::duration(residency_retry_after)
                                       : retry_after(request);
        if (first_pause_end)
        {
            // Spread beyond the end, where calls return in steps.
            out.retry_after += *first_pause_end - now;
        }
        return out;
    }
    out.estimate = best->estimate;
    out.estimate.wait_seconds = best->wait_seconds;
    out.estimate.max_wait_seconds = max_wait;
    out.estimate.compared = compared;
    if (best->estimate.expected_seconds > core::to_seconds(request.time_left))
    {
        out.refusal = placement_refusal::deadline_too_near;
        out.retry_after = retry_after(request);
        return out;
    }
    const bool overloaded = request.prompt_tokens > 0 && target > 0 &&
                            best->wait_seconds > max_wait;
    if (request.prompt_tokens > 0 && target > 0)
    {
        waits_.record(
            request.role, request.urgency, request.latency_target, !overloaded,
            now);
    }
    if (overloaded)
    {
        out.refusal = placement_refusal::backlog_full;
        out.retry_after = retry_after(request);
        return out;
    }
    out.chosen = commit(*best, request, reason, now);
    return out;
}

core::duration
backlog_router::retry_after(const placement_request& request) const
{
    // Random, to spread retries over the time that the backlog needs to clear.
    const double target =
        std::max(0.2, core::to_seconds(request.latency_target));
    return core::from_seconds(target * (0.3 + 0.7 * random_.uniform()));
}

placement backlog_router::commit(
    const option& it, const placement_request& request, placement_reason reason,
    core::time_point now)
{
    placement chosen;
    chosen.ticket = next_ticket_++;
    chosen.upstream = it.record->id;
    chosen.region = it.record->region;
    chosen.local = it.local;
    chosen.reason = reason;
    running_call call;
    call.upstream = it.record->id;
    call.role = it.record->role;
    call.uncached_tokens = it.estimate.uncached_tokens;
    call.queued_tokens = it.estimate.queued_tokens;
    call.started = now;
    call.local = it.local;
    call.is_engine = request.prompt_tokens > 0;
    it.state->running += 1;
    it.state->waiting_tokens += it.estimate.uncached_tokens;
    if (call.is_engine && it.local)
    {
        roles_[call.role].placements.add(now);
    }
    if (it.record->cold_until > now && it.local)
    {
        it.state->last_cold_call = now;
    }
    if (call.is_engine)
    {
        it.state->cache.add_prompt(
            request.parts, static_cast<std::uint64_t>(
                               cache_memory_share *
                               static_cast<double>(request.memory_tokens)));
    }
    calls_.emplace(chosen.ticket, std::move(call));
    return chosen;
}

void backlog_router::record_first_event(
    std::uint64_t ticket, core::time_point now)
{
    const auto found = calls_.find(ticket);
    if (found == calls_.end() || found->second.first_event_received)
    {
        return;
    }
    auto& call = found->second;
    call.first_event_received = true;
    if (call.in_load)
    {
        auto& state = upstreams_[call.upstream];
        state.waiting_tokens -=
            std::min<std::uint64_t>(state.waiting_tokens, call.uncached_tokens);
    }
    const double seconds = core::to_seconds(now - call.started);
    auto& role = roles_[call.role];
    if (!call.is_engine)
    {
        role.service_seconds =
            role.service_seconds > 0
                ? role.service_seconds +
                      observation_weight * (seconds - role.service_seconds)
                : seconds;
        return;
    }
    if (call.queued_tokens > max_queued_share * call.uncached_tokens)
    {
        return;
    }
    const double tokens = call.uncached_tokens + call.queued_tokens;
    const double prefill_seconds =
        seconds - settings_.base_latency_seconds -
        (call.local ? 0.0 : settings_.region_round_trip_seconds);
    if (tokens < min_sample_tokens || prefill_seconds <= 0)
    {
        return;
    }
    const double rate = std::clamp(
        tokens / prefill_seconds, min_prefill_rate, max_prefill_rate);
    const double known = role.prefill_rate > 0 ? role.prefill_rate
                                               : settings_.prior_prefill_rate;
    role.prefill_rate = known + observation_weight * (rate - known);
}

void backlog_router::remove_from_load(running_call& it)
{
    if (!std::exchange(it.in_load, false))
    {
        return;
    }
    auto& state = upstreams_[it.upstream];
    state.running -= std::min(state.running, 1U);
    if (!it.first_event_received)
    {
        state.waiting_tokens -=
            std::min<std::uint64_t>(state.waiting_tokens, it.uncached_tokens);
    }
}

void backlog_router::finish_call(
    std::uint64_t ticket, placement_outcome end, core::time_point now)
{
    const auto found = calls_.find(ticket);
    if (found == calls_.end())
    {
        return;
    }
    auto call = std::move(found->second);
    calls_.erase(found);
    remove_from_load(call);
    auto& state = upstreams_[call.upstream];
    const auto update_failure_rate = [&](double value) {
        state.failure_rate += failure_weight * (value - state.failure_rate);
    };
    switch (end)
    {
    case placement_outcome::completed:
        state.consecutive_unreachable = 0;
        update_failure_rate(0);
        return;
    case placement_outcome::rejected:
        state.paused_until = now + settings_.rejected_pause;
        return;
    case placement_outcome::misplaced:
    case placement_outcome::unreachable: {
        state.cache.clear();
        const double factor =
            std::pow(2.0, std::min(state.consecutive_unreachable, 8U));
        state.consecutive_unreachable += 1;
        state.paused_until =
            now + std::min<core::duration>(
                      settings_.max_pause,
                      core::from_seconds(
                          core::to_seconds(settings_.initial_pause) * factor));
        return;
    }
    case placement_outcome::broken:
        update_failure_rate(1);
        return;
    case placement_outcome::errored:
        update_failure_rate(0.5);
        return;
    case placement_outcome::cancelled:
        return;
    }
}

std::vector<fleet::load_row> backlog_router::own_loads() const
{
    std::map<std::string, fleet::load_row> rows;
    for (const auto& [ticket, it] : calls_)
    {
        if (!it.local)
        {
            continue;
        }
        auto& row = rows[it.upstream];
        row.upstream = it.upstream;
        row.running += 1;
        row.waiting_tokens += it.first_event_received ? 0 : it.uncached_tokens;
    }
    std::vector<fleet::load_row> out;
    for (auto& [id, it] : rows)
    {
        out.push_back(std::move(it));
    }
    return out;
}

void backlog_router::remove_stale_state(
    const fleet::traffic_view& view, core::time_point now)
{
    for (auto& [ticket, it] : calls_)
    {
        if (!it.local && now - it.started > settings_.report_lag)
        {
            remove_from_load(it);
        }
    }
    std::erase_if(upstreams_, [&](const auto& it) {
        return it.second.running == 0 &&
               !view.fleet->upstreams.contains(it.first) &&
               now - it.second.last_used > upstream_state_ttl;
    });
    leaving_.remove_stale(*view.fleet, now);
    remove_ended_pauses(now);
}

} // namespace hyssoploft::routing
