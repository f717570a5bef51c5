// Chooses entry VMs for callers.

#include <LibFleet/entry_directory.hpp>

namespace hyssoploft::fleet {

std::vector<std::string> entry_addresses_for(
    const membership::fleet_view& fleet, const std::string& region,
    std::size_t limit)
{
    std::vector<std::string> near;
    std::vector<std::string> all;
    for (const auto& [id, it] : fleet.vms)
    {
        const bool usable =
            it.entry && it.ready && it.state == membership::vm_state::alive;
        if (usable)
        {
            all.push_back(it.http_address);
            if (it.region == region)
            {
                near.push_back(it.http_address);
            }
        }
    }
    // Bodies must not leave the caller's region without need: the regions of
    // residency rules include the caller's own more often than others.
    auto& out = near.empty() ? all : near;
    if (out.size() > limit)
    {
        out.resize(limit);
    }
    return out;
}

std::vector<const membership::vm_record*>
relay_vms_of(const membership::fleet_view& fleet, const std::string& region)
{
    std::vector<const membership::vm_record*> ready;
    std::vector<const membership::vm_record*> leaving;
    for (const auto& [id, it] : fleet.vms)
    {
        if (it.region != region || !it.entry || it.relay_address.empty())
        {
            continue;
        }
        if (it.ready && it.state == membership::vm_state::alive)
        {
            ready.push_back(&it);
        }
        else if (it.state == membership::vm_state::leaving)
        {
            leaving.push_back(&it);
        }
    }
    return ready.empty() ? leaving : ready;
}

} // namespace hyssoploft::fleet
