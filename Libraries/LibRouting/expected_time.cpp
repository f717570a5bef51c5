// Model of an upstream's time to first token.

#include <LibRouting/expected_time.hpp>

#include <algorithm>
#include <cmath>

namespace hyssoploft::routing {
namespace {

// Prefill tokens added to every call for the engine step that produces its
// first token.
constexpr double step_cost_tokens = 64;

// Keeps the logarithm finite for an expected time of zero.
constexpr double min_expected_seconds = 1e-4;

} // namespace

void expected_time::estimate(
    route_option& it, double prompt_tokens, double cached_tokens,
    const std::string& own_data_center, core::time_point now) const
{
    const upstream_slot& slot = *it.upstream;
    const service_rates service = rates(slot, now);
    if (!it.local)
    {
        it.network_seconds = costs_.other_region_seconds;
    }
    else if (slot.record.data_center != own_data_center)
    {
        it.network_seconds = costs_.same_region_seconds;
    }
    const double capacity = slot.capacity() * slot.ramp.share(now);
    // A full batch admits the next call when one of its calls ends.
    it.queue_seconds =
        it.calls < capacity
            ? 0
            : (it.calls - capacity + 1) / capacity * service.seconds_per_call;
    it.uncached_tokens = std::max(0.0, prompt_tokens - cached_tokens);
    it.work_tokens = step_cost_tokens + it.uncached_tokens +
                     slot.load.pending_prefill_tokens(now);
    it.expected_seconds =
        it.network_seconds + it.queue_seconds +
        it.work_tokens * service.seconds_per_prompt_token +
        (now < slot.health->last_choice_until ? costs_.failure_penalty_seconds
                                              : 0);
    if (cached_tokens == 0)
    {
        it.uncached_seconds = it.expected_seconds;
    }
}

expected_time::speed_sample expected_time::observe_first_token(
    upstream_slot& it, const own_call& call, double seconds,
    core::time_point now)
{
    // Compares with the pooled rates: the upstream's own rates would hide that
    // it became slow.
    const double pooled =
        pooled_.rates(costs_.prior, now).seconds_per_prompt_token;
    const double expected = call.wait_seconds + call.work_tokens * pooled;
    const double work = std::max(0.0, seconds - call.wait_seconds);
    it.rates.observe_prefill(work, call.work_tokens, now);
    pooled_.observe_prefill(work, call.work_tokens, now);
    return {true, std::log(seconds / std::max(expected, min_expected_seconds))};
}

expected_time::speed_sample expected_time::observe_result(
    upstream_slot& it, const own_call& call, const call_result& result,
    core::time_point now)
{
    const double total = core::to_seconds(result.total);
    const double first = core::to_seconds(result.first_token);
    speed_sample sample;
    if (result.outcome != call_outcome::failed && first > 0)
    {
        if (!call.answered)
        {
            sample = observe_first_token(it, call, first, now);
        }
        if (result.answer_tokens > 1)
        {
            it.rates.observe_decode(
                total - first, result.answer_tokens - 1.0, now);
            pooled_.observe_decode(
                total - first, result.answer_tokens - 1.0, now);
        }
    }
    if (result.outcome == call_outcome::completed)
    {
        it.rates.observe_call(total, now);
        pooled_.observe_call(total, now);
    }
    return sample;
}

} // namespace hyssoploft::routing
