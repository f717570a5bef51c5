#ifndef HYSSOPLOFT_LIBFLEET_LOAD_SOURCES_HPP
#define HYSSOPLOFT_LIBFLEET_LOAD_SOURCES_HPP

// Chooses the control VMs that send load sums to a region's VMs. The sums have
// a row for each upstream of the fleet, so that sending them from every control
// VM to every VM would be most of the traffic between regions.

#include <LibMembership/fleet_view.hpp>

#include <string>

namespace hyssoploft::fleet {

/// Whether `control_vm` includes load sums in its replies to VMs of `region`:
/// control VMs of that region do; if none of them is alive, all others do.
bool sends_loads_to(
    const membership::fleet_view& fleet, const std::string& control_vm,
    const std::string& region);

} // namespace hyssoploft::fleet

#endif
