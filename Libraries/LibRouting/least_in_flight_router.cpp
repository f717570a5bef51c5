// Least in flight baseline.

#include <LibRouting/least_in_flight_router.hpp>

#include <algorithm>
#include <tuple>

namespace hyssoploft::routing {

const membership::upstream_record* least_in_flight_router::pick(
    const candidates& found, const std::string& local_region)
{
    const std::size_t n = found.usable.size();
    const std::size_t first = next_start_++ % n;
    const membership::upstream_record* best = nullptr;
    std::tuple<bool, double> best_key;
    for (std::size_t i = 0; i < n; ++i)
    {
        const auto* it = found.usable[(first + i) % n];
        const std::tuple<bool, double> key{
            it->region != local_region, load_of(*it)};
        if (best == nullptr || key < best_key)
        {
            best = it;
            best_key = key;
        }
    }
    ++in_flight_[best->id];
    return best;
}

double
least_in_flight_router::load_of(const membership::upstream_record& it) const
{
    const auto calls = in_flight_.find(it.id);
    return calls == in_flight_.end()
               ? 0.0
               : static_cast<double>(calls->second) / std::max(1U, it.capacity);
}

void least_in_flight_router::record_result(
    const std::string& upstream, const routing_request&, const call_result&,
    core::time_point)
{
    const auto it = in_flight_.find(upstream);
    if (it != in_flight_.end() && --it->second == 0)
    {
        in_flight_.erase(it);
    }
}

} // namespace hyssoploft::routing
