// Selection of a VM in another region.

#include <LibRouting/forwarding.hpp>

#include <LibRouting/candidate_filter.hpp>

#include <vector>

namespace hyssoploft::routing {

forwarding_result choose_forwarding_vm(
    const membership::fleet_view& fleet, const forwarding_request& request,
    core::random_source& random)
{
    if (request.hop_count >= hop_limit)
    {
        return {"", forwarding_reason::hop_limit_reached};
    }
    if (request.region == own_region(fleet))
    {
        return {"", forwarding_reason::own_region};
    }
    std::vector<const membership::vm_record*> in_data_center;
    std::vector<const membership::vm_record*> others;
    bool any_alive = false;
    bool any_unvisited = false;
    for (const auto& [id, it] : fleet.vms)
    {
        if (it.region != request.region || id == fleet.self ||
            it.state != membership::vm_state::alive)
        {
            continue;
        }
        any_alive = true;
        if (request.visited.contains(id))
        {
            continue;
        }
        any_unvisited = true;
        if (it.overloaded)
        {
            continue;
        }
        const bool same_center = !request.data_center.empty() &&
                                 it.data_center == request.data_center;
        (same_center ? in_data_center : others).push_back(&it);
    }
    if (!in_data_center.empty())
    {
        return {
            in_data_center[random.below(in_data_center.size())]->id,
            forwarding_reason::same_data_center};
    }
    if (!others.empty())
    {
        return {
            others[random.below(others.size())]->id,
            forwarding_reason::same_region};
    }
    return {
        "", any_unvisited ? forwarding_reason::all_overloaded
            : any_alive   ? forwarding_reason::all_visited
                          : forwarding_reason::no_vm};
}

bool may_accept_forwarded_call(
    const std::string& self, std::uint32_t hop_count,
    const std::set<std::string>& visited)
{
    return hop_count <= hop_limit && !visited.contains(self);
}

} // namespace hyssoploft::routing
