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

/// A call of this VM, with the estimates made when it was sent.
struct own_call
{
    core::time_point start{};
    std::uint32_t prompt_tokens = 0;
    std::uint64_t prompt_hash = 0; ///< Last prefix hash; 0 if none.
    double work_tokens = 0; ///< Prefill before its first token, with others'.
    double uncached_tokens = 0;
    double wait_seconds = 0;      ///< Predicted queueing and network time.
    core::duration first_token{}; ///< Predicted.
    bool answered = false;        ///< Its first token was reported.
    bool probe = false;
    bool remote = false;
    link_cost bytes;
};

struct load_settings
{
    /// Half-life of a report's weight. The remaining weight goes to the moving
    /// average of other VMs' calls.
    core::duration report_half_life = std::chrono::seconds(2);
    /// A report may or may not include own calls that start or end this close
    /// to its measurement.
    core::duration report_margin = std::chrono::milliseconds(150);
};

class load_estimate
{
public:
    explicit load_estimate(const load_settings& settings) : settings_(settings)
    {}

    void add_call(const own_call& call);

    /// Removes and returns the call that matches best; nothing if none does.
    std::optional<own_call> remove_call(
        std::uint32_t prompt_tokens, std::uint64_t prompt_hash,
        core::duration total, core::time_point now);

    /// Records a call's first token. Returns the call's previous state.
    std::optional<own_call> record_first_token(
        std::uint32_t prompt_tokens, std::uint64_t prompt_hash,
        core::duration since_start, core::time_point now);

    /// Applies a load report. Returns false if it is a duplicate.
    bool apply_report(const membership::load_report& it);

    /// Whether the newest report counts fewer calls than this VM alone had.
    bool is_understated() const
    {
        return understated_;
    }

    /// While reports are distrusted, the estimate is this VM's own calls times
    /// the number of VMs.
    void set_distrusted(bool distrusted, double vm_count)
    {
        distrusted_ = distrusted;
        vm_count_ = vm_count;
    }

    double calls(core::time_point now) const;

    std::uint32_t own_in_flight() const
    {
        return static_cast<std::uint32_t>(own_.size());
    }

    /// Uncached prompt tokens of own calls without a first token. Uses expected
    /// times until a first token has been reported.
    double pending_prefill_tokens(core::time_point now) const;

private:
    struct ended_call
    {
        core::time_point start{};
        core::time_point end{};
    };

    // Ended calls are needed only for delayed reports.
    static constexpr std::size_t max_ended_calls = 256;

    std::vector<own_call>::iterator find_call(
        std::uint32_t prompt_tokens, std::uint64_t prompt_hash,
        core::time_point start);
    std::uint32_t
    own_calls_at(core::time_point when, core::duration margin) const;

    load_settings settings_;
    std::vector<own_call> own_;      // In flight.
    std::deque<ended_call> ended_;   // Ended, oldest first, bounded.
    std::uint64_t sequence_ = 0;     // Of the newest report; 0: none.
    core::time_point measured_at_{}; // When the upstream measured it.
    double other_calls_ = 0;         // Calls of other VMs in that report.
    double other_calls_mean_ = 0;    // Their moving average.
    double vm_count_ = 1;
    bool understated_ = false;
    bool first_tokens_reported_ = false; // A first token was reported before.
    bool distrusted_ = false;
};

} // namespace hyssoploft::routing

#endif
