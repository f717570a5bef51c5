#ifndef HYSSOPLOFT_LIBROUTING_SERVICE_RATE_ESTIMATOR_HPP
#define HYSSOPLOFT_LIBROUTING_SERVICE_RATE_ESTIMATOR_HPP

// Learns how fast one upstream processes prompts and generates tokens, from
// calls that finished there.

#include <LibCore/time.hpp>

namespace hyssoploft::routing {

/// Used until calls have been observed.
struct service_rates
{
    double seconds_per_prompt_token = 1.0 / 4000;
    double seconds_per_answer_token = 0.03;
    double seconds_per_call = 3.0;
};

class service_rate_estimator
{
public:
    /// First token after `seconds`, of which the part for `prompt_tokens`
    /// uncached tokens is learned.
    void
    observe_prefill(double seconds, double prompt_tokens, core::time_point now);

    /// `answer_tokens` generated in `seconds` after the first.
    void
    observe_decode(double seconds, double answer_tokens, core::time_point now);

    void observe_call(double seconds, core::time_point now);

    /// Estimates; `prior` counts as much as a few calls, so that one odd
    /// call at a new upstream does not decide its rate. Samples lose weight
    /// with age: an upstream that was slow and gets no calls is tried again.
    service_rates rates(const service_rates& prior, core::time_point now) const;

private:
    /// A ratio of two sums that forgets old samples.
    struct decayed_ratio
    {
        double numerator = 0;
        double denominator = 0;
        core::time_point updated{};

        void add(double top, double bottom, core::time_point now);
        double
        value(double prior, double prior_weight, core::time_point now) const;
        double fresh(core::time_point now) const;
    };

    decayed_ratio prefill_;
    decayed_ratio decode_;
    decayed_ratio call_;
};

} // namespace hyssoploft::routing

#endif
