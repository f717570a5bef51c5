#ifndef HYSSOPLOFT_LIBROUTING_EXPECTED_TIME_HPP
#define HYSSOPLOFT_LIBROUTING_EXPECTED_TIME_HPP

// Estimates the time to first token of a call at an upstream, and updates the
// upstream's service rates from the calls that ran there.

#include <LibRouting/router.hpp>
#include <LibRouting/upstream_slot.hpp>

namespace hyssoploft::routing {

struct expected_time_costs
{
    /// Rates assumed until calls have been observed.
    service_rates prior;
    double same_region_seconds = 0.003; ///< Round trip to another data centre.
    double other_region_seconds = 0.05; ///< Round trip to another region.
    /// Penalty for an upstream that is not ejected only because of the limit of
    /// its group: the delay that a failed call causes for its caller.
    double failure_penalty_seconds = 2.0;
};

class expected_time
{
public:
    explicit expected_time(const expected_time_costs& costs) : costs_(costs) {}

    /// Sets the times of `it`. Reads its `upstream`, `calls` and `local`.
    void estimate(
        route_option& it, double prompt_tokens, double cached_tokens,
        const std::string& own_data_center, core::time_point now) const;

    /// Speed of an upstream as seen by one call.
    struct speed_sample
    {
        bool timed = false;  ///< A first token arrived.
        double slowness = 0; ///< ln(observed / expected by pooled rates).
    };

    /// Records a first token that arrived `seconds` after the call was sent.
    speed_sample observe_first_token(
        upstream_slot& it, const own_call& call, double seconds,
        core::time_point now);

    /// Records the end of a call, and its first token if not yet recorded.
    speed_sample observe_result(
        upstream_slot& it, const own_call& call, const call_result& result,
        core::time_point now);

    service_rates rates(const upstream_slot& it, core::time_point now) const
    {
        return it.rates.rates(pooled_.rates(costs_.prior, now), now);
    }

private:
    expected_time_costs costs_;
    service_rate_estimator pooled_; // Of all upstreams; prior for new ones.
};

} // namespace hyssoploft::routing

#endif
