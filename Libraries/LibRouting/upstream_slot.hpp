#ifndef HYSSOPLOFT_LIBROUTING_UPSTREAM_SLOT_HPP
#define HYSSOPLOFT_LIBROUTING_UPSTREAM_SLOT_HPP

// Per-upstream state of expected_time_router, and an upstream as a candidate
// for one call.

#include <LibRouting/capacity_ramp.hpp>
#include <LibRouting/load_estimate.hpp>
#include <LibRouting/outlier_ejector.hpp>
#include <LibRouting/service_rate_estimator.hpp>

#include <algorithm>
#include <cstdint>

namespace hyssoploft::routing {

struct upstream_slot
{
    upstream_slot(
        const load_settings& load_options, const ramp_settings& ramp_options,
        std::uint32_t index)
        : number(index), load(load_options), ramp(ramp_options)
    {}

    double capacity() const
    {
        return std::max(1U, record.capacity);
    }

    std::uint32_t number; ///< Its number in prefix_index.
    membership::upstream_record record;
    service_rate_estimator rates;
    load_estimate load;
    capacity_ramp ramp;
    upstream_health* health = nullptr; ///< Never null after update().
    core::time_point paused_until{};   ///< After it rejected a call for load.
    bool listed = false;               ///< In the newest view.
};

/// One upstream as a candidate of one call. Times are in seconds.
struct route_option
{
    upstream_slot* upstream = nullptr;
    double calls = 0; ///< Estimated calls there.
    double network_seconds = 0;
    double queue_seconds = 0;
    double work_tokens = 0; ///< Prefill before the first token.
    double uncached_tokens = 0;
    double expected_seconds = 0; ///< Expected time to first token.
    double uncached_seconds = 0; ///< Same, without cached prefixes.
    /// Seconds subtracted when upstreams of one region are compared, because
    /// saved prefill also shortens the wait of later calls.
    double cache_bonus = 0;
    bool local = false;

    /// Lower is better, among the options of one region.
    double score() const
    {
        return expected_seconds - cache_bonus;
    }
};

} // namespace hyssoploft::routing

#endif
