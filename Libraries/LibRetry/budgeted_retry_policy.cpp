// Retry budget, backoff and the conditions under which a retry is safe.

#include <LibRetry/budgeted_retry_policy.hpp>

#include <algorithm>

namespace hyssoploft::retry {

budgeted_retry_policy::budgeted_retry_policy(
    const retry_settings& settings, core::random_source& random)
    : settings_(settings), random_(random)
{}

void budgeted_retry_policy::on_request(core::time_point now)
{
    ++current(now).requests;
}

retry_decision
budgeted_retry_policy::decide(const failed_call& call, core::time_point now)
{
    // Safety first: these reasons don't depend on load.
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
    if (!budget_left(now))
    {
        return {retry_reason::budget_exhausted, {}};
    }
    ++current(now).retries;
    return {retry_reason::allowed, wait};
}

std::int64_t budgeted_retry_policy::slice_of(core::time_point now) const
{
    return now.time_since_epoch() /
           (settings_.window / static_cast<int>(bucket_count));
}

budgeted_retry_policy::bucket&
budgeted_retry_policy::current(core::time_point now)
{
    const std::int64_t slice = slice_of(now);
    bucket& it = buckets_[static_cast<std::size_t>(slice) % bucket_count];
    if (it.slice != slice)
    {
        it = {slice, 0, 0};
    }
    return it;
}

bool budgeted_retry_policy::budget_left(core::time_point now) const
{
    const std::int64_t oldest =
        slice_of(now) - static_cast<std::int64_t>(bucket_count) + 1;
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const bucket& it : buckets_)
    {
        if (it.slice >= oldest)
        {
            requests += it.requests;
            retries += it.retries;
        }
    }
    return static_cast<double>(retries + 1) <=
           settings_.budget_share * static_cast<double>(requests) +
               settings_.budget_constant;
}

core::duration budgeted_retry_policy::backoff(std::uint32_t attempts)
{
    core::duration wait = settings_.backoff_base;
    for (std::uint32_t i = 1; i < attempts && wait < settings_.backoff_cap; ++i)
    {
        wait *= 2;
    }
    wait = std::min(wait, settings_.backoff_cap);
    // Half is fixed and half random: calls that failed together spread out,
    // and none is sent again at once.
    const double factor = 0.5 + 0.5 * random_.uniform();
    return core::from_seconds(core::to_seconds(wait) * factor);
}

} // namespace hyssoploft::retry
