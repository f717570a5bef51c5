#ifndef HYSSOPLOFT_LIBFLEET_ROW_CHECKS_HPP
#define HYSSOPLOFT_LIBFLEET_ROW_CHECKS_HPP

// Checks of rows received from other VMs.

#include <LibFleet/fleet_messages.hpp>

namespace hyssoploft::fleet {

/// False for values that the enumeration doesn't have: the sender runs another
/// build, or the row is damaged.
inline bool has_known_state(const vm_row& it)
{
    return it.state < membership::vm_state_names.size();
}

inline bool has_known_state(const upstream_row& it)
{
    return it.state < membership::upstream_state_names.size();
}

} // namespace hyssoploft::fleet

#endif
