#ifndef HYSSOPLOFT_LIBRESOURCE_RESOURCE_ARCHIVE_HPP
#define HYSSOPLOFT_LIBRESOURCE_RESOURCE_ARCHIVE_HPP

// cereal serialization of the resource types. Only sources that encode them
// include this header, because cereal's headers are slow to compile.

#include <LibCore/bounded_archive.hpp>
#include <LibResource/change_batch.hpp>

#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace hyssoploft::resource {

template <typename Archive>
void serialize(Archive& ar, resource_id& it)
{
    ar(it.kind, it.name);
}

template <typename Archive>
void serialize(Archive& ar, account& it)
{
    ar(it.name, it.home_region, it.weight);
}

template <typename Archive>
void serialize(Archive& ar, key& it)
{
    ar(it.name, it.account, it.digest, it.withdrawn);
}

template <typename Archive>
void serialize(Archive& ar, rate& it)
{
    ar(it.account, it.tokens_per_second, it.burst_tokens, it.floor_fraction);
}

template <typename Archive>
void serialize(Archive& ar, route& it)
{
    ar(it.name, it.kind, it.model, it.path_prefix, it.upstream_role,
       it.residency, it.open, it.repeat, it.priority, it.deadline,
       it.record_lifetime, it.remote_price_seconds);
}

template <typename Archive>
void serialize(Archive& ar, residency& it)
{
    ar(it.name, it.regions);
}

template <typename Archive>
void serialize(Archive& ar, upstream_role& it)
{
    ar(it.name, it.checks_issuer, it.checks_fencing);
}

template <typename Archive>
void serialize(Archive& ar, declared_vm& it)
{
    ar(it.id, it.region, it.data_center);
}

template <typename Archive>
void serialize(Archive& ar, region_link& it)
{
    ar(it.from, it.to, it.bytes_per_second);
}

template <typename Archive>
void serialize(Archive& ar, fleet& it)
{
    ar(it.vms, it.floor_slots, it.links);
}

/// `key_digests` is not stored; load() rebuilds it from the keys.
template <typename Archive>
void save(Archive& ar, const configuration& it)
{
    ar(it.version, it.accounts, it.keys, it.rates, it.routes, it.residencies,
       it.upstream_roles, it.declared_fleet, it.withdrawn_digests, it.versions);
}

template <typename Archive>
void load(Archive& ar, configuration& it)
{
    ar(it.version, it.accounts, it.keys, it.rates, it.routes, it.residencies,
       it.upstream_roles, it.declared_fleet, it.withdrawn_digests, it.versions);
    it.key_digests.clear();
    for (const auto& [name, value] : it.keys)
    {
        it.key_digests[value.digest] = name;
    }
}

template <typename Archive>
void serialize(Archive& ar, change& it)
{
    ar(it.id, it.value, it.expected_version);
}

template <typename Archive>
void serialize(Archive& ar, change_batch& it)
{
    ar(it.request_id, it.author, it.unix_milliseconds, it.changes,
       it.withdrawn_digests);
}

template <typename Archive>
void serialize(Archive& ar, problem& it)
{
    ar(it.id, it.field, it.message);
}

template <typename Archive>
void serialize(Archive& ar, conflict& it)
{
    ar(it.id, it.expected_version, it.current_version, it.current);
}

template <typename Archive>
void serialize(Archive& ar, apply_result& it)
{
    ar(it.outcome, it.version, it.conflicts, it.problems, it.omitted);
}

template <typename Archive>
void serialize(Archive& ar, resource_update& it)
{
    ar(it.id, it.value);
}

template <typename Archive>
void serialize(Archive& ar, change_event& it)
{
    ar(it.version, it.updates, it.withdrawn_digests);
}

} // namespace hyssoploft::resource

#endif
