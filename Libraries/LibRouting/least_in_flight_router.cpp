// Least in flight baseline.

#include <LibRouting/least_in_flight_router.hpp>

#include <LibRouting/candidate_filter.hpp>

#include <algorithm>
#include <tuple>

namespace hyssoploft::routing {

void least_in_flight_router::update(
    std::shared_ptr<const membership::fleet_view> fleet,
    std::shared_ptr<const resource::configuration>, core::time_point)
{
    fleet_ = std::move(fleet);
}

routing_result
least_in_flight_router::choose(const routing_request& request, core::time_point)
{
    routing_result result;
    if (fleet_ == nullptr)
    {
        return result;
    }
    candidates found = find_candidates(*fleet_, request);
    if (found.usable.empty())
    {
        result.refusal = found.refusal;
        return result;
    }
    const std::string here = own_region(*fleet_);
    const std::size_t n = found.usable.size();
    const std::size_t first = turn_++ % n;
    const membership::upstream_record* best = nullptr;
    std::tuple<bool, double> best_key;
    for (std::size_t i = 0; i < n; ++i)
    {
        const auto* it = found.usable[(first + i) % n];
        const auto calls = in_flight_.find(it->id);
        const double load = calls == in_flight_.end()
                                ? 0.0
                                : static_cast<double>(calls->second);
        const std::tuple<bool, double> key{
            it->region != here, load / std::max(1U, it->capacity)};
        if (best == nullptr || key < best_key)
        {
            best = it;
            best_key = key;
        }
    }
    ++in_flight_[best->id];
    result.chosen = true;
    result.decision = {
        best->id, best->region, routing_reason::least_in_flight, {}};
    return result;
}

void least_in_flight_router::finished(
    const std::string& upstream, const routing_request&, const call_result&,
    core::time_point)
{
    const auto it = in_flight_.find(upstream);
    if (it != in_flight_.end() && --it->second == 0)
    {
        in_flight_.erase(it);
    }
}

void least_in_flight_router::cache_event(
    const std::string&, std::uint64_t, const std::vector<std::uint64_t>&,
    const std::vector<std::uint64_t>&, core::time_point)
{}

} // namespace hyssoploft::routing
