#ifndef HYSSOPLOFT_LIBROUTING_FORWARDING_HPP
#define HYSSOPLOFT_LIBROUTING_FORWARDING_HPP

// Selects the VM that forwards a call into another region.

#include <LibCore/enum_table.hpp>
#include <LibCore/random_source.hpp>
#include <LibMembership/fleet_view.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace hyssoploft::routing {

/// Maximum number of VMs on a call's path: its entry VM and one more.
inline constexpr std::uint32_t hop_limit = 2;

enum class forwarding_reason : std::uint8_t
{
    same_data_center, ///< Chosen in the upstream's data centre.
    same_region,      ///< Chosen in the upstream's region.
    hop_limit_reached,
    own_region,  ///< This VM is in that region; no forwarding.
    no_vm,       ///< No VM of that region is alive.
    all_visited, ///< All live VMs have handled this call.
    all_overloaded
};

inline constexpr core::enum_table<forwarding_reason, 7> forwarding_reason_names{
    {{forwarding_reason::same_data_center, "same_data_center"},
     {forwarding_reason::same_region, "same_region"},
     {forwarding_reason::hop_limit_reached, "hop_limit_reached"},
     {forwarding_reason::own_region, "own_region"},
     {forwarding_reason::no_vm, "no_vm"},
     {forwarding_reason::all_visited, "all_visited"},
     {forwarding_reason::all_overloaded, "all_overloaded"}}};

struct forwarding_request
{
    std::string region;
    std::string data_center; ///< Preferred; empty: any.
    /// VMs on the call's path so far, including this one; 1 at the entry VM.
    std::uint32_t hop_count = 1;
    std::set<std::string> visited;
};

struct forwarding_result
{
    std::string vm; ///< Empty: not forwarded; the call did not run.
    forwarding_reason reason = forwarding_reason::no_vm;
};

/// Selects a random VM that is alive, not overloaded and not visited.
forwarding_result choose_forwarding_vm(
    const membership::fleet_view& fleet, const forwarding_request& request,
    core::random_source& random);

/// Whether the receiver of a forwarded call may accept it. `hop_count` includes
/// the receiver, `visited` must not.
bool may_accept_forwarded_call(
    const std::string& self, std::uint32_t hop_count,
    const std::set<std::string>& visited);

} // namespace hyssoploft::routing

#endif
