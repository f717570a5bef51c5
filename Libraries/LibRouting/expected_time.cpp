// The model of an upstream's time to first token.

#include <LibRouting/expected_time.hpp>

#include <algorithm>
#include <cmath>

namespace hyssoploft::routing {
namespace {

// Every call costs at least about this many tokens of prefill: one step of
// the engine passes before its first token.
constexpr double step_tokens = 64;

// Keeps the logarithm finite for an expected time of zero.
constexpr double least_seconds = 1e-4;

} // namespace

void expected_time::estimate(
    route_option& it, double prompt_tokens, double cached_tokens,
    const std::string& own_data_center, core::time_point now) const
{
    const upstream_slot& s = *it.upstream;
    const service_rates learned = rates(s, now);
    if (!it.local)
    {
        it.network = costs_.other_region_seconds;
    }
    else if (s.record.data_center != own_data_center)
    {
        it.network = costs_.same_region_seconds;
    }
    const double capacity = s.capacity() * s.ramp.share(now);
    // A full batch admits the next call when one of its calls ends.
    it.wait = it.calls < capacity ? 0
                                  : (it.calls - capacity + 1) / capacity *
                                        learned.seconds_per_call;
    it.uncached_tokens = std::max(0.0, prompt_tokens - cached_tokens);
    it.work_tokens =
        step_tokens + it.uncached_tokens + s.load.pending_prefill(now);
    it.seconds =
        it.network + it.wait +
        it.work_tokens * learned.seconds_per_prompt_token +
        (now < s.health->last_choice_until ? costs_.failure_seconds : 0);
    if (cached_tokens == 0)
    {
        it.without_cache = it.seconds;
    }
}

expected_time::lesson expected_time::learn_first_token(
    upstream_slot& it, const own_call& call, double seconds,
    core::time_point now)
{
    // Against the rates of all upstreams, not its own: an upstream that
    // became slow must not become its own yardstick.
    const double pooled =
        pooled_.rates(costs_.prior, now).seconds_per_prompt_token;
    const double expected = call.wait_seconds + call.work_tokens * pooled;
    const double work = std::max(0.0, seconds - call.wait_seconds);
    it.rates.observe_prefill(work, call.work_tokens, now);
    pooled_.observe_prefill(work, call.work_tokens, now);
    return {true, std::log(seconds / std::max(expected, least_seconds))};
}

expected_time::lesson expected_time::learn(
    upstream_slot& it, const own_call& call, const call_result& result,
    core::time_point now)
{
    const double total = core::to_seconds(result.total);
    const double first = core::to_seconds(result.first_token);
    lesson learned;
    if (result.outcome != call_outcome::failed && first > 0)
    {
        if (!call.answered)
        {
            learned = learn_first_token(it, call, first, now);
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
    return learned;
}

} // namespace hyssoploft::routing
