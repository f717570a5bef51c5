#ifndef HYSSOPLOFT_LIBROUTING_OUTLIER_EJECTOR_HPP
#define HYSSOPLOFT_LIBROUTING_OUTLIER_EJECTOR_HPP

// Takes failing, slow and misreporting upstreams out for a time, at most a
// set share of each group at once, and lets them back in by single probes.

#include <LibCore/enum_table.hpp>
#include <LibCore/time.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hyssoploft::routing {

enum class ejection_cause : std::uint8_t
{
    none,
    consecutive_failures,
    error_rate,
    slow,        ///< Against the median of its group.
    misreporting ///< Slow, and its reports count too few calls.
};

inline constexpr core::enum_table<ejection_cause, 5> ejection_cause_names{
    {{ejection_cause::none, "none"},
     {ejection_cause::consecutive_failures, "consecutive_failures"},
     {ejection_cause::error_rate, "error_rate"},
     {ejection_cause::slow, "slow"},
     {ejection_cause::misreporting, "misreporting"}}};

enum class health_state : std::uint8_t
{
    healthy,
    ejected,
    probing ///< The time is over; one call at a time until it is readmitted.
};

inline constexpr core::enum_table<health_state, 3> health_state_names{
    {{health_state::healthy, "healthy"},
     {health_state::ejected, "ejected"},
     {health_state::probing, "probing"}}};

struct ejector_settings
{
    /// At most this share of a group is out at a time, rounded down: in a
    /// group of two nobody is ejected.
    double max_share = 0.34;
    std::uint32_t consecutive_failures = 3;
    double error_rate = 0.5;
    std::uint32_t error_rate_calls = 20; ///< Fewer calls are no evidence.
    /// First token later than predicted, relative to the group's median.
    double slow_factor = 3.0;
    std::uint32_t slow_calls = 10;
    /// Reports are not believed from this share of too low ones on.
    double distrust_rate = 0.25;
    /// From this share on, an upstream that is also slow by the lower factor
    /// is ejected: it has drawn calls that it could not serve. One that is
    /// not slow stays, because without its reports it does no harm.
    double misreport_rate = 0.5;
    double misreport_slow_factor = 1.5;
    std::uint32_t misreport_reports = 8;
    core::duration first_time = std::chrono::seconds(10);
    core::duration longest_time = std::chrono::seconds(160);
    std::uint32_t probes_to_return = 3; ///< Successes in a row.
};

/// What is known of one upstream. Changed only by outlier_ejector.
struct upstream_health
{
    std::string group;
    /// Only these count as members of the group; set by the router.
    bool serving = true;
    health_state state = health_state::healthy;
    ejection_cause cause = ejection_cause::none; ///< Of the last ejection.
    core::time_point until{};                    ///< End of the ejection.
    /// It should be out, but its group has no room; until then it is to be
    /// chosen last.
    core::time_point last_choice_until{};
    std::uint32_t ejections = 0; ///< Recent ones; doubles the time.
    bool probe_running = false;
    std::uint32_t probes_passed = 0;
    std::uint32_t failures_in_row = 0;
    double failed_share = 0; ///< Decayed share of failed calls.
    std::uint32_t calls = 0; ///< Since it was last admitted.
    double slowness = 0;     ///< Decayed mean of ln(observed / predicted).
    std::uint32_t timed_calls = 0;
    double understated_share = 0; ///< Decayed share of wrong reports.
    std::uint32_t reports = 0;
};

class outlier_ejector
{
public:
    explicit outlier_ejector(const ejector_settings& settings)
        : settings_(settings)
    {}

    /// The record of the upstream, created if it is new. The reference stays
    /// valid until remove().
    upstream_health& add(const std::string& id, const std::string& group);

    void remove(const std::string& id);

    /// A call ended. `slowness` is ln(observed / predicted) of its first
    /// token; 0 with `timed` false if it had none.
    void call_ended(
        upstream_health& it, bool failed, bool timed, double slowness,
        core::time_point now);

    /// A first token came; `slowness` as above. The call's end follows.
    void
    first_token(upstream_health& it, double slowness, core::time_point now);

    void
    report_checked(upstream_health& it, bool understated, core::time_point now);

    /// Whether its load reports are to be left out of account.
    bool distrusted(const upstream_health& it) const;

    /// Moves it from ejected to probing when its time is over.
    health_state state(upstream_health& it, core::time_point now) const;

    void probe_started(upstream_health& it);

    /// A probe fails if its call did or was slow against the group. Returns
    /// true if the upstream is readmitted by this probe.
    bool probe_ended(
        upstream_health& it, bool failed, double slowness,
        core::time_point now);

    /// The probe says nothing about the upstream (its caller went away).
    void probe_void(upstream_health& it);

    /// Upstreams of the group that take no ordinary calls.
    std::uint32_t out(const std::string& group) const;

private:
    bool has_room(const std::string& group) const;
    void eject(upstream_health& it, ejection_cause cause, core::time_point now);
    void restart(upstream_health& it, core::time_point now);
    bool
    is_slow(const upstream_health& it, double slowness, double factor) const;
    double median_slowness(const std::string& group) const;

    ejector_settings settings_;
    std::map<std::string, upstream_health> upstreams_;
    std::map<std::string, std::vector<upstream_health*>> groups_;
};

} // namespace hyssoploft::routing

#endif
