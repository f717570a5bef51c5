#ifndef HYSSOPLOFT_LIBROUTING_OUTLIER_EJECTOR_HPP
#define HYSSOPLOFT_LIBROUTING_OUTLIER_EJECTOR_HPP

// Ejects failing, slow and misreporting upstreams for a limited time, at most a
// given share of each group at once, and readmits them after probes.

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
    slow,        ///< Relative to its group's median.
    misreporting ///< Slow, and its reports understate its load.
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
    probing ///< Ejection time over; one call at a time.
};

inline constexpr core::enum_table<health_state, 3> health_state_names{
    {{health_state::healthy, "healthy"},
     {health_state::ejected, "ejected"},
     {health_state::probing, "probing"}}};

struct ejector_settings
{
    /// Maximum share of a group that is ejected at a time, rounded down: in a
    /// group of two, no upstream is ejected.
    double max_ejected_share = 0.34;
    std::uint32_t consecutive_failures = 3;
    double error_rate = 0.5;
    std::uint32_t min_error_rate_calls = 20; ///< Minimum number of calls.
    /// Ratio of observed to expected time to first token, relative to the
    /// group's median, above which an upstream is slow.
    double slow_factor = 3.0;
    std::uint32_t min_timed_calls = 10;
    /// Share of understated load reports from which on reports are ignored.
    double distrust_rate = 0.25;
    /// From this share of understated reports on, an upstream that is also slow
    /// by the lower factor is ejected, because it attracts more calls than it
    /// can serve. Otherwise ignoring its reports is enough.
    double misreport_rate = 0.5;
    double misreport_slow_factor = 1.5;
    std::uint32_t min_misreport_reports = 8;
    core::duration initial_ejection_time = std::chrono::seconds(10);
    core::duration max_ejection_time = std::chrono::seconds(160);
    std::uint32_t probes_to_readmit = 3; ///< Consecutive successes.
};

/// Health of one upstream. Changed only by outlier_ejector.
struct upstream_health
{
    std::string group;
    /// Only serving upstreams count as group members; set by the router.
    bool serving = true;
    health_state state = health_state::healthy;
    ejection_cause cause = ejection_cause::none; ///< Of the last ejection.
    core::time_point ejected_until{};            ///< End of the ejection.
    /// Not ejected because of the group's limit; until then it is chosen only
    /// if no other upstream is left.
    core::time_point last_choice_until{};
    std::uint32_t ejections = 0; ///< Recent ones; each doubles the next time.
    bool probe_running = false;
    std::uint32_t probes_passed = 0;
    std::uint32_t failure_streak = 0;
    double failure_rate = 0; ///< Moving average of failed calls.
    std::uint32_t calls = 0; ///< Since its last readmission.
    double slowness = 0;     ///< Moving average of ln(observed / predicted).
    std::uint32_t timed_calls = 0;
    double understated_share = 0; ///< Moving average of understated reports.
    std::uint32_t reports = 0;
};

class outlier_ejector
{
public:
    explicit outlier_ejector(const ejector_settings& settings)
        : settings_(settings)
    {}

    /// Returns the upstream's health, created if it is new. The reference stays
    /// valid until remove().
    upstream_health& add(const std::string& id, const std::string& group);

    void remove(const std::string& id);

    /// Records the end of a call. `slowness` is ln(observed / predicted) of its
    /// time to first token; ignored unless `timed`.
    void record_call(
        upstream_health& it, bool failed, bool timed, double slowness,
        core::time_point now);

    /// Records a first token before the call ends; `slowness` as above.
    void record_first_token(
        upstream_health& it, double slowness, core::time_point now);

    void
    record_report(upstream_health& it, bool understated, core::time_point now);

    /// Whether the upstream's load reports must be ignored.
    bool is_distrusted(const upstream_health& it) const;

    /// Returns the state; moves it to probing when the ejection has ended.
    health_state state(upstream_health& it, core::time_point now) const;

    void begin_probe(upstream_health& it);

    /// A probe fails if its call failed or was slow relative to the group.
    /// Returns true if this probe readmits the upstream.
    bool end_probe(
        upstream_health& it, bool failed, double slowness,
        core::time_point now);

    /// The probe has no result, for example because its caller cancelled.
    void cancel_probe(upstream_health& it);

    /// Number of the group's serving upstreams that are ejected or probing.
    std::uint32_t ejected_count(const std::string& group) const;

private:
    bool can_eject(const std::string& group) const;
    void eject(upstream_health& it, ejection_cause cause, core::time_point now);
    void start_ejection(upstream_health& it, core::time_point now);
    bool
    is_slow(const upstream_health& it, double slowness, double factor) const;
    double median_slowness(const std::string& group) const;

    ejector_settings settings_;
    std::map<std::string, upstream_health> upstreams_;
    std::map<std::string, std::vector<upstream_health*>> groups_;
};

} // namespace hyssoploft::routing

#endif
