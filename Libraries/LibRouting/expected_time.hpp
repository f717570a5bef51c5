#ifndef HYSSOPLOFT_LIBROUTING_EXPECTED_TIME_HPP
#define HYSSOPLOFT_LIBROUTING_EXPECTED_TIME_HPP

// Expected time to first token of a call at an upstream, and what its end
// teaches about the upstream's rates.

#include <LibRouting/router.hpp>
#include <LibRouting/upstream_slot.hpp>

namespace hyssoploft::routing {

struct expected_time_costs
{
    /// Used until a call was observed.
    service_rates prior;
    double same_region_seconds = 0.003; ///< To another data centre and back.
    double other_region_seconds = 0.05; ///< To another region and back.
    /// Added for an upstream that should be ejected while its group has no
    /// room: about what a failed call costs its caller.
    double failure_seconds = 2.0;
};

class expected_time
{
public:
    explicit expected_time(const expected_time_costs& costs) : costs_(costs) {}

    /// Fills in the times of `it`; `upstream`, `calls` and `local` are set.
    void estimate(
        route_option& it, double prompt_tokens, double cached_tokens,
        const std::string& own_data_center, core::time_point now) const;

    /// What an ended call says about an upstream's speed.
    struct lesson
    {
        bool timed = false;  ///< A first token came.
        double slowness = 0; ///< ln(observed / expected of any upstream).
    };

    /// A first token came `seconds` after the call was sent.
    lesson learn_first_token(
        upstream_slot& it, const own_call& call, double seconds,
        core::time_point now);

    /// The end of a call; its first token is learned unless it was before.
    lesson learn(
        upstream_slot& it, const own_call& call, const call_result& result,
        core::time_point now);

    service_rates rates(const upstream_slot& it, core::time_point now) const
    {
        return it.rates.rates(pooled_.rates(costs_.prior, now), now);
    }

private:
    expected_time_costs costs_;
    service_rate_estimator pooled_; // All upstreams; the prior of new ones.
};

} // namespace hyssoploft::routing

#endif
