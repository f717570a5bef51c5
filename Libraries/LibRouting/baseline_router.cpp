// Base class of the baseline routers.

#include <LibRouting/baseline_router.hpp>

#include <utility>

namespace hyssoploft::routing {

void baseline_router::update(
    std::shared_ptr<const membership::fleet_view> fleet,
    std::shared_ptr<const resource::configuration>, core::time_point)
{
    fleet_ = std::move(fleet);
}

routing_result
baseline_router::choose(const routing_request& request, core::time_point)
{
    routing_result result;
    if (fleet_ == nullptr)
    {
        return result;
    }
    const candidates found = find_candidates(*fleet_, request);
    if (found.usable.empty())
    {
        result.refusal = found.refusal;
        return result;
    }
    const auto* it = pick(found, own_region(*fleet_));
    result.chosen = true;
    result.decision = {it->id, it->region, reason(), {}};
    return result;
}

void baseline_router::record_result(
    const std::string&, const routing_request&, const call_result&,
    core::time_point)
{}

void baseline_router::apply_cache_event(
    const std::string&, std::uint64_t, const std::vector<std::uint64_t>&,
    const std::vector<std::uint64_t>&, core::time_point)
{}

} // namespace hyssoploft::routing
