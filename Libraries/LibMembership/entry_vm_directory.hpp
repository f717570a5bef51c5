#ifndef HYSSOPLOFT_LIBMEMBERSHIP_ENTRY_VM_DIRECTORY_HPP
#define HYSSOPLOFT_LIBMEMBERSHIP_ENTRY_VM_DIRECTORY_HPP

// Directory that ranks the entry VMs for a caller.

#include <LibCore/time.hpp>
#include <LibMembership/fleet_view.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace hyssoploft::membership {

struct directory_query
{
    std::string region;
    std::string data_center;
    /// Distinguishes callers, for example the IP address. Its hash spreads
    /// callers over VMs at the same distance.
    std::string caller;
    std::size_t limit = 16;
};

struct entry_vm
{
    std::string id;
    std::string http_address;
    std::string region;
    std::string data_center;
};

struct entry_vm_list
{
    std::vector<entry_vm> vms;
    /// The caller should refresh the list after this time. It is less than
    /// twice the time in which a VM's death becomes known.
    core::duration lifetime = std::chrono::seconds(10);
};

/// VMs of the caller's data centre, then of its region, then others. Contains
/// only VMs that are alive and neither overloaded nor isolated, so the list
/// can be empty.
entry_vm_list
find_entry_vms(const fleet_view& view, const directory_query& query);

} // namespace hyssoploft::membership

#endif
