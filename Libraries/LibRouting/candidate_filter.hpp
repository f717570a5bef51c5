#ifndef HYSSOPLOFT_LIBROUTING_CANDIDATE_FILTER_HPP
#define HYSSOPLOFT_LIBROUTING_CANDIDATE_FILTER_HPP

// The hard conditions of section 5.6 and 5.9: which upstreams may run a call
// at all. Every router applies them before it compares anything.

#include <LibMembership/fleet_view.hpp>
#include <LibRouting/router.hpp>

#include <string>
#include <vector>

namespace hyssoploft::routing {

/// Serves the request's role, model and adapter.
bool serves(
    const membership::upstream_record& upstream,
    const routing_request& request);

/// Residency, and for a forwarded request the VM's own region.
bool region_allowed(
    const std::string& region, const routing_request& request,
    const std::string& own_region);

/// The region of this VM; empty if the view does not list it.
std::string own_region(const membership::fleet_view& fleet);

struct candidates
{
    std::vector<const membership::upstream_record*> usable; ///< Sorted by id.
    no_route_reason refusal = no_route_reason::no_upstream; ///< If empty.
};

/// Serving upstreams that are allowed and not excluded.
candidates find_candidates(
    const membership::fleet_view& fleet, const routing_request& request);

} // namespace hyssoploft::routing

#endif
