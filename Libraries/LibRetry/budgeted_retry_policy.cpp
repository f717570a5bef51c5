// Retry budget, backoff and the conditions under which a retry is safe.

#include <LibRetry/budgeted_retry_policy.hpp>

#include <algorithm>

namespace hyssoploft::retry {

budgeted_retry_policy::budgeted_retry_policy(
    const retry_settings& settings, core::random_source& random)
    : settings_(settings), random_(random),
      budget_(
          settings.budget_share, settings.budget_base_attempts,
          settings.budget_window)
{}

void budgeted_retry_policy::on_request(core::time_point now)
{
    budget_.on_request(now);
}

retry_decision
budgeted_retry_policy::decide(const failed_call& call, core::time_point now)
{
    // Conditions of safety come first; they do not depend on load.
    if (call.state == run_state::may_have_run && !call.idempotent)
    {
        return {retry_reason::may_have_run, {}};
    }
    if (call.answer_started)
    {
        return {retry_reason::answer_started, {}};
    }
    if (call.attempts >= settings_.max_attempts)
    {
        return {retry_reason::too_many_attempts, {}};
    }
    const core::duration wait = backoff(call.attempts);
    if (now + wait + call.expected_run >= call.deadline)
    {
        return {retry_reason::deadline_too_near, {}};
    }
    if (!budget_.take(now))
    {
        return {retry_reason::budget_exhausted, {}};
    }
    return {retry_reason::allowed, wait};
}

core::duration budgeted_retry_policy::backoff(std::uint32_t attempts)
{
    core::duration wait = settings_.backoff_base;
    for (std::uint32_t i = 1; i < attempts && wait < settings_.backoff_cap; ++i)
    {
        wait *= 2;
    }
    wait = std::min(wait, settings_.backoff_cap);
    // Half of the delay is random, so that calls that failed together are
    // spread out; half is fixed, so that none is retried at once.
    const double factor = 0.5 + 0.5 * random_.uniform();
    return core::from_seconds(core::to_seconds(wait) * factor);
}

} // namespace hyssoploft::retry
