#ifndef HYSSOPLOFT_LIBROUTING_LOAD_ESTIMATE_HPP
#define HYSSOPLOFT_LIBROUTING_LOAD_ESTIMATE_HPP

// Estimates the calls at one upstream from this VM's own calls in flight and
// the upstream's lagged report.

#include <LibCore/time.hpp>
#include <LibMembership/fleet_view.hpp>
#include <LibRouting/link_budget.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace hyssoploft::routing {

/// A call of this VM, with what was predicted when it was sent.
struct own_call
{
    core::time_point start{};
    std::uint32_t prompt_tokens = 0;
    std::uint64_t prompt_hash = 0; ///< Last prefix hash; 0 if none.
    double work_tokens = 0; ///< Prefill before its first token, incl. others'.
    double uncached_tokens = 0;
    double wait_seconds = 0;      ///< Predicted queueing and network time.
    core::duration first_token{}; ///< Predicted.
    bool answered = false;        ///< Its first token was announced.
    bool probe = false;
    bool remote = false;
    link_cost bytes;
};

struct load_settings
{
    /// A report's weight halves for each of these of its age; the rest goes
    /// to the long-run mean of other VMs' calls.
    core::duration report_half_life = std::chrono::seconds(2);
    /// Own calls this close to the report's time may or may not be in it.
    core::duration report_margin = std::chrono::milliseconds(150);
};

class load_estimate
{
public:
    explicit load_estimate(const load_settings& settings) : settings_(settings)
    {}

    void started(const own_call& call);

    /// The call that best matches; nothing if none is in flight.
    std::optional<own_call> finished(
        std::uint32_t prompt_tokens, std::uint64_t prompt_hash,
        core::duration total, core::time_point now);

    /// A call's first token arrived. Returns the call as it was before.
    std::optional<own_call> first_token(
        std::uint32_t prompt_tokens, std::uint64_t prompt_hash,
        core::duration since_start, core::time_point now);

    /// Takes in a report. Returns true if it is new.
    bool report(const membership::load_report& it);

    /// The newest report counts fewer calls than this VM alone had there.
    bool understated() const
    {
        return understated_;
    }

    /// While reports are distrusted, other VMs' calls are assumed to be
    /// `sharers - 1` times this VM's own.
    void distrust(bool on, double sharers)
    {
        distrusted_ = on;
        sharers_ = sharers;
    }

    double calls(core::time_point now) const;

    std::uint32_t own_in_flight() const
    {
        return static_cast<std::uint32_t>(own_.size());
    }

    /// Uncached prompt tokens of own calls that have no first token yet: by
    /// announcement, or, if none was ever announced, by expectation.
    double pending_prefill(core::time_point now) const;

private:
    struct past_call
    {
        core::time_point start{};
        core::time_point end{};
    };

    // Calls that ended are needed only for reports that describe the past.
    static constexpr std::size_t max_past_calls = 256;

    std::vector<own_call>::iterator find(
        std::uint32_t prompt_tokens, std::uint64_t prompt_hash,
        core::time_point start);
    std::uint32_t own_at(core::time_point when, core::duration margin) const;

    load_settings settings_;
    std::vector<own_call> own_;   // In flight.
    std::deque<past_call> past_;  // Ended, oldest first, bounded.
    std::uint64_t sequence_ = 0;  // Of the newest report; 0: none.
    core::time_point measured_{}; // When the upstream measured it.
    double others_ = 0;           // Calls of other VMs in that report.
    double others_mean_ = 0;      // Their decayed mean.
    double sharers_ = 1;
    bool understated_ = false;
    bool announced_ = false; // First tokens are announced.
    bool distrusted_ = false;
};

} // namespace hyssoploft::routing

#endif
