// Chooses the sources of load sums by region.

#include <LibFleet/load_sources.hpp>

#include <algorithm>

namespace hyssoploft::fleet {

bool sends_loads_to(
    const membership::fleet_view& fleet, const std::string& control_vm,
    const std::string& region)
{
    const auto is_source = [&](const auto& entry) {
        const auto& it = entry.second;
        return it.control && it.region == region &&
               it.state == membership::vm_state::alive;
    };
    const auto own = fleet.vms.find(control_vm);
    if (own == fleet.vms.end() || is_source(*own))
    {
        return true;
    }
    return std::none_of(fleet.vms.begin(), fleet.vms.end(), is_source);
}

} // namespace hyssoploft::fleet
