// Exponentially decayed sums of times and tokens.

#include <LibRouting/service_rate_estimator.hpp>

#include <algorithm>
#include <cmath>

namespace hyssoploft::routing {
namespace {

// Decay per sample. A sample's weight halves after about 34 more: fast enough
// to follow a change of batch size, slow enough to average over long and short
// prompts.
constexpr double sample_decay = 0.98;

// Half-life of the sums in time.
constexpr double half_life_seconds = 30;

// Weights of the prior, in tokens or calls.
constexpr double prior_prompt_tokens = 2000;
constexpr double prior_answer_tokens = 200;
constexpr double prior_calls = 4;

} // namespace

void service_rate_estimator::decayed_ratio::add(
    double numerator_sample, double denominator_sample, core::time_point now)
{
    const double weight = sample_decay * age_weight(now);
    numerator = numerator * weight + numerator_sample;
    denominator = denominator * weight + denominator_sample;
    updated = std::max(updated, now);
}

double
service_rate_estimator::decayed_ratio::age_weight(core::time_point now) const
{
    const double age = std::max(0.0, core::to_seconds(now - updated));
    return std::exp2(-age / half_life_seconds);
}

double service_rate_estimator::decayed_ratio::value(
    double prior, double prior_weight, core::time_point now) const
{
    const double weight = age_weight(now);
    return (numerator * weight + prior * prior_weight) /
           (denominator * weight + prior_weight);
}

void service_rate_estimator::observe_prefill(
    double seconds, double prompt_tokens, core::time_point now)
{
    if (seconds >= 0 && prompt_tokens > 0)
    {
        prefill_.add(seconds, prompt_tokens, now);
    }
}

void service_rate_estimator::observe_decode(
    double seconds, double answer_tokens, core::time_point now)
{
    if (seconds >= 0 && answer_tokens > 0)
    {
        decode_.add(seconds, answer_tokens, now);
    }
}

void service_rate_estimator::observe_call(double seconds, core::time_point now)
{
    if (seconds >= 0)
    {
        call_.add(seconds, 1, now);
    }
}

service_rates service_rate_estimator::rates(
    const service_rates& prior, core::time_point now) const
{
    return {
        prefill_.value(
            prior.seconds_per_prompt_token, prior_prompt_tokens, now),
        decode_.value(prior.seconds_per_answer_token, prior_answer_tokens, now),
        call_.value(prior.seconds_per_call, prior_calls, now)};
}

} // namespace hyssoploft::routing
