// Conditions under which a slow call is sent to a second upstream.

#include <LibRetry/slow_answer_policy.hpp>

#include <algorithm>

namespace hyssoploft::retry {

namespace {

/// Part of the answers that arrive before a second call is considered.
constexpr double percentile = 0.95;
/// Fewer answers say little about the slow ones.
constexpr std::size_t min_samples = 32;
/// Delay as a part of the latency target: as long as there are too few samples,
/// and at least.
constexpr double unknown_delay_share = 0.5;
constexpr double min_delay_share = 0.1;
/// The second upstream's expected time, at most, as a part of the time that the
/// call has waited.
constexpr double max_expected_share = 0.5;
/// Time that has to be left for the second call, as a multiple of its expected
/// time.
constexpr double time_left_factor = 2.0;
/// An upstream with more running calls than this part of its capacity is left
/// to first calls.
constexpr double max_running_share = 0.5;

core::duration share_of(core::duration whole, double share)
{
    return core::from_seconds(share * core::to_seconds(whole));
}

/// The end of the time in which an answer serves the caller best.
core::time_point useful_until(const slow_call& call)
{
    return std::min(call.arrived + call.latency_target, call.deadline);
}

} // namespace

slow_answer_policy::slow_answer_policy(const slow_answer_settings& settings)
    : settings_(settings), share_(settings.share, 0, settings.window)
{}

void slow_answer_policy::on_request(core::time_point now)
{
    share_.on_request(now);
}

void slow_answer_policy::record_answer(core::duration latency)
{
    samples_[sample_count_ % max_samples] = latency;
    ++sample_count_;
}

void slow_answer_policy::record_rejection(core::time_point now)
{
    last_rejection_ = now;
    has_rejection_ = true;
}

core::duration slow_answer_policy::delay(core::duration latency_target) const
{
    if (sample_count_ < min_samples)
    {
        return std::max(
            settings_.min_delay, share_of(latency_target, unknown_delay_share));
    }
    auto sorted = samples_;
    const auto n = std::min(sample_count_, max_samples);
    const auto rank =
        static_cast<std::ptrdiff_t>(percentile * static_cast<double>(n - 1));
    std::nth_element(
        sorted.begin(), sorted.begin() + rank,
        sorted.begin() + static_cast<std::ptrdiff_t>(n));
    return std::max<core::duration>(
        {settings_.min_delay, share_of(latency_target, min_delay_share),
         sorted[static_cast<std::size_t>(rank)]});
}

second_call_reason slow_answer_policy::check_call(
    const slow_call& call, core::time_point now) const
{
    // Conditions of safety come first; they do not depend on load.
    if (!call.is_repeatable)
    {
        return second_call_reason::not_repeatable;
    }
    if (call.has_second_call)
    {
        return second_call_reason::already_sent;
    }
    if (!call.may_run_again)
    {
        return second_call_reason::attempts_used_up;
    }
    if (call.is_stopping)
    {
        return second_call_reason::stopping;
    }
    // A call that is still connecting has a time limit of its own.
    if (!call.is_sent)
    {
        return second_call_reason::not_connected;
    }
    if (!call.is_permitted)
    {
        return second_call_reason::not_permitted;
    }
    if (now < call.sent_at + delay(call.latency_target))
    {
        return second_call_reason::too_early;
    }
    if (now >= useful_until(call))
    {
        return second_call_reason::too_late;
    }
    if (has_rejection_ && now < last_rejection_ + settings_.rejection_pause)
    {
        return second_call_reason::upstreams_reject;
    }
    if (!call.has_repeat_budget)
    {
        return second_call_reason::repeat_budget_used_up;
    }
    return share_.is_exhausted(now) ? second_call_reason::share_used_up
                                    : second_call_reason::allowed;
}

second_call_reason slow_answer_policy::check_upstream(
    const slow_call& call, const second_upstream& upstream,
    core::time_point now) const
{
    if (upstream.is_last_resort)
    {
        return second_call_reason::no_upstream;
    }
    const double capacity = std::max(1U, upstream.capacity);
    if (upstream.running > max_running_share * capacity)
    {
        return second_call_reason::upstreams_busy;
    }
    const double waited = core::to_seconds(now - call.sent_at);
    if (upstream.expected_seconds > max_expected_share * waited)
    {
        return second_call_reason::no_gain;
    }
    const double left = core::to_seconds(useful_until(call) - now);
    return time_left_factor * upstream.expected_seconds > left
               ? second_call_reason::too_late
               : second_call_reason::allowed;
}

bool slow_answer_policy::take(core::time_point now)
{
    return share_.take(now);
}

} // namespace hyssoploft::retry
