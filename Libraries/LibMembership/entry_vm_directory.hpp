#ifndef HYSSOPLOFT_LIBMEMBERSHIP_ENTRY_VM_DIRECTORY_HPP
#define HYSSOPLOFT_LIBMEMBERSHIP_ENTRY_VM_DIRECTORY_HPP

// Which VMs a caller should use, best first.

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
    /// Anything that tells callers apart, such as the IP address. Callers
    /// spread over VMs that are equally near by a hash of it.
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
    /// Ask again after this time. It is shorter than the time after which a
    /// dead VM is known to be dead twice over.
    core::duration lifetime = std::chrono::seconds(10);
};

/// VMs of the caller's data centre, then of its region, then others. Only
/// live VMs that aren't leaving, overloaded or isolated are listed, so the
/// list can be empty.
entry_vm_list
find_entry_vms(const fleet_view& view, const directory_query& query);

} // namespace hyssoploft::membership

#endif
