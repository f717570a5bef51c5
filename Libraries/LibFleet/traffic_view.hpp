#ifndef HYSSOPLOFT_LIBFLEET_TRAFFIC_VIEW_HPP
#define HYSSOPLOFT_LIBFLEET_TRAFFIC_VIEW_HPP

// Immutable snapshot of the fleet for traffic threads, and the interface that
// provides it.

#include <LibCore/time.hpp>
#include <LibFleet/crash_suspects.hpp>
#include <LibFleet/fleet_messages.hpp>
#include <LibManifest/route_table.hpp>
#include <LibMembership/fleet_view.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hyssoploft::fleet {

/// Load that the other VMs cause on one upstream.
struct remote_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting_tokens = 0; ///< Prompt tokens not yet processed.
};

struct traffic_view
{
    std::shared_ptr<const membership::fleet_view> fleet; ///< Never null.
    /// Null before the first manifest.
    std::shared_ptr<const manifest::route_table> routes;
    std::set<std::string> evacuated;          ///< Data centres.
    std::map<std::string, remote_load> loads; ///< By upstream.
    core::time_point loads_received_at{}; ///< When `loads` were last received.
    /// Prompt parts under which upstreams crashed; null: none.
    std::shared_ptr<const suspect_parts> suspects;
    core::time_point built{};
    /// Number of recently seen entry VMs, at least 1. Includes silent ones, as
    /// they may still use their part of fleet-wide budgets.
    std::uint32_t entry_vms = 1;
    std::uint32_t region_entry_vms = 1; ///< Those in this VM's region.
    std::size_t live_control_vms = 0;   ///< Those that replied recently.
    /// The process was paused, and no control VM has replied since.
    bool is_resuming = false;
};

/// A running control thread renews the snapshot several times in this time.
inline constexpr std::chrono::seconds max_view_age{2};

/// True if the process was paused and may not know what happened meanwhile.
inline bool is_outdated(const traffic_view& it, core::time_point now)
{
    return it.is_resuming || now - it.built > max_view_age;
}

/// Access to the control thread for traffic threads. Thread-safe; returns
/// immediately.
class traffic_source
{
public:
    virtual ~traffic_source() = default;

    /// The newest snapshot; never null.
    virtual std::shared_ptr<const traffic_view> view() const = 0;

    /// Sets this VM's load on each upstream, which is reported to other VMs.
    virtual void set_loads(std::vector<load_row> loads) = 0;
};

/// Receives what traffic threads observe about prompt parts. Thread-safe;
/// returns immediately.
class suspect_sink
{
public:
    virtual ~suspect_sink() = default;

    /// An upstream broke off before it had generated more than one event.
    /// `upstream` is its hash_upstream().
    virtual void report_crash(
        std::uint64_t upstream, std::vector<std::uint64_t> parts,
        core::time_point at) = 0;

    /// A part among traffic_view::suspects was answered.
    virtual void report_answer(std::uint64_t part, core::time_point at) = 0;
};

/// Receives what traffic threads observe about upstreams. Thread-safe; returns
/// immediately.
class leave_sink
{
public:
    virtual ~leave_sink() = default;

    /// An answer of this incarnation said that it leaves.
    virtual void report_leaving(
        const std::string& upstream, std::uint64_t incarnation,
        core::time_point at) = 0;
};

} // namespace hyssoploft::fleet

#endif
