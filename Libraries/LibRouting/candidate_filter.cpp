// Eligibility of upstreams for a call.

#include <LibRouting/candidate_filter.hpp>

#include <algorithm>

namespace hyssoploft::routing {
namespace {

bool matches(const std::vector<std::string>& items, const std::string& item)
{
    return item.empty() ||
           std::find(items.begin(), items.end(), item) != items.end();
}

} // namespace

bool serves(
    const membership::upstream_record& upstream, const routing_request& request)
{
    return (request.role.empty() || upstream.role == request.role) &&
           matches(upstream.models, request.model) &&
           matches(upstream.adapters, request.adapter);
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
    candidates result;
    const std::string this_region = own_region(fleet);
    bool any_serving = false;
    bool any_allowed = false;
    for (const auto& [id, it] : fleet.upstreams)
    {
        if (it.state != membership::upstream_state::serving ||
            !serves(it, request))
        {
            continue;
        }
        any_serving = true;
        if (!region_allowed(it.region, request, this_region))
        {
            continue;
        }
        any_allowed = true;
        if (!request.excluded.contains(id))
        {
            result.usable.push_back(&it);
        }
    }
    result.refusal = !any_serving  ? no_route_reason::no_upstream
                     : any_allowed ? no_route_reason::all_ejected_or_full
                                   : no_route_reason::residency_forbids;
    return result;
}

} // namespace hyssoploft::routing
