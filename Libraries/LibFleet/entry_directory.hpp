#ifndef HYSSOPLOFT_LIBFLEET_ENTRY_DIRECTORY_HPP
#define HYSSOPLOFT_LIBFLEET_ENTRY_DIRECTORY_HPP

// Which entry VMs a caller should use.

#include <LibMembership/fleet_view.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace hyssoploft::fleet {

/// "IP:port" of ready entry VMs in the caller's region; of all regions if it
/// has none. At most `limit`.
std::vector<std::string> entry_addresses_for(
    const membership::fleet_view& fleet, const std::string& region,
    std::size_t limit);

/// VMs of `region` that can pass calls on to its upstreams: ready ones, or
/// those that leave if there are none, since they take calls a little longer.
std::vector<const membership::vm_record*>
relay_vms_of(const membership::fleet_view& fleet, const std::string& region);

} // namespace hyssoploft::fleet

#endif
