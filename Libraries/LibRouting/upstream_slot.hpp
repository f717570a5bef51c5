#ifndef HYSSOPLOFT_LIBROUTING_UPSTREAM_SLOT_HPP
#define HYSSOPLOFT_LIBROUTING_UPSTREAM_SLOT_HPP

// What expected_time_router keeps of one upstream, and the upstream as a
// candidate of one call.

#include <LibRouting/capacity_ramp.hpp>
#include <LibRouting/load_estimate.hpp>
#include <LibRouting/outlier_ejector.hpp>
#include <LibRouting/service_rate_estimator.hpp>

#include <algorithm>
#include <cstdint>

namespace hyssoploft::routing {

/// State of one upstream.
struct upstream_slot
{
    upstream_slot(
        const load_settings& load_s, const ramp_settings& ramp_s,
        std::uint32_t n)
        : number(n), load(load_s), ramp(ramp_s)
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
    core::time_point paused_until{};   ///< It refused a call for load.
    bool listed = false;               ///< In the newest view.
};

/// One upstream as a candidate of one call. Times are in seconds.
struct route_option
{
    upstream_slot* upstream = nullptr;
    double calls = 0; ///< Estimated calls there.
    double network = 0;
    double wait = 0;
    double work_tokens = 0; ///< Prefill before the first token.
    double uncached_tokens = 0;
    double seconds = 0;       ///< Expected time to first token.
    double without_cache = 0; ///< The same without cached prefixes.
    /// Counts for the cache when upstreams of one region are compared: the
    /// prefill that is saved also shortens the wait of later calls.
    double cache_bonus = 0;
    bool local = false;

    /// Lower is better, among the options of one region.
    double score() const
    {
        return seconds - cache_bonus;
    }
};

} // namespace hyssoploft::routing

#endif
