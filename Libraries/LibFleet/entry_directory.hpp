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

} // namespace hyssoploft::fleet

#endif
