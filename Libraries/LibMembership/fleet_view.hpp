#ifndef HYSSOPLOFT_LIBMEMBERSHIP_FLEET_VIEW_HPP
#define HYSSOPLOFT_LIBMEMBERSHIP_FLEET_VIEW_HPP

// VMs and upstreams as one VM sees them: the immutable snapshot that traffic
// threads read.

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
    bool control = false;        ///< Holds a replica of the log.
    bool isolated = false;       ///< It hears from no peer of its region.
    std::string relay_address;   ///< "IP:port" for calls of other VMs.
    std::string control_address; ///< "IP:port" for upstreams and operators.
    bool entry = false;          ///< Takes requests of callers.
    bool ready = false;          ///< Takes new ones now.
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
    std::uint32_t capacity = 1; ///< Calls that it runs at the same time.
    upstream_capabilities capabilities;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Newest (incarnation, sequence) wins.
    upstream_state state = upstream_state::serving;
    load_report load;
    core::time_point cold_until{}; ///< Takes few requests before, on this VM's
                                   ///< clock.
    bool silent = false;           ///< No renewal arrived for some time.
};

/// Load of one region's serving upstreams, as other regions see it.
struct region_summary
{
    std::uint32_t upstreams = 0;
    std::uint64_t capacity = 0;
    std::uint64_t running = 0;
    std::uint64_t queued = 0;
    double tokens_per_second = 0;
    core::time_point measured{}; ///< On this VM's clock, from its stated age.
};

/// Immutable once published.
struct fleet_view
{
    std::string self; ///< Identifier of this VM.
    std::map<std::string, vm_record> vms;
    std::map<std::string, upstream_record> upstreams;
    /// This VM hears from no peer of its region although it has others.
    bool isolated = false;
    /// Other regions only; full load reports stay inside a region.
    std::map<std::string, region_summary> regions;
};

} // namespace hyssoploft::membership

#endif
