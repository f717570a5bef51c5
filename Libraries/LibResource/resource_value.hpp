#ifndef HYSSOPLOFT_LIBRESOURCE_RESOURCE_VALUE_HPP
#define HYSSOPLOFT_LIBRESOURCE_RESOURCE_VALUE_HPP

// A resource of any kind, and access to it in a configuration.

#include <LibResource/configuration.hpp>

#include <optional>
#include <string>
#include <variant>

namespace hyssoploft::resource {

/// The alternatives are in the order of resource_kind.
using resource_value =
    std::variant<account, key, rate, route, residency, upstream_role, fleet>;

inline constexpr const char* fleet_name = "fleet";

resource_kind kind_of(const resource_value& it);
resource_id id_of(const resource_value& it);

/// "kind/name"
std::string to_string(const resource_id& it);

/// A default value of the kind with this name.
resource_value make_resource(const resource_id& id);

std::optional<resource_value>
find_resource(const configuration& from, const resource_id& id);

/// The version of its last change; 0 if it doesn't exist.
std::uint64_t version_of(const configuration& from, const resource_id& id);

/// Adds or replaces the resource and sets its version.
void put_resource(
    configuration& to, const resource_value& it, std::uint64_t version);

/// Removes the resource if it exists.
void erase_resource(configuration& from, const resource_id& id);

} // namespace hyssoploft::resource

#endif
