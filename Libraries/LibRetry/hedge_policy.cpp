// Conditions under which a call is hedged.

#include <LibRetry/hedge_policy.hpp>

namespace hyssoploft::retry {

hedge_policy::hedge_policy(const hedge_settings& settings)
    : settings_(settings),
      budget_(
          settings.budget_share, settings.budget_base_attempts,
          settings.budget_window)
{}

void hedge_policy::on_request(core::time_point now)
{
    budget_.on_request(now);
}

hedge_reason
hedge_policy::decide(const waiting_call& call, core::time_point now)
{
    if (!call.idempotent)
    {
        return hedge_reason::not_idempotent;
    }
    if (!call.interactive)
    {
        return hedge_reason::batch;
    }
    // Without cancellation both upstreams would execute the whole call.
    if (!call.cancellable)
    {
        return hedge_reason::not_cancellable;
    }
    if (call.has_hedge)
    {
        return hedge_reason::already_hedged;
    }
    if (now < call.sent_at + settings_.hedge_delay)
    {
        return hedge_reason::too_early;
    }
    if (now + call.expected_run >= call.deadline)
    {
        return hedge_reason::deadline_too_near;
    }
    return budget_.take(now) ? hedge_reason::allowed
                             : hedge_reason::budget_exhausted;
}

} // namespace hyssoploft::retry
