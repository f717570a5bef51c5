// Selects entry VMs for callers and relay VMs for calls between regions.

#include <LibFleet/entry_directory.hpp>

#include <LibCore/rendezvous.hpp>

#include <algorithm>

namespace hyssoploft::fleet {

std::vector<std::string> entry_addresses_for(
    const membership::fleet_view& fleet, const std::string& region,
    std::size_t limit)
{
    std::vector<std::string> region_addresses;
    std::vector<std::string> all_addresses;
    for (const auto& [id, it] : fleet.vms)
    {
        const bool is_usable =
            it.entry && it.ready && it.state == membership::vm_state::alive;
        if (is_usable)
        {
            all_addresses.push_back(it.http_address);
            if (it.region == region)
            {
                region_addresses.push_back(it.http_address);
            }
        }
    }
    // Prefers the caller's own region: residency rules allow it more often than
    // other regions, and request bodies should not leave it without need.
    auto& chosen = region_addresses.empty() ? all_addresses : region_addresses;
    if (chosen.size() > limit)
    {
        chosen.resize(limit);
    }
    return chosen;
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

std::vector<const membership::vm_record*> preferred_relay_vms(
    const membership::fleet_view& fleet, const std::string& region,
    std::size_t limit)
{
    auto out = relay_vms_of(fleet, region);
    if (out.size() <= limit)
    {
        return out;
    }
    const auto seed = core::rendezvous_hash(0, fleet.self);
    const auto rank = [seed](const membership::vm_record* it) {
        return core::rendezvous_hash(seed, it->id);
    };
    std::partial_sort(
        out.begin(), out.begin() + static_cast<std::ptrdiff_t>(limit),
        out.end(), [&](const auto* a, const auto* b) {
            return rank(a) > rank(b);
        });
    out.resize(limit);
    return out;
}

} // namespace hyssoploft::fleet
