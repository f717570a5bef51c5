#ifndef HYSSOPLOFT_LIBROUTING_BACKLOG_ROUTER_HPP
#define HYSSOPLOFT_LIBROUTING_BACKLOG_ROUTER_HPP

// Places a call at the upstream with the shortest expected time to its first
// event. An engine is modelled by its backlog of prompt tokens and its running
// requests, a plain service by its calls in flight. Calls leave this VM's
// region only to meet the latency target or to share a backlog.
//
// Not thread safe: one traffic thread owns it. Does no I/O and reads no clock.

#include <LibCore/enum_table.hpp>
#include <LibCore/random_source.hpp>
#include <LibCore/time.hpp>
#include <LibFleet/leaving_upstreams.hpp>
#include <LibFleet/paused_upstreams.hpp>
#include <LibFleet/traffic_view.hpp>
#include <LibRouting/engine_sample.hpp>
#include <LibRouting/event_rate.hpp>
#include <LibRouting/prompt_cache.hpp>
#include <LibRouting/urgency_limits.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssoploft::routing {

struct placement_request
{
    std::string role;
    std::uint32_t prompt_tokens = 0; ///< 0 for a plain service.
    std::uint32_t answer_tokens = 0;
    std::vector<prompt_part> parts;  ///< In order; the last is not shared.
    std::uint64_t memory_tokens = 0; ///< Cache of each engine of the role.
    std::set<std::string> allowed_regions; ///< Empty: all.
    std::set<std::string> excluded;        ///< Upstreams already tried.
    std::set<std::string> excluded_regions;
    core::duration latency_target{};
    core::duration time_left{};
    std::uint32_t urgency = 0; ///< 0 is the most urgent.
    bool local_only = false;   ///< The call came from another VM.
};

enum class placement_reason : std::uint8_t
{
    shortest_wait,
    other_region, ///< To meet the target or share the backlog.
    last_resort   ///< Only paused upstreams are left.
};

inline constexpr core::enum_table<placement_reason, 3> placement_reason_names{
    {{placement_reason::shortest_wait, "shortest_wait"},
     {placement_reason::other_region, "other_region"},
     {placement_reason::last_resort, "last_resort"}}};

enum class placement_refusal : std::uint8_t
{
    no_upstream,       ///< No upstream serves this role now.
    residency_forbids, ///< No upstream that serves it is allowed.
    all_tried,         ///< Each was tried or accepts no calls now.
    deadline_too_near, ///< The first event would miss the deadline.
    backlog_full       ///< The queueing delay would be too long.
};

inline constexpr core::enum_table<placement_refusal, 5> placement_refusal_names{
    {{placement_refusal::no_upstream, "no_upstream"},
     {placement_refusal::residency_forbids, "residency_forbids"},
     {placement_refusal::all_tried, "all_tried"},
     {placement_refusal::deadline_too_near, "deadline_too_near"},
     {placement_refusal::backlog_full, "backlog_full"}}};

/// The estimate for the upstream that was chosen, or, after a refusal, for the
/// best one.
struct placement_estimate
{
    double expected_seconds = 0; ///< To the first event.
    double queued_tokens = 0;    ///< Prompt tokens queued before this call.
    std::uint32_t uncached_tokens = 0; ///< Prompt tokens that are not cached.
    double running = 0;          ///< Calls at the upstream, without this one.
    double wait_seconds = 0;     ///< Delay by other calls; engines only.
    double max_wait_seconds = 0; ///< With which the call is accepted.
    std::size_t compared = 0;    ///< Engines of this region; 0: not engines.
};

struct placement
{
    std::uint64_t ticket = 0; ///< For record_first_event() and finish_call().
    std::string upstream;
    std::string region;
    bool local = true;
    placement_reason reason = placement_reason::shortest_wait;
};

struct placement_result
{
    std::optional<placement> chosen;
    placement_estimate estimate; ///< All 0 if there was no candidate.
    placement_refusal refusal =
        placement_refusal::no_upstream; ///< If not chosen.
    core::duration retry_after{};       ///< If not chosen.
};

/// How a placed call ended.
enum class placement_outcome : std::uint8_t
{
    completed,
    rejected,  ///< The upstream rejected it for load.
    misplaced, ///< Another upstream uses this address now.
    unreachable,
    broken,  ///< Connection reset, timeout or bad response.
    errored, ///< 5xx response of the upstream.
    cancelled
};

inline constexpr core::enum_table<placement_outcome, 7> placement_outcome_names{
    {{placement_outcome::completed, "completed"},
     {placement_outcome::rejected, "rejected"},
     {placement_outcome::misplaced, "misplaced"},
     {placement_outcome::unreachable, "unreachable"},
     {placement_outcome::broken, "broken"},
     {placement_outcome::errored, "errored"},
     {placement_outcome::cancelled, "cancelled"}}};

struct backlog_settings
{
    /// Initial estimate of the prompt tokens that an engine processes per
    /// second.
    double prior_prefill_rate = 100'000;
    /// Initial estimate of the duration of a call to a plain service.
    double prior_service_seconds = 0.04;
    /// Time to the first event without prefill: one engine step and the
    /// network.
    double base_latency_seconds = 0.015;
    /// Relative slowdown of prefill by each request that runs at the engine.
    double slowdown_per_request = 0.01;
    double region_round_trip_seconds = 0.12;
    /// A call leaves its region for latency only if that saves at least this
    /// time, because traffic between regions is expensive.
    double min_region_gain_seconds = 0.15;
    /// Added to the score for each running stream whose next event would miss
    /// its pause target.
    double pause_penalty_seconds = 0.05;
    /// The penalty grows linearly with the time to prefill the backlog: from 0
    /// at this part of the pause target to all of it at the target.
    double pause_penalty_start = 0.4;
    /// A region shares its backlog with others only if the mean time to prefill
    /// it is at least this part of the pause target.
    double min_shared_backlog = 0.025;
    /// Other regions are considered once this VM's region needs more than this
    /// part of the latency target.
    double local_latency_share = 0.6;
    /// A call is refused if other calls delay its first event by more than
    /// this part of its latency target. An engine with a constant prefill
    /// backlog generates only a few tokens per second for its running streams,
    /// which then miss their deadlines. The prefill time of the call's own
    /// prompt does not count, because a retry would not shorten it.
    double max_wait_share = 0.6;
    /// Penalty for an upstream's failure rate: the delay that a failed call
    /// causes for its caller.
    double failure_penalty_seconds = 1.5;
    /// Penalty for an upstream that stopped sending heartbeats.
    double silent_penalty_seconds = 0.5;
    /// After this time, load reports of another region's VMs include a call
    /// that was sent there.
    core::duration report_lag = std::chrono::milliseconds(1300);
    /// Initial pause of an unreachable upstream; it doubles with each further
    /// failure.
    core::duration initial_pause = std::chrono::milliseconds(400);
    core::duration max_pause = std::chrono::seconds(4);
    /// Until a load report that includes a call has reached all VMs of the
    /// region.
    core::duration notice_lag = std::chrono::milliseconds(100);
    /// Pause after an upstream rejected a call for load.
    core::duration rejected_pause = std::chrono::milliseconds(100);
};

class backlog_router
{
public:
    /// `random` must outlive the router.
    backlog_router(
        std::string region, const backlog_settings& settings,
        core::random_source& random);

    /// Chooses an upstream and adds the call to its load. Each choice must be
    /// followed by one call of finish_call().
    placement_result choose(
        const fleet::traffic_view& view, const placement_request& request,
        core::time_point now);

    /// The first event, or the whole answer, arrived.
    void record_first_event(std::uint64_t ticket, core::time_point now);

    void finish_call(
        std::uint64_t ticket, placement_outcome end, core::time_point now);

    /// Upstreams that are not chosen although the view lists them as serving.
    fleet::leaving_upstreams& leaving()
    {
        return leaving_;
    }

    /// Upstreams that want no calls of this VM for some time.
    fleet::paused_upstreams& pauses()
    {
        return pauses_;
    }

    /// Load that this VM causes in its own region, for reports to other VMs.
    std::vector<fleet::load_row> own_loads() const;

    /// Removes upstreams that are no longer listed, and stops counting calls to
    /// other regions that load reports include by now. Call several times a
    /// second.
    void
    remove_stale_state(const fleet::traffic_view& view, core::time_point now);

    /// Calls in flight, for tests.
    std::size_t in_flight() const
    {
        return calls_.size();
    }

private:
    struct running_call
    {
        std::string upstream;
        std::string role;
        std::uint32_t uncached_tokens = 0; // Prompt tokens, estimated.
        double queued_tokens = 0;          // Prompt tokens queued before it.
        core::time_point started{};
        bool local = true;
        bool is_engine = false;
        bool first_event_received = false;
        bool in_load = true; // Included in upstream_state.
    };

    struct upstream_state
    {
        std::uint32_t running = 0;
        std::uint64_t waiting_tokens = 0; // Prompts without a first event.
        prompt_cache cache;
        double failure_rate = 0; // Moving average.
        std::uint32_t consecutive_unreachable = 0;
        core::time_point paused_until{};
        core::time_point last_cold_call{};
        core::time_point last_used{};
    };

    struct role_state
    {
        double prefill_rate = 0;    // Prompt tokens per second; 0: unknown.
        double service_seconds = 0; // 0: unknown.
        event_rate placements;      // Of this VM, in its region.
    };

    struct option
    {
        const membership::upstream_record* record = nullptr;
        upstream_state* state = nullptr;
        placement_estimate estimate;
        double score = 0;           // Expected time and penalties, in seconds.
        double wait_seconds = 0;    // Queueing delay by other calls.
        double backlog_seconds = 0; // Time to prefill all queued prompts.
        bool local = true;
        /// Tokens of shared parts that other VMs' calls are taken to have left
        /// in the upstream's cache.
        std::uint32_t assumed_cached = 0;
        bool fallback = false; // Paused; chosen only if no other is left.
    };

    /// Estimates and scores an option. Call again after a change of
    /// `assumed_cached`.
    void evaluate(
        option& out, const fleet::traffic_view& view,
        const placement_request& request) const;
    /// Favours the upstream of each region that every VM prefers for the
    /// prompt's shared parts.
    void prefer_agreed_upstreams(
        std::vector<option>& options, const fleet::traffic_view& view,
        const placement_request& request) const;
    /// Leaves those engines of this region that are compared for the call.
    /// Returns their number.
    std::size_t keep_compared_engines(
        std::vector<option>& options, const fleet::traffic_view& view,
        const placement_request& request, core::time_point now);
    std::optional<option> make_option(
        const fleet::traffic_view& view, const membership::upstream_record& it,
        const placement_request& request, core::time_point now);
    void estimate(
        option& out, const fleet::traffic_view& view,
        const placement_request& request) const;
    bool may_send_cold_call(
        const fleet::traffic_view& view, const membership::upstream_record& it,
        const upstream_state& state, core::time_point now) const;
    void remove_from_load(running_call& it);
    placement commit(
        const option& it, const placement_request& request,
        placement_reason reason, core::time_point now);
    /// Whether an upstream of this region that asked for a pause can take a
    /// call now. Sets the end of its pause otherwise.
    bool may_be_called(
        const membership::upstream_record& it, core::time_point now,
        std::optional<core::time_point>& first_end) const;
    void remove_ended_pauses(core::time_point now);
    core::duration retry_after(const placement_request& request) const;
    const option* best_of(
        const std::vector<option>& options, bool local, bool fallback) const;
    double pause_penalty(
        const placement_estimate& estimated, double speed,
        double pause_target) const;
    /// The region to place a call in so that regions share their backlogs;
    /// empty: none. `draw` is in [0, 1) and the same on each VM for calls that
    /// share a prefix.
    std::string choose_overflow_region(
        const std::vector<option>& options, double draw,
        double pause_target) const;

    std::string region_;
    backlog_settings settings_;
    core::random_source& random_;
    std::uint64_t next_ticket_ = 1;
    std::map<std::uint64_t, running_call> calls_;
    std::map<std::string, upstream_state> upstreams_;
    fleet::leaving_upstreams leaving_;
    fleet::paused_upstreams pauses_;
    std::map<std::string, role_state> roles_;
    urgency_limits waits_;
};

} // namespace hyssoploft::routing

#endif
