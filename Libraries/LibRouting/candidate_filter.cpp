// Hard conditions on upstreams.

#include <LibRouting/candidate_filter.hpp>

#include <algorithm>

namespace hyssoploft::routing {
namespace {

bool lists(const std::vector<std::string>& items, const std::string& item)
{
    return item.empty() ||
           std::find(items.begin(), items.end(), item) != items.end();
}

} // namespace

bool serves(
    const membership::upstream_record& upstream, const routing_request& request)
{
    return (request.role.empty() || upstream.role == request.role) &&
           lists(upstream.models, request.model) &&
           lists(upstream.adapters, request.adapter);
}

bool region_allowed(
    const std::string& region, const routing_request& request,
    const std::string& own_region)
{
    if (request.local_only && region != own_region)
    {
        return false;
    }
    return request.allowed_regions.empty() ||
           request.allowed_regions.contains(region);
}

std::string own_region(const membership::fleet_view& fleet)
{
    const auto it = fleet.vms.find(fleet.self);
    return it == fleet.vms.end() ? std::string() : it->second.region;
}

candidates find_candidates(
    const membership::fleet_view& fleet, const routing_request& request)
{
    candidates found;
    const std::string here = own_region(fleet);
    bool any = false;
    bool allowed = false;
    for (const auto& [id, it] : fleet.upstreams)
    {
        if (it.state != membership::upstream_state::serving ||
            !serves(it, request))
        {
            continue;
        }
        any = true;
        if (!region_allowed(it.region, request, here))
        {
            continue;
        }
        allowed = true;
        if (!request.excluded.contains(id))
        {
            found.usable.push_back(&it);
        }
    }
    found.refusal = !any      ? no_route_reason::no_upstream
                    : allowed ? no_route_reason::all_ejected_or_full
                              : no_route_reason::residency_forbids;
    return found;
}

} // namespace hyssoploft::routing
