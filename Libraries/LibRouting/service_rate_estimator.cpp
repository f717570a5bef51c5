// Decayed sums of times and tokens.

#include <LibRouting/service_rate_estimator.hpp>

namespace hyssoploft::routing {
namespace {

// A sample's weight halves after about 34 more: fast enough to follow a
// changed batch size, slow enough to average over long and short prompts.
constexpr double decay = 0.98;

// Weights of the prior, in tokens or calls.
constexpr double prior_prompt_tokens = 2000;
constexpr double prior_answer_tokens = 200;
constexpr double prior_calls = 4;

} // namespace

void service_rate_estimator::decayed_ratio::add(double top, double bottom)
{
    numerator = numerator * decay + top;
    denominator = denominator * decay + bottom;
}

double service_rate_estimator::decayed_ratio::value(
    double prior, double prior_weight) const
{
    return (numerator + prior * prior_weight) / (denominator + prior_weight);
}

void service_rate_estimator::observe_prefill(
    double seconds, double prompt_tokens)
{
    if (seconds >= 0 && prompt_tokens > 0)
    {
        prefill_.add(seconds, prompt_tokens);
    }
}

void service_rate_estimator::observe_decode(
    double seconds, double answer_tokens)
{
    if (seconds >= 0 && answer_tokens > 0)
    {
        decode_.add(seconds, answer_tokens);
    }
}

void service_rate_estimator::observe_call(double seconds)
{
    if (seconds >= 0)
    {
        call_.add(seconds, 1);
    }
}

service_rates service_rate_estimator::rates(const service_rates& prior) const
{
    return {
        prefill_.value(prior.seconds_per_prompt_token, prior_prompt_tokens),
        decode_.value(prior.seconds_per_answer_token, prior_answer_tokens),
        call_.value(prior.seconds_per_call, prior_calls)};
}

} // namespace hyssoploft::routing
