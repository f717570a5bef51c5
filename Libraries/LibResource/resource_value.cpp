// Maps each kind of resource to its container in a configuration.

#include <LibResource/resource_value.hpp>

#include <LibCore/text.hpp>

#include <type_traits>

namespace hyssoploft::resource {

namespace {

template <typename T>
const std::string& name_of_value(const T& it)
{
    if constexpr (std::is_same_v<T, rate>)
    {
        return it.account;
    }
    else if constexpr (std::is_same_v<T, fleet>)
    {
        static const std::string name = fleet_name;
        return name;
    }
    else
    {
        return it.name;
    }
}

template <typename T>
std::optional<resource_value>
find_in(const std::map<std::string, T>& from, const std::string& name)
{
    const auto it = from.find(name);
    return it == from.end() ? std::nullopt
                            : std::optional<resource_value>(it->second);
}

void put(configuration& to, const account& it)
{
    to.accounts[it.name] = it;
}

void put(configuration& to, const key& it)
{
    const auto old = to.keys.find(it.name);
    if (old != to.keys.end() && old->second.digest != it.digest)
    {
        to.key_digests.erase(old->second.digest);
    }
    to.keys[it.name] = it;
    to.key_digests[it.digest] = it.name;
}

void put(configuration& to, const rate& it)
{
    to.rates[it.account] = it;
}

void put(configuration& to, const route& it)
{
    to.routes[it.name] = it;
}

void put(configuration& to, const residency& it)
{
    to.residencies[it.name] = it;
}

void put(configuration& to, const upstream_role& it)
{
    to.upstream_roles[it.name] = it;
}

void put(configuration& to, const fleet& it)
{
    to.declared_fleet = it;
}

} // namespace

resource_kind kind_of(const resource_value& it)
{
    return static_cast<resource_kind>(it.index());
}

resource_id id_of(const resource_value& it)
{
    return {
        kind_of(it), std::visit(
                         [](const auto& v) {
                             return name_of_value(v);
                         },
                         it)};
}

std::string to_string(const resource_id& it)
{
    return core::concat(
        core::name_of(resource_kind_names, it.kind), "/", it.name);
}

resource_value make_resource(const resource_id& id)
{
    const auto with_name = [&](auto it) -> resource_value {
        it.name = id.name;
        return it;
    };
    switch (id.kind)
    {
    case resource_kind::account:
        return with_name(account{});
    case resource_kind::key:
        return with_name(key{});
    case resource_kind::rate: {
        rate it;
        it.account = id.name;
        return it;
    }
    case resource_kind::route:
        return with_name(route{});
    case resource_kind::residency:
        return with_name(residency{});
    case resource_kind::upstream_role:
        return with_name(upstream_role{});
    case resource_kind::fleet:
        break;
    }
    return fleet{};
}

std::optional<resource_value>
find_resource(const configuration& from, const resource_id& id)
{
    switch (id.kind)
    {
    case resource_kind::account:
        return find_in(from.accounts, id.name);
    case resource_kind::key:
        return find_in(from.keys, id.name);
    case resource_kind::rate:
        return find_in(from.rates, id.name);
    case resource_kind::route:
        return find_in(from.routes, id.name);
    case resource_kind::residency:
        return find_in(from.residencies, id.name);
    case resource_kind::upstream_role:
        return find_in(from.upstream_roles, id.name);
    case resource_kind::fleet:
        break;
    }
    // The fleet value always exists; its version says whether it was declared.
    return version_of(from, id) == 0
               ? std::nullopt
               : std::optional<resource_value>(from.declared_fleet);
}

std::uint64_t version_of(const configuration& from, const resource_id& id)
{
    const auto it = from.versions.find(id);
    return it == from.versions.end() ? 0 : it->second;
}

void put_resource(
    configuration& to, const resource_value& it, std::uint64_t version)
{
    std::visit(
        [&](const auto& v) {
            put(to, v);
        },
        it);
    to.versions[id_of(it)] = version;
}

void erase_resource(configuration& from, const resource_id& id)
{
    from.versions.erase(id);
    switch (id.kind)
    {
    case resource_kind::account:
        from.accounts.erase(id.name);
        return;
    case resource_kind::key:
        if (const auto it = from.keys.find(id.name); it != from.keys.end())
        {
            from.key_digests.erase(it->second.digest);
            from.keys.erase(it);
        }
        return;
    case resource_kind::rate:
        from.rates.erase(id.name);
        return;
    case resource_kind::route:
        from.routes.erase(id.name);
        return;
    case resource_kind::residency:
        from.residencies.erase(id.name);
        return;
    case resource_kind::upstream_role:
        from.upstream_roles.erase(id.name);
        return;
    case resource_kind::fleet:
        from.declared_fleet = {};
        return;
    }
}

} // namespace hyssoploft::resource
