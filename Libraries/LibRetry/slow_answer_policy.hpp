#ifndef HYSSOPLOFT_LIBRETRY_SLOW_ANSWER_POLICY_HPP
#define HYSSOPLOFT_LIBRETRY_SLOW_ANSWER_POLICY_HPP

// Decides when a call without an answer is also sent to a second upstream of
// its role. The delay follows the latencies of the role's recent answers, and
// the extra calls are limited to a share of the role's requests.

#include <LibCore/enum_table.hpp>
#include <LibRetry/attempt_budget.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace hyssoploft::retry {

struct slow_answer_settings
{
    double share = 0; ///< Second calls for each request of the role; 0: none.
    core::duration window = std::chrono::seconds(10); ///< Of that share.
    /// A second call is not sent sooner than this.
    core::duration min_delay = std::chrono::milliseconds(20);
    /// No second calls for this time after an upstream rejected a call.
    core::duration rejection_pause = std::chrono::seconds(1);
};

/// A call that was sent and whose answer has not begun.
struct slow_call
{
    bool is_repeatable = false; ///< The request may run more than once.
    bool has_second_call = false;
    bool may_run_again = false; ///< Within the route's limit on attempts.
    bool is_sent = false;       ///< There is a connection to its upstream.
    bool is_stopping = false;   ///< The VM takes no new work.
    /// The manifest in force admits the request, and the view is current.
    bool is_permitted = false;
    bool has_repeat_budget = false; ///< Of the role, summed over all VMs.
    core::time_point sent_at{};
    core::time_point arrived{};  ///< Of the request.
    core::time_point deadline{}; ///< Of the request.
    core::duration latency_target{};
};

/// The upstream that would take the second call.
struct second_upstream
{
    double expected_seconds = 0; ///< To its answer.
    double running = 0;          ///< Its calls, without this one.
    std::uint32_t capacity = 1;  ///< Calls that it runs at a time.
    bool is_last_resort = false; ///< Paused after failures.
};

enum class second_call_reason : std::uint8_t
{
    allowed,
    not_repeatable,
    already_sent,
    attempts_used_up,
    stopping,
    not_connected,
    not_permitted,
    too_early,
    too_late, ///< It would not be answered in time.
    upstreams_reject,
    no_upstream,
    upstreams_busy,
    no_gain, ///< The second upstream is not clearly faster than the wait.
    share_used_up,
    repeat_budget_used_up
};

inline constexpr core::enum_table<second_call_reason, 15>
    second_call_reason_names{
        {{second_call_reason::allowed, "allowed"},
         {second_call_reason::not_repeatable, "not_repeatable"},
         {second_call_reason::already_sent, "already_sent"},
         {second_call_reason::attempts_used_up, "attempts_used_up"},
         {second_call_reason::stopping, "stopping"},
         {second_call_reason::not_connected, "not_connected"},
         {second_call_reason::not_permitted, "not_permitted"},
         {second_call_reason::too_early, "too_early"},
         {second_call_reason::too_late, "too_late"},
         {second_call_reason::upstreams_reject, "upstreams_reject"},
         {second_call_reason::no_upstream, "no_upstream"},
         {second_call_reason::upstreams_busy, "upstreams_busy"},
         {second_call_reason::no_gain, "no_gain"},
         {second_call_reason::share_used_up, "share_used_up"},
         {second_call_reason::repeat_budget_used_up, "repeat_budget_used_up"}}};

/// State of one role at one VM. Not thread safe.
class slow_answer_policy
{
public:
    explicit slow_answer_policy(const slow_answer_settings& settings);

    /// Counts a request of the role; the limit is a share of these.
    void on_request(core::time_point now);

    /// Records the time from sending a call to the head of its answer, or to
    /// its cancellation because another answer came first.
    void record_answer(core::duration latency);

    /// An upstream of the role rejected a call for load.
    void record_rejection(core::time_point now);

    /// How long a call waits for its answer before a second one may be sent.
    core::duration delay(core::duration latency_target) const;

    /// Whether an upstream for a second call should be looked for.
    second_call_reason
    check_call(const slow_call& call, core::time_point now) const;

    /// Whether the second call goes to this upstream. Valid if check_call()
    /// allowed it at the same time.
    second_call_reason check_upstream(
        const slow_call& call, const second_upstream& upstream,
        core::time_point now) const;

    /// Charges a second call to the share of the role. False if it is used up.
    bool take(core::time_point now);

private:
    static constexpr std::size_t max_samples = 128;

    slow_answer_settings settings_;
    attempt_budget share_;
    // Ring buffer of the latest latencies; `sample_count_` counts all of them.
    std::array<core::duration, max_samples> samples_{};
    std::size_t sample_count_ = 0;
    core::time_point last_rejection_{};
    bool has_rejection_ = false;
};

} // namespace hyssoploft::retry

#endif
