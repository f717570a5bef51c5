#ifndef HYSSOPLOFT_LIBRESOURCE_RESOURCE_FIELDS_HPP
#define HYSSOPLOFT_LIBRESOURCE_RESOURCE_FIELDS_HPP

// The fields of each kind of resource, listed once for all text formats. The
// visitor is called with the name of each field and a reference to its member
// and reads or writes the value. `name` and `kind` are not listed.

#include <LibResource/configuration.hpp>

namespace hyssoploft::resource {

template <typename Visitor>
void visit_fields(Visitor&& f, account& it)
{
    f("home_region", it.home_region);
    f("weight", it.weight);
}

template <typename Visitor>
void visit_fields(Visitor&& f, key& it)
{
    f("account", it.account);
    f("digest", it.digest);
    f("withdrawn", it.withdrawn);
}

template <typename Visitor>
void visit_fields(Visitor&& f, rate& it)
{
    f("tokens_per_second", it.tokens_per_second);
    f("burst_tokens", it.burst_tokens);
    f("floor_fraction", it.floor_fraction);
}

template <typename Visitor>
void visit_fields(Visitor&& f, route& it)
{
    f("type", it.kind);
    f("model", it.model);
    f("path_prefix", it.path_prefix);
    f("upstream_role", it.upstream_role);
    f("residency", it.residency);
    f("open", it.open);
    f("repeat", it.repeat);
    f("priority", it.priority);
    f("deadline", it.deadline);
    f("record_lifetime", it.record_lifetime);
    f("remote_price_seconds", it.remote_price_seconds);
}

template <typename Visitor>
void visit_fields(Visitor&& f, residency& it)
{
    f("regions", it.regions);
}

template <typename Visitor>
void visit_fields(Visitor&& f, upstream_role& it)
{
    f("checks_issuer", it.checks_issuer);
    f("checks_fencing", it.checks_fencing);
}

template <typename Visitor>
void visit_fields(Visitor&& f, declared_vm& it)
{
    f("id", it.id);
    f("region", it.region);
    f("data_center", it.data_center);
}

template <typename Visitor>
void visit_fields(Visitor&& f, region_link& it)
{
    f("from", it.from);
    f("to", it.to);
    f("bytes_per_second", it.bytes_per_second);
}

template <typename Visitor>
void visit_fields(Visitor&& f, fleet& it)
{
    f("floor_slots", it.floor_slots);
    f("vms", it.vms);
    f("links", it.links);
}

inline constexpr const auto& names_of(route_kind /*tag*/)
{
    return route_kind_names;
}

inline constexpr const auto& names_of(repeat_rule /*tag*/)
{
    return repeat_rule_names;
}

inline constexpr const auto& names_of(priority_class /*tag*/)
{
    return priority_class_names;
}

} // namespace hyssoploft::resource

#endif
