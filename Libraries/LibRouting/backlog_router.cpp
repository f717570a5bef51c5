// Estimates waits and chooses upstreams.

#include <LibRouting/backlog_router.hpp>

#include <LibFleet/entry_directory.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <utility>

namespace hyssoploft::routing {

namespace {

using membership::upstream_record;

/// Weight of the newest observation in smoothed values.
constexpr double observation_weight = 0.05;
constexpr double failure_weight = 0.15;
/// Observations of shorter reads say little about the rate.
constexpr double min_observed_tokens = 3000;
/// An engine with many calls reads prompts that came later before the first
/// event of a call: only calls with fewer others' tokens ahead of them than
/// this part of their own say how fast it reads.
constexpr double observed_ahead = 0.1;
/// Bounds on the learned rate, in tokens per second.
constexpr double min_read_rate = 10'000;
constexpr double max_read_rate = 2'000'000;
/// Part of an engine's memory that holds cached parts; the rest belongs to
/// running requests.
constexpr double cached_share = 0.6;
/// At most so many VMs of a region send to one cold upstream, so that each of
/// them may send often enough to be useful.
constexpr std::uint32_t max_cold_senders = 4;
/// Preference for the upstream that every VM agrees on for a prompt, as a
/// part of the time that reading the shared parts takes.
constexpr double agreed_share = 3.0;
/// Options within this time of the best one count as equal.
constexpr double near_seconds = 0.003;
/// Upstreams that were not used for this long are forgotten.
constexpr std::chrono::seconds upstream_memory{60};
/// Told to callers whose home regions have no upstream, as in an evacuation,
/// which takes tens of seconds: to come back sooner is of no use.
constexpr std::chrono::seconds retry_after_residency{10};

std::uint64_t mix(std::uint64_t seed, const std::string& text)
{
    // Rendezvous hashing needs the same value in every process of a build.
    std::uint64_t out = seed ^ 0x9e3779b97f4a7c15U;
    for (const unsigned char c : text)
    {
        out = (out ^ c) * 0x100000001b3U;
    }
    out ^= out >> 33U;
    out *= 0xff51afd7ed558ccdU;
    return out ^ out >> 33U;
}

// The part that tells prompts of one subject from others: the last shared one.
std::uint64_t subject_of(const std::vector<prompt_part>& parts)
{
    return parts.size() < 2 ? 0 : parts[parts.size() - 2].id;
}

} // namespace

backlog_router::backlog_router(
    std::string region, const backlog_settings& settings,
    core::random_source& random)
    : region_(std::move(region)), settings_(settings), random_(random)
{}

bool backlog_router::cold_turn(
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
        std::uint32_t before = 0;
        const auto own = mix(1, it.id + view.fleet->self);
        for (const auto& [id, vm] : view.fleet->vms)
        {
            const bool rival = vm.entry && vm.region == region_ &&
                               vm.state == membership::vm_state::alive;
            before += rival && mix(1, it.id + id) > own ? 1 : 0;
        }
        if (before >= max_cold_senders)
        {
            return false;
        }
    }
    return now - state.cold_sent >= core::from_seconds(senders / rate);
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
    out.belief.running = running;
    const double capacity = std::max(1U, record.capacity);
    out.belief.expected_seconds = out.local ? 0.0 : settings_.region_round_trip;
    if (request.prompt_tokens == 0)
    {
        const double mean = learned.service_seconds > 0
                                ? learned.service_seconds
                                : settings_.prior_service_seconds;
        out.belief.expected_seconds +=
            mean * (1.0 + std::max(0.0, running + 1 - capacity) / capacity);
        // A small preference for the emptier of two upstreams with free slots.
        out.score =
            out.belief.expected_seconds + 0.1 * mean * running / capacity;
        return;
    }
    const double rate =
        learned.read_rate > 0 ? learned.read_rate : settings_.prior_read_rate;
    const double speed =
        rate / (1.0 + settings_.running_slowdown * std::min(running, capacity));
    const auto cached = std::min(
        request.prompt_tokens, out.state->cache.cached_tokens(request.parts));
    out.belief.read_tokens = request.prompt_tokens - cached;
    out.belief.ahead_tokens =
        static_cast<double>(out.state->waiting_tokens) +
        (others == view.loads.end() ? 0.0 : others->second.waiting_tokens);
    const double queued = std::max(0.0, running + 1 - capacity);
    // A request without a slot waits for one of the running ones to end, which
    // takes about a second each on average.
    out.wait_seconds = out.belief.ahead_tokens / speed + queued / capacity;
    out.belief.expected_seconds +=
        settings_.base_seconds +
        (out.belief.ahead_tokens + out.belief.read_tokens) / speed +
        queued / capacity;
    out.backlog_seconds = out.belief.ahead_tokens / rate;
    out.score =
        out.belief.expected_seconds +
        pause_harm(
            out.belief, speed,
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
    state.used = now;
    if (local && !cold_turn(view, it, state, now))
    {
        return std::nullopt;
    }
    option out;
    out.record = &it;
    out.state = &state;
    out.local = local;
    estimate(out, view, request);
    out.fallback = state.paused_until > now;
    out.belief.expected_seconds +=
        settings_.failure_seconds * state.failure_share;
    out.score += settings_.failure_seconds * state.failure_share +
                 (it.silent ? settings_.silent_seconds : 0.0);
    return out;
}

const backlog_router::option* backlog_router::best_of(
    const std::vector<option>& options, bool local, bool fallback) const
{
    const option* best = nullptr;
    std::uint32_t near = 0;
    for (const auto& it : options)
    {
        if (it.local != local || it.fallback != fallback)
        {
            continue;
        }
        if (!best || it.score < best->score - near_seconds)
        {
            best = &it;
            near = 1;
        }
        else if (it.score < best->score + near_seconds)
        {
            ++near;
            best = random_.below(near) == 0 ? &it : best;
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
    bool permitted = false; // Some serve it where it may run.
    std::map<std::string, bool> served_regions;
    for (const auto& [id, it] : view.fleet->upstreams)
    {
        if (it.role != request.role ||
            it.state != membership::upstream_state::serving)
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
        if (auto made = make_option(view, it, request, now))
        {
            options.push_back(*made);
        }
    }
    const auto subject = subject_of(request.parts);
    // Every VM prefers the same upstream of a region for a subject, so that
    // its shared parts are read once.
    if (subject != 0)
    {
        std::map<std::string, std::pair<std::uint64_t, option*>> agreed;
        for (auto& it : options)
        {
            const auto rank = mix(subject, it.record->id);
            auto& top = agreed[it.record->region];
            if (!top.second || rank > top.first)
            {
                top = {rank, &it};
            }
        }
        const double shared =
            request.prompt_tokens - request.parts.back().tokens;
        for (auto& [region, top] : agreed)
        {
            top.second->score -= agreed_share * std::max(0.0, shared) /
                                 settings_.prior_read_rate;
        }
    }
    const auto* local = best_of(options, true, false);
    const double draw = subject == 0
                            ? random_.uniform()
                            : static_cast<double>(mix(subject, "region")) /
                                  18446744073709551616.0; // 2^64
    const auto helping =
        request.prompt_tokens > 0 && !request.local_only
            ? region_to_help(
                  options, draw,
                  core::to_seconds(view.routes->pause_target_of(request.role)))
            : std::string();
    if (!helping.empty())
    {
        std::erase_if(options, [&](const option& it) {
            return !it.local && it.record->region != helping;
        });
        local = best_of(options, true, false);
    }
    const auto* remote = best_of(options, false, false);
    const double target = core::to_seconds(request.latency_target);
    const double limit = settings_.local_share * target;
    const option* best = local;
    auto reason = placement_reason::shortest_wait;
    const bool helped =
        remote && !helping.empty() &&
        (!local || remote->belief.expected_seconds <
                       std::max(limit, local->belief.expected_seconds));
    const bool leave =
        remote && (!local || helped ||
                   (local->belief.expected_seconds > limit &&
                    remote->belief.expected_seconds + settings_.region_gain <
                        local->belief.expected_seconds));
    if (leave)
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
        const bool tried =
            !request.excluded.empty() || !request.excluded_regions.empty();
        const bool forbidden = serves && !permitted && !tried;
        out.refusal = tried       ? no_placement::all_tried
                      : forbidden ? no_placement::residency_forbids
                      : serves    ? no_placement::all_tried
                                  : no_placement::no_upstream;
        out.retry_after = forbidden ? core::duration(retry_after_residency)
                                    : retry_after(request);
        return out;
    }
    out.belief = best->belief;
    if (best->belief.expected_seconds > core::to_seconds(request.time_left))
    {
        out.refusal = no_placement::deadline_too_near;
        out.retry_after = retry_after(request);
        return out;
    }
    const bool overloaded =
        request.prompt_tokens > 0 && target > 0 &&
        best->wait_seconds > settings_.backlog_limit * target;
    if (overloaded)
    {
        out.refusal = no_placement::backlog_full;
        out.retry_after = retry_after(request);
        return out;
    }
    return commit(*best, request, reason, now);
}

core::duration
backlog_router::retry_after(const placement_request& request) const
{
    // Spread over the time in which a backlog of one latency target is read.
    const double target =
        std::max(0.2, core::to_seconds(request.latency_target));
    return core::from_seconds(target * (0.3 + 0.7 * random_.uniform()));
}

placement_result backlog_router::commit(
    const option& it, const placement_request& request, placement_reason reason,
    core::time_point now)
{
    placement_result out;
    out.belief = it.belief;
    placement chosen;
    chosen.ticket = next_ticket_++;
    chosen.upstream = it.record->id;
    chosen.region = it.record->region;
    chosen.local = it.local;
    chosen.reason = reason;
    running_call call;
    call.upstream = it.record->id;
    call.role = it.record->role;
    call.read_tokens = it.belief.read_tokens;
    call.ahead_tokens = it.belief.ahead_tokens;
    call.started = now;
    call.local = it.local;
    call.engine = request.prompt_tokens > 0;
    it.state->running += 1;
    it.state->waiting_tokens += it.belief.read_tokens;
    if (it.record->cold_until > now && it.local)
    {
        it.state->cold_sent = now;
    }
    if (call.engine)
    {
        it.state->cache.use(
            request.parts,
            static_cast<std::uint64_t>(
                cached_share * static_cast<double>(request.memory_tokens)));
    }
    calls_.emplace(chosen.ticket, std::move(call));
    out.chosen = std::move(chosen);
    return out;
}

void backlog_router::first_event(std::uint64_t ticket, core::time_point now)
{
    const auto found = calls_.find(ticket);
    if (found == calls_.end() || found->second.answered)
    {
        return;
    }
    auto& call = found->second;
    call.answered = true;
    if (call.counted)
    {
        auto& state = upstreams_[call.upstream];
        state.waiting_tokens -=
            std::min<std::uint64_t>(state.waiting_tokens, call.read_tokens);
    }
    const double seconds = core::to_seconds(now - call.started);
    auto& role = roles_[call.role];
    if (!call.engine)
    {
        role.service_seconds =
            role.service_seconds > 0
                ? role.service_seconds +
                      observation_weight * (seconds - role.service_seconds)
                : seconds;
        return;
    }
    if (call.ahead_tokens > observed_ahead * call.read_tokens)
    {
        return;
    }
    const double tokens = call.read_tokens + call.ahead_tokens;
    const double reading = seconds - settings_.base_seconds -
                           (call.local ? 0.0 : settings_.region_round_trip);
    if (tokens < min_observed_tokens || reading <= 0)
    {
        return;
    }
    const double rate =
        std::clamp(tokens / reading, min_read_rate, max_read_rate);
    const double known =
        role.read_rate > 0 ? role.read_rate : settings_.prior_read_rate;
    role.read_rate = known + observation_weight * (rate - known);
}

void backlog_router::uncount(running_call& it)
{
    if (!std::exchange(it.counted, false))
    {
        return;
    }
    auto& state = upstreams_[it.upstream];
    state.running -= std::min(state.running, 1U);
    if (!it.answered)
    {
        state.waiting_tokens -=
            std::min<std::uint64_t>(state.waiting_tokens, it.read_tokens);
    }
}

void backlog_router::finished(
    std::uint64_t ticket, call_end end, core::time_point now)
{
    const auto found = calls_.find(ticket);
    if (found == calls_.end())
    {
        return;
    }
    auto call = std::move(found->second);
    calls_.erase(found);
    uncount(call);
    auto& state = upstreams_[call.upstream];
    const auto observe_failure = [&](double value) {
        state.failure_share += failure_weight * (value - state.failure_share);
    };
    switch (end)
    {
    case call_end::completed:
        state.unreachable = 0;
        observe_failure(0);
        return;
    case call_end::rejected:
        state.paused_until = now + settings_.rejected_pause;
        return;
    case call_end::misplaced:
    case call_end::unreachable: {
        state.cache.clear();
        const double factor = std::pow(2.0, std::min(state.unreachable, 8U));
        state.unreachable += 1;
        state.paused_until =
            now + std::min<core::duration>(
                      settings_.max_pause,
                      core::from_seconds(
                          core::to_seconds(settings_.first_pause) * factor));
        return;
    }
    case call_end::broken:
        observe_failure(1);
        return;
    case call_end::errored:
        observe_failure(0.5);
        return;
    case call_end::cancelled:
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
        row.waiting_tokens += it.answered ? 0 : it.read_tokens;
    }
    std::vector<fleet::load_row> out;
    for (auto& [id, it] : rows)
    {
        out.push_back(std::move(it));
    }
    return out;
}

void backlog_router::tick(const fleet::traffic_view& view, core::time_point now)
{
    for (auto& [ticket, it] : calls_)
    {
        if (!it.local && now - it.started > settings_.report_lag)
        {
            uncount(it);
        }
    }
    std::erase_if(upstreams_, [&](const auto& it) {
        return it.second.running == 0 &&
               !view.fleet->upstreams.contains(it.first) &&
               now - it.second.used > upstream_memory;
    });
}

} // namespace hyssoploft::routing
