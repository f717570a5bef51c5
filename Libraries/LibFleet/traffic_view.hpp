#ifndef HYSSOPLOFT_LIBFLEET_TRAFFIC_VIEW_HPP
#define HYSSOPLOFT_LIBFLEET_TRAFFIC_VIEW_HPP

// What traffic threads know of the fleet: an immutable snapshot, and the
// interface through which they get it.

#include <LibCore/time.hpp>
#include <LibFleet/fleet_messages.hpp>
#include <LibManifest/route_table.hpp>
#include <LibMembership/fleet_view.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hyssoploft::fleet {

/// Calls of the other VMs at one upstream.
struct others_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting_tokens = 0; ///< Prompt tokens not read yet.
};

struct traffic_view
{
    std::shared_ptr<const membership::fleet_view> fleet; ///< Never null.
    /// Null before the first manifest.
    std::shared_ptr<const manifest::route_table> routes;
    std::set<std::string> evacuated;          ///< Data centres.
    std::map<std::string, others_load> loads; ///< By upstream.
    core::time_point loads_at{}; ///< When loads were received last.
    core::time_point built{};
    /// Entry VMs that were seen lately, also those that are silent now: they
    /// may still use their part of fleet-wide budgets. At least 1.
    std::uint32_t entry_vms = 1;
    std::uint32_t region_entry_vms = 1; ///< The same in this VM's region.
    std::size_t control_vms_heard = 0;  ///< That answered lately.
};

/// What traffic needs of the control thread. Thread safe; returns at once.
class traffic_source
{
public:
    virtual ~traffic_source() = default;

    /// The newest snapshot; never null.
    virtual std::shared_ptr<const traffic_view> view() const = 0;

    /// Calls of this VM at each upstream, for the reports to other VMs.
    virtual void set_loads(std::vector<load_row> loads) = 0;
};

} // namespace hyssoploft::fleet

#endif
