#ifndef HYSSOPLOFT_LIBROUTING_CANDIDATE_FILTER_HPP
#define HYSSOPLOFT_LIBROUTING_CANDIDATE_FILTER_HPP

// Filters the upstreams that may run a call. Every router applies it before it
// ranks upstreams.

#include <LibMembership/fleet_view.hpp>
#include <LibRouting/router.hpp>

#include <string>
#include <vector>

namespace hyssoploft::routing {

/// Whether the upstream serves the request's role, model and adapter.
bool serves(
    const membership::upstream_record& upstream,
    const routing_request& request);

/// Checks the residency rule, and that a forwarded request stays in this VM's
/// region.
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

/// Finds the serving upstreams that are allowed and not excluded.
candidates find_candidates(
    const membership::fleet_view& fleet, const routing_request& request);

} // namespace hyssoploft::routing

#endif
