// Guards against partially applied batches, decreasing versions, retries that
// are applied twice and invalid values that are accepted.

#include <LibResource/samples.hpp>

#include <doctest.h>

#include <cmath>
#include <functional>
#include <limits>

using namespace hyssoploft;
using namespace hyssoploft::resource;
using namespace hyssoploft::tests;

namespace {

std::string name(apply_outcome it)
{
    return std::string(core::name_of(apply_outcome_names, it));
}

/// A resource with one invalid field, which must be refused.
struct invalid_resource
{
    resource_value value;
    std::string field;
};

template <typename T>
invalid_resource
make_invalid(T it, const std::string& field, std::function<void(T&)> change)
{
    change(it);
    return {it, field};
}

route order_route()
{
    auto it = make_route("orders");
    it.kind = route_kind::service;
    it.model.clear();
    it.path_prefix = "/orders";
    it.repeat = repeat_rule::not_repeatable;
    return it;
}

std::vector<invalid_resource> invalid_resources()
{
    const auto nan = std::numeric_limits<double>::quiet_NaN();
    const auto account = make_account("a");
    const auto key = make_key("k", "shop");
    const auto rate = make_rate("shop");
    const auto route = make_route("r");
    residency rule;
    rule.name = "r";
    rule.regions = {"north"};
    using k = resource::key;
    using r = resource::rate;
    using ro = resource::route;
    return {
        {make_account(""), "name"},
        {make_account("a b"), "name"},
        {make_account(std::string(64, 'a')), "name"},
        {make_account("a", 0), "weight"},
        {make_account("a", nan), "weight"},
        make_invalid<resource::account>(
            account, "home_region",
            [](auto& it) {
                it.home_region = "moon";
            }),
        make_invalid<k>(
            key, "digest",
            [](auto& it) {
                it.digest = "12";
            }),
        make_invalid<k>(
            key, "digest",
            [](auto& it) {
                it.digest[0] = 'X';
            }),
        make_invalid<k>(
            key, "account",
            [](auto& it) {
                it.account = "none";
            }),
        make_invalid<k>(
            key, "digest",
            [](auto& it) {
                it.digest = make_key("shop-1", "shop").digest;
            }),
        make_invalid<r>(
            rate, "burst_tokens",
            [](auto& it) {
                it.burst_tokens = -1;
            }),
        make_invalid<r>(
            rate, "floor_fraction",
            [](auto& it) {
                it.floor_fraction = 2;
            }),
        make_invalid<r>(
            rate, "tokens_per_second",
            [nan](auto& it) {
                it.tokens_per_second = nan;
            }),
        make_invalid<r>(
            rate, "name",
            [](auto& it) {
                it.account = "none";
            }),
        make_invalid<ro>(
            route, "model",
            [](auto& it) {
                it.model.clear();
            }),
        make_invalid<ro>(
            route, "model",
            [](auto& it) {
                it.model = "model-quotes";
            }),
        make_invalid<ro>(
            route, "path_prefix",
            [](auto& it) {
                it.path_prefix = "/x";
            }),
        make_invalid<ro>(
            route, "deadline",
            [](auto& it) {
                it.deadline = {};
            }),
        make_invalid<ro>(
            route, "upstream_role",
            [](auto& it) {
                it.upstream_role = "none";
            }),
        make_invalid<ro>(
            route, "residency",
            [](auto& it) {
                it.residency = "none";
            }),
        make_invalid<ro>(
            route, "type",
            [](auto& it) {
                it.kind = static_cast<route_kind>(7);
            }),
        make_invalid<ro>(
            order_route(), "path_prefix",
            [](auto& it) {
                it.path_prefix = "/v1/models";
            }),
        make_invalid<ro>(
            order_route(), "record_lifetime",
            [](auto& it) {
                it.record_lifetime = std::chrono::seconds(1);
            }),
        make_invalid<ro>(
            order_route(), "open",
            [](auto& it) {
                it.open = true;
            }),
        make_invalid<residency>(
            rule, "regions",
            [](auto& it) {
                it.regions.clear();
            }),
        make_invalid<residency>(
            rule, "regions",
            [](auto& it) {
                it.regions = {"moon"};
            }),
        {make_fleet(3), "vms"},
        make_invalid<fleet>(
            make_fleet(), "floor_slots",
            [](auto& it) {
                it.floor_slots = 2001;
            }),
        make_invalid<fleet>(
            make_fleet(), "vms[1].id",
            [](auto& it) {
                it.vms[1].id = "n1";
            }),
        make_invalid<fleet>(
            make_fleet(), "links[0].to",
            [](auto& it) {
                it.links[0].to = "moon";
            }),
        make_invalid<fleet>(
            make_fleet(), "links[0].bytes_per_second",
            [](auto& it) {
                it.links[0].bytes_per_second = 0;
            }),
        make_invalid<fleet>(
            make_fleet(), "links[1].to",
            [](auto& it) {
                it.links.push_back(it.links[0]);
            }),
    };
}

} // namespace

TEST_CASE("every rule of a value or reference is checked")
{
    for (const auto& it : invalid_resources())
    {
        CAPTURE(to_string(id_of(it.value)));
        CAPTURE(it.field);
        auto store = make_store();
        // A valid change in the same batch must not be applied either.
        const auto result = apply(
            store,
            make_batch("bad", {set(it.value), set(make_account("good"))}));
        CHECK_EQ(name(result.outcome), "refused");
        REQUIRE_EQ(result.problems.size(), 1);
        CHECK_EQ(result.problems[0].field, it.field);
        CHECK_EQ(store.version(), 1);
        CHECK_FALSE(store.view().accounts.contains("good"));
    }
}

TEST_CASE("a referenced resource can only be deleted with its referrers")
{
    struct deletion
    {
        resource_kind kind;
        const char* name;
        std::size_t problems;
    };
    for (const auto& it :
         {deletion{resource_kind::account, "shop", 2},
          deletion{resource_kind::residency, "stay-north", 1},
          deletion{resource_kind::upstream_role, "engine", 1},
          // Both regions are referenced, and its floors may be in use.
          deletion{resource_kind::fleet, "fleet", 3}})
    {
        CAPTURE(it.name);
        auto store = make_store();
        const auto result =
            apply(store, make_batch("x", {remove(it.kind, it.name)}));
        CHECK_EQ(name(result.outcome), "refused");
        CHECK_EQ(result.problems.size(), it.problems);
    }
    auto store = make_store();
    const auto result = apply(
        store, make_batch(
                   "x", {remove(resource_kind::account, "shop"),
                         remove(resource_kind::rate, "shop"),
                         remove(resource_kind::key, "shop-1")}));
    CHECK_EQ(name(result.outcome), "applied");
    CHECK(store.view().keys.empty());
}

TEST_CASE("fleet changes under which floors would exceed the rate are refused")
{
    struct fleet_change
    {
        const char* name;
        std::uint32_t slots; // 8 before.
        int removed;         // Of 4 VMs.
        int added;
        double floor_fraction; // 0.5 before.
        const char* field;     // Of the finding; empty: applied.
    };
    for (const auto& it :
         {fleet_change{"slots fall", 7, 0, 0, 0.5, "floor_slots"},
          fleet_change{"slots fall with VMs", 7, 2, 0, 0.5, "floor_slots"},
          fleet_change{"slot used again", 8, 1, 5, 0.5, "vms"},
          fleet_change{"slots grow with VMs", 12, 0, 5, 0.5, "vms"},
          fleet_change{"added, floor grows", 8, 0, 1, 0.6, "floor_fraction"},
          fleet_change{"removed, floor grows", 8, 1, 0, 0.6, ""},
          fleet_change{"added, floor falls", 8, 0, 1, 0.4, ""},
          fleet_change{"free slots used", 8, 1, 4, 0.5, ""},
          fleet_change{"slots grow, free slots used", 12, 0, 4, 0.5, ""}})
    {
        CAPTURE(it.name);
        auto store = make_store();
        auto fleet = make_fleet(it.slots);
        // n2 and s2, so that both regions keep a VM.
        for (int n = 0; n < it.removed; ++n)
        {
            fleet.vms.erase(fleet.vms.begin() + 1 + n);
        }
        for (int n = 0; n < it.added; ++n)
        {
            fleet.vms.push_back({core::concat("x", n), "south", "s-a"});
        }
        auto rate = make_rate("shop", 7);
        rate.floor_fraction = it.floor_fraction;
        const auto result =
            apply(store, make_batch("x", {set(fleet), set(rate)}));
        const bool is_applied = *it.field == '\0';
        CHECK_EQ(name(result.outcome), is_applied ? "applied" : "refused");
        REQUIRE_EQ(result.problems.size(), is_applied ? 0 : 1);
        CHECK((is_applied || result.problems[0].field == it.field));
    }
}

TEST_CASE("compare-and-set: a conflict returns the current value")
{
    auto store = make_store();
    apply(store, make_batch("1", {set(make_account("shop", 2), 1)}));
    const auto result = apply(
        store, make_batch(
                   "2", {set(make_account("shop", 3), 1),
                         set(make_account("other"), 0)}));
    CHECK_EQ(name(result.outcome), "conflict");
    REQUIRE_EQ(result.conflicts.size(), 1);
    CHECK_EQ(result.conflicts[0].current_version, 2);
    REQUIRE(result.conflicts[0].current.has_value());
    CHECK(
        *result.conflicts[0].current ==
        resource_value(make_account("shop", 2)));
    CHECK_FALSE(store.view().accounts.contains("other"));

    const auto exists =
        apply(store, make_batch("3", {set(make_account("shop"), 0)}));
    CHECK_EQ(name(exists.outcome), "conflict");
    const auto missing =
        apply(store, make_batch("4", {set(make_account("new"), 5)}));
    CHECK_EQ(name(missing.outcome), "conflict");
}

TEST_CASE("a retry gets the first result byte for byte")
{
    auto store = make_store();
    const auto accepted = make_batch("1", {set(make_account("a"), 0)});
    const auto conflicting = make_batch("2", {set(make_account("a", 9), 0)});
    const auto first = store.apply(encode_batch(accepted));
    const auto second = store.apply(encode_batch(conflicting));
    const auto version = store.version();
    apply(store, make_batch("3", {remove(resource_kind::account, "a")}));

    auto retried = accepted;
    retried.unix_milliseconds += 5000; // Retried later through another VM.
    CHECK_EQ(store.apply(encode_batch(retried)), first);
    CHECK_EQ(store.apply(encode_batch(conflicting)), second);
    CHECK_EQ(store.version(), version + 1);
    CHECK_FALSE(store.view().accounts.contains("a"));

    const auto reuse = apply(store, make_batch("1", {set(make_account("b"))}));
    CHECK_EQ(name(reuse.outcome), "request_id_reuse");
}

TEST_CASE("an empty batch queries an outcome and blocks a delayed request")
{
    auto store = make_store();
    const auto first =
        store.apply(encode_batch(make_batch("1", {set(make_account("a"))})));
    CHECK_EQ(store.apply(encode_batch(make_batch("1", {}))), first);

    CHECK_EQ(name(apply(store, make_batch("2", {})).outcome), "unchanged");
    const auto late = apply(store, make_batch("2", {set(make_account("b"))}));
    CHECK_EQ(name(late.outcome), "request_id_reuse");
    CHECK_FALSE(store.view().accounts.contains("b"));
}

TEST_CASE("the last 4,096 request identifiers are kept")
{
    resource_store store;
    const auto batch = [](std::size_t n) {
        return make_batch(
            core::concat("r", n),
            {set(make_account("a", static_cast<double>(n % 7 + 1)))});
    };
    for (std::size_t n = 0; n <= max_kept_requests; ++n)
    {
        apply(store, batch(n));
    }
    const auto version = store.version();
    apply(store, batch(1));
    CHECK_EQ(store.version(), version);
    apply(store, batch(0)); // No longer kept: a new request.
    CHECK_EQ(store.version(), version + 1);
}

TEST_CASE("a batch that changes nothing keeps the version")
{
    auto store = make_store();
    const auto result = apply(store, make_batch("again", {set(make_fleet())}));
    CHECK_EQ(name(result.outcome), "unchanged");
    CHECK_EQ(store.version(), 1);
    CHECK_EQ(version_of(store.view(), {resource_kind::fleet, "fleet"}), 1);
}

TEST_CASE("duplicates and mismatched names in a batch are refused")
{
    auto store = make_store();
    auto twice =
        make_batch("1", {set(make_account("a")), set(make_account("a", 2))});
    CHECK_EQ(name(apply(store, twice).outcome), "refused");
    auto other = make_batch("2", {set(make_account("a"))});
    other.changes[0].id.name = "b";
    CHECK_EQ(name(apply(store, other).outcome), "refused");
    // The kind of the value differs from the kind of the change.
    for (const auto& [kind, text] : resource_kind_names)
    {
        auto mixed =
            make_batch(std::string(text), {set(make_account("fleet"))});
        mixed.changes[0].id.kind = kind;
        CHECK_EQ(
            name(apply(store, mixed).outcome),
            kind == resource_kind::account ? "applied" : "refused");
    }
}

TEST_CASE("malformed bytes are refused and change nothing")
{
    auto store = make_store();
    const auto before = store.snapshot();
    const auto good = encode_batch(make_batch("1", {set(make_account("a"))}));
    std::vector<std::string> cases{
        good + "x", std::string(1000, '\xff'),
        std::string(max_batch_bytes + 1, '\1'),
        encode_batch(make_batch("", {set(make_account("a"))})),
        encode_batch(
            make_batch(std::string(129, 'r'), {set(make_account("a"))}))};
    for (std::size_t n = 0; n < good.size(); ++n)
    {
        cases.push_back(good.substr(0, n));
    }
    for (const auto& it : cases)
    {
        const auto result = decode_result(store.apply(it));
        REQUIRE(result.ok());
        CHECK_EQ(name(result->outcome), "malformed");
    }
    CHECK_EQ(store.snapshot(), before);
}

TEST_CASE("the size of a kept result is bounded")
{
    resource_store store;
    std::vector<change> changes;
    for (int n = 0; n < 500; ++n)
    {
        changes.push_back(
            set(make_key(core::concat("k", n), std::string(5000, 'a'))));
    }
    changes.resize(40);
    const auto bytes = store.apply(encode_batch(make_batch("1", changes)));
    const auto result = decode_result(bytes);
    CHECK_EQ(result->problems.size(), max_reported_items);
    CHECK_GT(result->omitted, 0);
    CHECK_LT(bytes.size(), 64 * 1024);

    changes.clear();
    for (char c = '0'; c < '0' + 40; ++c)
    {
        changes.push_back(remove(resource_kind::account, std::string(5000, c)));
        changes.back().expected_version = 1;
    }
    const auto conflicts =
        store.apply(encode_batch(make_batch("2", std::move(changes))));
    CHECK_EQ(name(decode_result(conflicts)->outcome), "conflict");
    CHECK_LT(conflicts.size(), 64 * 1024);
}

TEST_CASE("every batch adds an audit entry, a retry adds none")
{
    auto store = make_store();
    const auto batch = make_batch(
        "1", {set(make_account("a")), remove(resource_kind::key, "shop-1")});
    apply(store, batch);
    apply(store, batch);
    apply(store, make_batch("2", {set(make_account("a", -1))}));
    const auto found = store.audit_since(1);
    REQUIRE_EQ(found.size(), 2);
    CHECK_EQ(found[0].sequence, 2);
    CHECK_EQ(found[0].author, "ana");
    CHECK_EQ(found[0].request_id, "1");
    CHECK_EQ(found[0].unix_milliseconds, 1'700'000'000'000);
    CHECK_EQ(
        found[0].what,
        std::vector<std::string>{"set account/a", "delete key/shop-1"});
    CHECK_EQ(name(found[1].outcome), "refused");
}

TEST_CASE("a dry run returns the outcome and changes no state")
{
    const auto store = make_store();
    const auto before = store.snapshot();
    const auto result =
        store.dry_run(make_batch("1", {set(make_account("a"))}));
    CHECK_EQ(name(result.outcome), "applied");
    CHECK_EQ(result.version, 2);
    CHECK_EQ(store.snapshot(), before);
}

TEST_CASE("a published configuration never changes")
{
    auto store = make_store();
    const auto old = store.current();
    apply(store, make_batch("1", {set(make_account("a"))}));
    CHECK_EQ(old->version, 1);
    CHECK_FALSE(old->accounts.contains("a"));
    CHECK_EQ(store.current()->version, 2);
}
