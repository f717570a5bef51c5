#ifndef HYSSOPLOFT_LIBRESOURCE_CONFIGURATION_HPP
#define HYSSOPLOFT_LIBRESOURCE_CONFIGURATION_HPP

// The declared resources as typed values, and the immutable snapshot of all
// of them that traffic threads read.

#include <LibCore/enum_table.hpp>
#include <LibCore/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace hyssoploft::resource {

enum class resource_kind : std::uint8_t
{
    account,
    key,
    rate,
    route,
    residency,
    upstream_role,
    fleet
};

inline constexpr core::enum_table<resource_kind, 7> resource_kind_names{
    {{resource_kind::account, "account"},
     {resource_kind::key, "key"},
     {resource_kind::rate, "rate"},
     {resource_kind::route, "route"},
     {resource_kind::residency, "residency"},
     {resource_kind::upstream_role, "upstream_role"},
     {resource_kind::fleet, "fleet"}}};

/// Identifies a resource. A rate has the name of its account, the fleet the
/// name "fleet".
struct resource_id
{
    resource_kind kind = resource_kind::account;
    std::string name;

    bool operator<(const resource_id& other) const
    {
        return std::tie(kind, name) < std::tie(other.kind, other.name);
    }
    bool operator==(const resource_id&) const = default;
};

/// A client account.
struct account
{
    std::string name;
    std::string home_region; ///< Empty: no home region.
    double weight = 1.0;     ///< Share in fair queueing; greater than 0.

    bool operator==(const account&) const = default;
};

/// A caller's key; only its keyed hash is stored.
struct key
{
    std::string name;
    std::string account;
    std::string digest; ///< HMAC-SHA-256 in hexadecimal.
    bool withdrawn = false;

    bool operator==(const key&) const = default;
};

/// Rate limit and burst of the client account of the same name, across the
/// fleet.
struct rate
{
    std::string account;
    double tokens_per_second = 0;
    double burst_tokens = 0;
    /// Share of the rate that is not leased and so never expires; 0 to 1.
    double floor_fraction = 0.5;

    bool operator==(const rate&) const = default;
};

enum class route_kind : std::uint8_t
{
    inference,
    service
};

inline constexpr core::enum_table<route_kind, 2> route_kind_names{
    {{route_kind::inference, "inference"}, {route_kind::service, "service"}}};

enum class priority_class : std::uint8_t
{
    interactive,
    batch
};

inline constexpr core::enum_table<priority_class, 2> priority_class_names{
    {{priority_class::interactive, "interactive"},
     {priority_class::batch, "batch"}}};

enum class repeat_rule : std::uint8_t
{
    idempotent,    ///< May run any number of times.
    not_repeatable ///< At most once; needs an Idempotency-Key.
};

inline constexpr core::enum_table<repeat_rule, 2> repeat_rule_names{
    {{repeat_rule::idempotent, "idempotent"},
     {repeat_rule::not_repeatable, "not_repeatable"}}};

/// How calls are matched and served. An inference route matches by model, a
/// service route by the longest path prefix.
struct route
{
    std::string name;
    route_kind kind = route_kind::inference;
    std::string model;         ///< Inference: the model that callers name.
    std::string path_prefix;   ///< Service: such as "/bookings".
    std::string upstream_role; ///< Role that its upstreams announce.
    std::string residency;     ///< Residency rule; empty: none.
    bool open = false;         ///< Needs no key.
    repeat_rule repeat = repeat_rule::idempotent;
    priority_class priority = priority_class::interactive;
    core::duration deadline = std::chrono::seconds(60);
    core::duration record_lifetime = std::chrono::hours(24);
    /// Minimum expected reduction of the time to the first token that
    /// justifies routing to another region.
    double remote_price_seconds = 0.25;

    bool operator==(const route&) const = default;
};

/// A residency rule: the regions to which data is restricted. Never empty.
struct residency
{
    std::string name;
    std::set<std::string> regions;

    bool operator==(const residency&) const = default;
};

/// Declared properties of the upstreams that announce a role.
struct upstream_role
{
    std::string name;
    bool checks_issuer = false;
    bool checks_fencing = false;

    bool operator==(const upstream_role&) const = default;
};

struct declared_vm
{
    std::string id;
    std::string region;
    std::string data_center;

    bool operator==(const declared_vm&) const = default;
};

/// Byte budget of the link between two regions, in one direction.
struct region_link
{
    std::string from;
    std::string to;
    double bytes_per_second = 0;

    bool operator==(const region_link&) const = default;
};

/// The declared VMs and links. There is one, named "fleet".
struct fleet
{
    std::vector<declared_vm> vms; ///< At most floor_slots, identifiers unique.
    std::uint32_t floor_slots = 0;
    std::vector<region_link> links;

    bool operator==(const fleet&) const = default;
};

/// All resources at one version. Immutable once published.
struct configuration
{
    std::uint64_t version = 0; ///< Counts resource changes; only increases.
    std::map<std::string, account> accounts;
    std::map<std::string, key> keys;                ///< By name.
    std::map<std::string, std::string> key_digests; ///< Digest to key name.
    std::map<std::string, rate> rates;              ///< By account.
    std::map<std::string, route> routes;
    std::map<std::string, residency> residencies;
    std::map<std::string, upstream_role> upstream_roles;
    fleet declared_fleet;
    /// Digests of all keys ever withdrawn or deleted; it only grows.
    std::set<std::string> withdrawn_digests;
    /// The version at which each resource was last changed.
    std::map<resource_id, std::uint64_t> versions;
};

} // namespace hyssoploft::resource

#endif
