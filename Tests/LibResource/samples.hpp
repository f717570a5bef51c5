#ifndef HYSSOPLOFT_TESTS_LIBRESOURCE_SAMPLES_HPP
#define HYSSOPLOFT_TESTS_LIBRESOURCE_SAMPLES_HPP

// Small valid resources and batches for the tests of LibResource.

#include <LibCore/keyed_hash.hpp>
#include <LibCore/text.hpp>
#include <LibResource/resource_store.hpp>

#include <string>
#include <utility>
#include <vector>

namespace hyssoploft::tests {

inline resource::account
make_account(const std::string& name, double weight = 1)
{
    resource::account it;
    it.name = name;
    it.weight = weight;
    return it;
}

inline resource::key
make_key(const std::string& name, const std::string& account)
{
    resource::key it;
    it.name = name;
    it.account = account;
    it.digest = core::to_hex(core::hmac_sha256("secret of tests", name));
    return it;
}

inline resource::rate make_rate(const std::string& account, double tokens = 100)
{
    resource::rate it;
    it.account = account;
    it.tokens_per_second = tokens;
    it.burst_tokens = 10 * tokens;
    return it;
}

inline resource::route make_route(const std::string& name)
{
    resource::route it;
    it.name = name;
    it.model = "model-" + name;
    it.upstream_role = "engine";
    return it;
}

/// Two VMs in each of the regions "north" and "south".
inline resource::fleet make_fleet(std::uint32_t floor_slots = 8)
{
    resource::fleet it;
    it.floor_slots = floor_slots;
    it.vms = {
        {"n1", "north", "n-a"},
        {"n2", "north", "n-b"},
        {"s1", "south", "s-a"},
        {"s2", "south", "s-b"}};
    it.links = {{"north", "south", 1e6}};
    return it;
}

inline resource::change set(resource::resource_value value)
{
    auto id = resource::id_of(value);
    return {std::move(id), std::move(value), {}};
}

inline resource::change
set(resource::resource_value value, std::uint64_t expected)
{
    auto it = set(std::move(value));
    it.expected_version = expected;
    return it;
}

inline resource::change
remove(resource::resource_kind kind, const std::string& name)
{
    return {{kind, name}, {}, {}};
}

inline resource::change_batch make_batch(
    const std::string& request_id, std::vector<resource::change> changes,
    std::vector<std::string> withdrawn = {})
{
    return {
        request_id, "ana", 1'700'000'000'000, std::move(changes),
        std::move(withdrawn)};
}

inline resource::apply_result
apply(resource::resource_store& to, const resource::change_batch& batch)
{
    return resource::decode_result(to.apply(resource::encode_batch(batch)))
        .value();
}

/// A store with a fleet, a role, a residency rule, and one account with a
/// key, a rate and a route.
inline resource::resource_store make_store()
{
    resource::resource_store store;
    resource::upstream_role role;
    role.name = "engine";
    resource::residency rule;
    rule.name = "stay-north";
    rule.regions = {"north"};
    auto shop = make_account("shop");
    shop.home_region = "north";
    auto route = make_route("quotes");
    route.residency = "stay-north";
    apply(
        store, make_batch(
                   "setup", {set(make_fleet()), set(role), set(rule), set(shop),
                             set(make_key("shop-1", "shop")),
                             set(make_rate("shop")), set(route)}));
    return store;
}

} // namespace hyssoploft::tests

#endif
