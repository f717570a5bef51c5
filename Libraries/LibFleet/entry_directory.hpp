#ifndef HYSSOPLOFT_LIBFLEET_ENTRY_DIRECTORY_HPP
#define HYSSOPLOFT_LIBFLEET_ENTRY_DIRECTORY_HPP

// Selects entry VMs for callers and relay VMs for calls between regions.

#include <LibMembership/fleet_view.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace hyssoploft::fleet {

/// At most `limit` addresses ("IP:port") of ready entry VMs in `region`, or in
/// all regions if `region` has none.
std::vector<std::string> entry_addresses_for(
    const membership::fleet_view& fleet, const std::string& region,
    std::size_t limit);

/// VMs of `region` that can forward calls to its upstreams: the ready ones, or
/// the leaving ones if none is ready, as those accept calls for a short time.
std::vector<const membership::vm_record*>
relay_vms_of(const membership::fleet_view& fleet, const std::string& region);

/// The few of relay_vms_of() that this VM prefers, at most `limit`. Each VM
/// prefers others, and always the same ones: a connection to another region
/// takes a round trip to open, and calls that spread over all VMs there would
/// seldom find one open.
std::vector<const membership::vm_record*> preferred_relay_vms(
    const membership::fleet_view& fleet, const std::string& region,
    std::size_t limit);

} // namespace hyssoploft::fleet

#endif
