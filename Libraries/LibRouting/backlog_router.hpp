#ifndef HYSSOPLOFT_LIBROUTING_BACKLOG_ROUTER_HPP
#define HYSSOPLOFT_LIBROUTING_BACKLOG_ROUTER_HPP

// Places a call at the upstream with the shortest expected time to its first
// event. An engine is modelled by the prompt tokens that it still has to read
// and by the requests that run there; a plain service by its calls in flight.
// Calls leave this VM's region only when the region can't meet the target.
//
// Not thread safe: one traffic thread owns it. Pure: views and times come in.

#include <LibCore/enum_table.hpp>
#include <LibCore/random_source.hpp>
#include <LibCore/time.hpp>
#include <LibFleet/traffic_view.hpp>
#include <LibRouting/prompt_cache.hpp>

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
    std::vector<prompt_part> parts;  ///< In order; the last one is the call's.
    std::uint64_t memory_tokens = 0; ///< Of each engine of the role.
    std::set<std::string> allowed_regions; ///< Empty: all.
    std::set<std::string> excluded;        ///< Upstreams that were tried.
    std::set<std::string> excluded_regions;
    core::duration latency_target{};
    core::duration time_left{};
    bool local_only = false; ///< The call came from another VM.
};

enum class placement_reason : std::uint8_t
{
    shortest_wait,
    other_region, ///< This region can't meet the target.
    last_resort   ///< Only paused or silent upstreams are left.
};

inline constexpr core::enum_table<placement_reason, 3> placement_reason_names{
    {{placement_reason::shortest_wait, "shortest_wait"},
     {placement_reason::other_region, "other_region"},
     {placement_reason::last_resort, "last_resort"}}};

enum class no_placement : std::uint8_t
{
    no_upstream,       ///< None serves this role now.
    residency_forbids, ///< Some serve it, but not in an allowed region.
    all_tried,         ///< Each of them was tried or takes no work now.
    deadline_too_near, ///< No first event is expected in time.
    backlog_full       ///< Engines have to read too much before it.
};

inline constexpr core::enum_table<no_placement, 5> no_placement_names{
    {{no_placement::no_upstream, "no_upstream"},
     {no_placement::residency_forbids, "residency_forbids"},
     {no_placement::all_tried, "all_tried"},
     {no_placement::deadline_too_near, "deadline_too_near"},
     {no_placement::backlog_full, "backlog_full"}}};

/// What the router believed of the upstream that it chose, or would have
/// chosen before it refused.
struct placement_belief
{
    double expected_seconds = 0;   ///< To the first event.
    double ahead_tokens = 0;       ///< Prompts that are read before the call's.
    std::uint32_t read_tokens = 0; ///< Of the call's prompt; the rest is kept.
    double running = 0;            ///< Calls there, this one not included.
};

struct placement
{
    std::uint64_t ticket = 0; ///< For first_event() and finished().
    std::string upstream;
    std::string region;
    bool local = true;
    placement_reason reason = placement_reason::shortest_wait;
};

struct placement_result
{
    std::optional<placement> chosen;
    placement_belief belief; ///< All 0 if there was no upstream to weigh.
    no_placement refusal = no_placement::no_upstream; ///< If not chosen.
    core::duration retry_after{};                     ///< If not chosen.
};

/// How a placed call ended.
enum class call_end : std::uint8_t
{
    completed,
    rejected,  ///< The upstream refused for load.
    misplaced, ///< Another upstream has the address.
    unreachable,
    broken,  ///< Reset, silent or malformed.
    errored, ///< The upstream's own 5xx.
    cancelled
};

inline constexpr core::enum_table<call_end, 7> call_end_names{
    {{call_end::completed, "completed"},
     {call_end::rejected, "rejected"},
     {call_end::misplaced, "misplaced"},
     {call_end::unreachable, "unreachable"},
     {call_end::broken, "broken"},
     {call_end::errored, "errored"},
     {call_end::cancelled, "cancelled"}}};

struct backlog_settings
{
    /// Prompt tokens that an engine reads each second until calls were
    /// observed; the middle of the engines that the users run.
    double prior_read_rate = 100'000;
    /// Time of a plain call until calls were observed.
    double prior_service_seconds = 0.04;
    /// Time to a first event besides reading: a step and the network.
    double base_seconds = 0.015;
    /// Each request that runs at an engine slows the reading of others by
    /// about this part.
    double running_slowdown = 0.01;
    /// Between regions, there and back.
    double region_round_trip = 0.12;
    /// A call leaves its region only if that gains this time as well: bytes
    /// between regions are dear.
    double region_gain = 0.15;
    /// Expected harm of an event that comes after its pause target, for each
    /// stream that runs at an engine, in seconds of a newcomer's wait.
    double pause_harm_seconds = 0.05;
    /// Part of the pause target from which on prompts that an engine has to
    /// read do some harm; at the whole target they do all of it.
    double pause_harm_start = 0.4;
    /// A region whose engines need less than this part of the pause target to
    /// read their prompts, in the mean, keeps all calls.
    double calm_backlog = 0.025;
    /// Part of the latency target that the own region may use up before other
    /// regions are considered.
    double local_share = 0.6;
    /// A call is refused if other calls delay its first event by this part of
    /// its latency target. An engine that always has prompts to read makes
    /// only a few tokens a second for its running streams, which then miss
    /// their deadlines. How long the call's own prompt takes doesn't matter
    /// as long as its deadline is met: it will not be shorter later.
    double backlog_limit = 0.6;
    /// Added for an upstream that fails, times the share of its failures:
    /// about what a failed call costs its caller.
    double failure_seconds = 1.5;
    /// Added for an upstream whose announcements stopped.
    double silent_seconds = 0.5;
    /// A call that was sent to another region is in the reports of that
    /// region's VMs after this time.
    core::duration report_lag = std::chrono::milliseconds(1000);
    /// First pause of an upstream that can't be reached; it doubles.
    core::duration first_pause = std::chrono::milliseconds(400);
    core::duration max_pause = std::chrono::seconds(4);
    /// Pause after a refusal for load.
    core::duration rejected_pause = std::chrono::milliseconds(100);
};

class backlog_router
{
public:
    /// `random` must outlive the router.
    backlog_router(
        std::string region, const backlog_settings& settings,
        core::random_source& random);

    /// Chooses an upstream and counts the call there. Each choice must be
    /// followed by one call of finished().
    placement_result choose(
        const fleet::traffic_view& view, const placement_request& request,
        core::time_point now);

    /// The first event, or the whole answer, arrived.
    void first_event(std::uint64_t ticket, core::time_point now);

    void finished(std::uint64_t ticket, call_end end, core::time_point now);

    /// Calls of this VM in its own region, for the reports to other VMs.
    std::vector<fleet::load_row> own_loads() const;

    /// Forgets upstreams that the view does not list any more, and calls to
    /// other regions that are in the reports of others by now. Call several
    /// times a second.
    void tick(const fleet::traffic_view& view, core::time_point now);

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
        std::uint32_t read_tokens = 0; // Not cached, as estimated.
        double ahead_tokens = 0;       // That were to be read before it.
        core::time_point started{};
        bool local = true;
        bool engine = false;
        bool answered = false;
        bool counted = true; // In its upstream's state.
    };

    struct upstream_state
    {
        std::uint32_t running = 0;
        std::uint64_t waiting_tokens = 0; // Of calls without a first event.
        prompt_cache cache;
        double failure_share = 0;      // Smoothed.
        std::uint32_t unreachable = 0; // Times in a row.
        core::time_point paused_until{};
        core::time_point cold_sent{};
        core::time_point used{};
    };

    struct role_state
    {
        double read_rate = 0;       // Tokens per second; 0: not observed.
        double service_seconds = 0; // 0: not observed.
    };

    struct option
    {
        const membership::upstream_record* record = nullptr;
        upstream_state* state = nullptr;
        placement_belief belief;
        double score = 0;           // Expected time with preferences.
        double wait_seconds = 0;    // Part of it that other calls cause.
        double backlog_seconds = 0; // Of prompts, to read all of them.
        bool local = true;
        bool fallback = false; // Paused or silent.
    };

    std::optional<option> make_option(
        const fleet::traffic_view& view, const membership::upstream_record& it,
        const placement_request& request, core::time_point now);
    void estimate(
        option& out, const fleet::traffic_view& view,
        const placement_request& request) const;
    bool cold_turn(
        const fleet::traffic_view& view, const membership::upstream_record& it,
        const upstream_state& state, core::time_point now) const;
    void uncount(running_call& it);
    placement_result commit(
        const option& it, const placement_request& request,
        placement_reason reason, core::time_point now);
    core::duration retry_after(const placement_request& request) const;
    const option* best_of(
        const std::vector<option>& options, bool local, bool fallback) const;
    double pause_harm(
        const placement_belief& at, double speed, double pause_target) const;
    /// `draw` is from 0 to 1, below 1, and the same for a subject on each VM.
    std::string region_to_help(
        const std::vector<option>& options, double draw,
        double pause_target) const;

    std::string region_;
    backlog_settings settings_;
    core::random_source& random_;
    std::uint64_t next_ticket_ = 1;
    std::map<std::uint64_t, running_call> calls_;
    std::map<std::string, upstream_state> upstreams_;
    std::map<std::string, role_state> roles_;
};

} // namespace hyssoploft::routing

#endif
