#ifndef HYSSOPLOFT_LIBROUTING_SERVICE_RATE_ESTIMATOR_HPP
#define HYSSOPLOFT_LIBROUTING_SERVICE_RATE_ESTIMATOR_HPP

// Estimates how fast an upstream processes prompts and generates tokens, from
// the calls that ran there.

#include <LibCore/time.hpp>

namespace hyssoploft::routing {

/// The defaults are used until calls have been observed.
struct service_rates
{
    double seconds_per_prompt_token = 1.0 / 4000;
    double seconds_per_answer_token = 0.03;
    double seconds_per_call = 3.0;
};

class service_rate_estimator
{
public:
    /// Records a prefill of `prompt_tokens` uncached tokens in `seconds`.
    void
    observe_prefill(double seconds, double prompt_tokens, core::time_point now);

    /// Records `answer_tokens` generated in `seconds` after the first token.
    void
    observe_decode(double seconds, double answer_tokens, core::time_point now);

    void observe_call(double seconds, core::time_point now);

    /// Returns the estimates. `prior` has the weight of a few calls, so that
    /// one unusual call does not determine a new upstream's rate. Samples lose
    /// weight with age, so that a slow upstream that gets no calls is retried.
    service_rates rates(const service_rates& prior, core::time_point now) const;

private:
    /// A ratio of two exponentially decayed sums.
    struct decayed_ratio
    {
        double numerator = 0;
        double denominator = 0;
        core::time_point updated{};

        void
        add(double numerator_sample, double denominator_sample,
            core::time_point now);
        double
        value(double prior, double prior_weight, core::time_point now) const;
        double age_weight(core::time_point now) const;
    };

    decayed_ratio prefill_;
    decayed_ratio decode_;
    decayed_ratio call_;
};

} // namespace hyssoploft::routing

#endif
