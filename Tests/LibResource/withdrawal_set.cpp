// Guards against a withdrawn key that becomes valid again, and against
// withdrawals that are lost before they are committed.

#include <LibResource/in_force_tracker.hpp>
#include <LibResource/samples.hpp>
#include <LibResource/withdrawal_set.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::resource;
using namespace hyssoploft::tests;

namespace {

const auto shop_key = make_key("shop-1", "shop");

std::string digest_of(int n)
{
    return make_key(std::to_string(n), "x").digest;
}

apply_outcome outcome_of(resource_store& to, const change_batch& batch)
{
    return apply(to, batch).outcome;
}

} // namespace

TEST_CASE("each way to withdraw a key withdraws its digest permanently")
{
    auto marked = shop_key;
    marked.withdrawn = true;
    const std::vector<change_batch> withdrawals{
        make_batch("w", {set(marked)}),
        make_batch("w", {remove(resource_kind::key, "shop-1")}),
        make_batch("w", {}, {shop_key.digest}),
        make_batch("w", {set(shop_key)}, {shop_key.digest})};
    for (const auto& withdrawal : withdrawals)
    {
        auto store = make_store();
        REQUIRE(outcome_of(store, withdrawal) == apply_outcome::applied);
        CHECK(store.view().withdrawn_digests.contains(shop_key.digest));
        if (store.view().keys.contains("shop-1"))
        {
            CHECK(store.view().keys.at("shop-1").withdrawn);
        }
        // The digest can't be used again, under the same or another name.
        auto again = make_key("other", "shop");
        again.digest = shop_key.digest;
        CHECK(
            outcome_of(store, make_batch("1", {set(shop_key)})) ==
            apply_outcome::refused);
        CHECK(
            outcome_of(store, make_batch("2", {set(again)})) ==
            apply_outcome::refused);
        CHECK(
            outcome_of(store, make_batch("3", {}, {shop_key.digest})) ==
            apply_outcome::unchanged);
    }
}

TEST_CASE("a key's digest can't be changed")
{
    auto store = make_store();
    auto it = shop_key;
    it.digest = digest_of(1);
    CHECK(
        outcome_of(store, make_batch("1", {set(it)})) ==
        apply_outcome::refused);
}

TEST_CASE("a digest can be withdrawn before its key is created")
{
    auto store = make_store();
    const auto late = make_key("late", "shop");
    CHECK(
        outcome_of(store, make_batch("1", {}, {late.digest})) ==
        apply_outcome::applied);
    CHECK(
        outcome_of(store, make_batch("2", {set(late)})) ==
        apply_outcome::refused);
    CHECK(
        outcome_of(store, make_batch("3", {}, {"no digest"})) ==
        apply_outcome::refused);
}

TEST_CASE("received withdrawals apply before and after they are committed")
{
    auto store = make_store();
    withdrawal_set received;
    CHECK_FALSE(is_withdrawn(store.view(), received, shop_key.digest));
    CHECK(received.merge({shop_key.digest, "junk"}).size() == 1);
    CHECK(received.merge({shop_key.digest}).empty());
    CHECK(is_withdrawn(store.view(), received, shop_key.digest));
    CHECK_EQ(received.drop_committed(store.view()), 0);

    const auto uncommitted = received.uncommitted(store.view(), 10);
    REQUIRE_EQ(uncommitted.size(), 1);
    const auto batch = make_withdrawal_batch(uncommitted, "gossip");
    CHECK(outcome_of(store, batch) == apply_outcome::applied);
    // The same proposal from another VM stores no second identifier.
    const auto entries = store.audit_sequence();
    const auto again = make_withdrawal_batch(uncommitted, "gossip");
    CHECK(outcome_of(store, again) == apply_outcome::applied);
    CHECK_EQ(store.audit_sequence(), entries);
    CHECK(received.uncommitted(store.view(), 10).empty());
    CHECK_EQ(received.drop_committed(store.view()), 1);
    CHECK_EQ(received.size(), 0);
    CHECK(is_withdrawn(store.view(), received, shop_key.digest));
}

TEST_CASE("the set of received withdrawals is bounded")
{
    withdrawal_set received;
    for (std::size_t n = 0; n < max_withdrawals; ++n)
    {
        const auto digits = core::concat(n);
        REQUIRE(
            received.add(std::string(64 - digits.size(), 'a') + digits).ok());
    }
    CHECK(
        received.add(digest_of(1)).code() ==
        absl::StatusCode::kResourceExhausted);
    CHECK(received.add(std::string(63, 'a') + "0").ok()); // Already in the set.
    CHECK(received.add("x").code() == absl::StatusCode::kInvalidArgument);
}

TEST_CASE("late reports never lower the version in force of a process")
{
    in_force_tracker tracker;
    const auto declared = make_fleet();
    CHECK_EQ(tracker.min_version(declared), 0);
    for (const auto* vm : {"n1", "n2", "s1", "s2"})
    {
        CHECK(tracker.report(vm, {1, 5}));
    }
    CHECK_FALSE(tracker.report("n1", {1, 4}));
    CHECK_FALSE(tracker.report("n1", {0, 9}));
    CHECK_EQ(tracker.min_version(declared), 5);
    CHECK(tracker.lagging_vms(declared, 5).empty());

    CHECK(tracker.report("s1", {2, 0})); // Restarted.
    CHECK(tracker.report("n1", {1, 6}));
    tracker.remove("s2");
    CHECK_EQ(
        tracker.lagging_vms(declared, 5), std::vector<std::string>{"s1", "s2"});
    CHECK_EQ(tracker.min_version(declared), 0);
}
