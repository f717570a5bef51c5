#ifndef HYSSOPLOFT_LIBMEMBERSHIP_FLEET_VIEW_HPP
#define HYSSOPLOFT_LIBMEMBERSHIP_FLEET_VIEW_HPP

// Immutable snapshot of the VMs and upstreams known to one VM, read by the
// threads that serve requests.

#include <LibCore/enum_table.hpp>
#include <LibCore/time.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hyssoploft::membership {

enum class vm_state : std::uint8_t
{
    alive,
    suspect,
    dead,
    leaving
};

inline constexpr core::enum_table<vm_state, 4> vm_state_names{
    {{vm_state::alive, "alive"},
     {vm_state::suspect, "suspect"},
     {vm_state::dead, "dead"},
     {vm_state::leaving, "leaving"}}};

struct vm_record
{
    std::string id;
    std::string region;
    std::string data_center;
    std::string http_address; ///< "IP:port"
    std::string peer_address; ///< "IP:port", UDP and TCP.
    std::uint64_t incarnation = 0;
    vm_state state = vm_state::alive;
    std::uint64_t config_version = 0; ///< In force at that VM.
    bool overloaded = false;
    bool control = false;        ///< Has a replica of the log.
    bool isolated = false;       ///< Receives nothing from its region's VMs.
    std::string relay_address;   ///< "IP:port" for calls of other VMs.
    std::string control_address; ///< "IP:port" for upstreams and operators.
    bool entry = false;          ///< Serves requests of callers.
    bool ready = false;          ///< Accepts new requests now.
};

enum class upstream_state : std::uint8_t
{
    serving,
    leaving,
    expired
};

inline constexpr core::enum_table<upstream_state, 3> upstream_state_names{
    {{upstream_state::serving, "serving"},
     {upstream_state::leaving, "leaving"},
     {upstream_state::expired, "expired"}}};

struct upstream_capabilities
{
    bool resume = false;
    bool cancel = false;
    bool priorities = false;
    bool kv_export = false;
};

/// An upstream's last load report.
struct load_report
{
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    double tokens_per_second = 0;
    core::time_point received{}; ///< On this VM's clock.
    core::duration lag{};        ///< Age when it was received.
};

struct upstream_record
{
    std::string id;
    std::string address; ///< "IP:port"
    std::string role;
    std::string region;
    std::string data_center;
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    std::string version;
    std::uint32_t capacity = 1; ///< Maximum of concurrent calls.
    upstream_capabilities capabilities;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Newest (incarnation, sequence) wins.
    upstream_state state = upstream_state::serving;
    load_report load;
    core::time_point cold_until{}; ///< End of the warm-up with few requests, on
                                   ///< this VM's clock.
    bool silent = false;           ///< Lease renewals are overdue.
};

/// Aggregate load of one region's serving upstreams, for other regions.
struct region_summary
{
    std::uint32_t upstreams = 0;
    std::uint64_t capacity = 0;
    std::uint64_t running = 0;
    std::uint64_t queued = 0;
    double tokens_per_second = 0;
    core::time_point measured{}; ///< On this VM's clock, from the age received.
};

/// Immutable once published.
struct fleet_view
{
    std::string self; ///< Identifier of this VM.
    std::map<std::string, vm_record> vms;
    std::map<std::string, upstream_record> upstreams;
    /// This VM receives nothing from the other VMs of its region.
    bool isolated = false;
    /// Other regions only; full load reports are not sent between regions.
    std::map<std::string, region_summary> regions;
};

} // namespace hyssoploft::membership

#endif
