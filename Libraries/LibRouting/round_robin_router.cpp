// Round robin baseline.

#include <LibRouting/round_robin_router.hpp>

#include <LibRouting/candidate_filter.hpp>

#include <algorithm>

namespace hyssoploft::routing {

void round_robin_router::update(
    std::shared_ptr<const membership::fleet_view> fleet,
    std::shared_ptr<const resource::configuration>, core::time_point)
{
    fleet_ = std::move(fleet);
}

routing_result
round_robin_router::choose(const routing_request& request, core::time_point)
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
    const auto remote = std::stable_partition(
        found.usable.begin(), found.usable.end(), [&](const auto* it) {
            return it->region == here;
        });
    if (remote != found.usable.begin())
    {
        found.usable.erase(remote, found.usable.end());
    }
    const auto* it = found.usable[turn_++ % found.usable.size()];
    result.chosen = true;
    result.decision = {it->id, it->region, routing_reason::round_robin, {}};
    return result;
}

void round_robin_router::finished(
    const std::string&, const routing_request&, const call_result&,
    core::time_point)
{}

void round_robin_router::cache_event(
    const std::string&, std::uint64_t, const std::vector<std::uint64_t>&,
    const std::vector<std::uint64_t>&, core::time_point)
{}

} // namespace hyssoploft::routing
