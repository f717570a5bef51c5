// Guards against concurrent changes that both succeed, retries that are applied
// twice, watches that skip or reorder changes, and replicas that diverge.

#include <LibResource/configuration_replica.hpp>
#include <LibResource/samples.hpp>

#include <doctest.h>
#include <rapidcheck.h>

using namespace hyssoploft;
using namespace hyssoploft::resource;
using namespace hyssoploft::tests;

namespace {

// Fixed, so that every run checks the same cases.
constexpr const char* seed = "seed=20261205 max_success=200 max_size=100";

/// rapidcheck takes its seed from this variable when it is first used.
const int seed_is_set = ::setenv("RC_PARAMS", seed, 1);

const std::vector<std::string> names{"a", "b", "c", "shop"};

/// A random batch over few names, so that invalid references and version
/// conflicts are frequent.
change_batch random_batch(std::uint64_t version)
{
    const auto name = *rc::gen::elementOf(names);
    const auto weight = *rc::gen::elementOf(std::vector<int>{1, 2, 3, 4, 0});
    std::vector<change> changes;
    for (const int kind : *rc::gen::container<std::vector<int>>(
             *rc::gen::inRange(1, 4), rc::gen::inRange(0, 6)))
    {
        switch (kind)
        {
        case 0:
        case 1:
            changes.push_back(set(make_account(name, weight)));
            break;
        case 2:
            changes.push_back(set(make_rate(name, weight)));
            break;
        case 3:
            changes.push_back(set(make_key("key-" + name, name)));
            break;
        case 4:
            changes.push_back(remove(resource_kind::account, name));
            break;
        default:
            changes.push_back(remove(resource_kind::rate, name));
            break;
        }
        if (*rc::gen::inRange(0, 4) == 3)
        {
            changes.back().expected_version =
                *rc::gen::inRange<std::uint64_t>(0, version + 2);
        }
    }
    std::vector<std::string> withdrawn;
    if (*rc::gen::inRange(0, 10) == 0)
    {
        withdrawn.push_back(make_key("key-" + name, name).digest);
    }
    // Some identifiers repeat, with the same or another batch.
    const auto request = *rc::gen::arbitrary<std::uint8_t>();
    return make_batch(core::concat("r", request), changes, withdrawn);
}

std::vector<std::string> random_log(resource_store& store)
{
    std::vector<std::string> log;
    const auto n = *rc::gen::inRange(0, 60);
    for (int i = 0; i < n; ++i)
    {
        log.push_back(encode_batch(random_batch(store.version())));
        store.apply(log.back());
    }
    return log;
}

} // namespace

TEST_CASE("exactly one of several changes of the same version succeeds")
{
    REQUIRE_EQ(seed_is_set, 0);
    CHECK(rc::check("one winner", [] {
        auto store = make_store();
        random_log(store);
        const resource_id id{resource_kind::account, "shop"};
        const auto version = version_of(store.view(), id);
        const auto contenders = *rc::gen::inRange(2, 6);
        int successes = 0;
        for (int n = 0; n < contenders; ++n)
        {
            // Each may be delivered more than once.
            const auto batch = make_batch(
                core::concat("race", n),
                {set(make_account("shop", 10.0 + n), version)});
            const auto result = apply(store, batch);
            const auto retried = apply(store, batch);
            RC_ASSERT(retried.outcome == result.outcome);
            RC_ASSERT(retried.version == result.version);
            successes += result.outcome == apply_outcome::applied ? 1 : 0;
            if (n > 0)
            {
                RC_ASSERT(result.outcome == apply_outcome::conflict);
                RC_ASSERT(
                    result.conflicts[0].current ==
                    resource_value(make_account("shop", 10.0)));
            }
        }
        RC_ASSERT(successes == 1);
        RC_ASSERT(store.view().accounts.at("shop").weight == 10.0);
    }));
}

TEST_CASE("the version counts accepted changes and never decreases")
{
    std::size_t applied = 0;
    const bool holds = rc::check("versions increase by one", [&] {
        auto store = make_store();
        std::map<std::string, std::string> first_results;
        for (int n = *rc::gen::inRange(0, 60); n > 0; --n)
        {
            const auto batch = random_batch(store.version());
            const auto before = store.version();
            const auto state = encode_configuration(store.view());
            const auto withdrawn = store.view().withdrawn_digests;
            const auto bytes = store.apply(encode_batch(batch));
            const auto result = decode_result(bytes);
            const bool retried = first_results.contains(batch.request_id);
            const bool is_applied =
                !retried && result->outcome == apply_outcome::applied;
            RC_ASSERT(store.version() == before + (is_applied ? 1 : 0));
            RC_ASSERT(
                (encode_configuration(store.view()) != state) == is_applied);
            for (const auto& it : withdrawn)
            {
                RC_ASSERT(store.view().withdrawn_digests.contains(it));
            }
            if (retried)
            {
                RC_ASSERT(
                    bytes == first_results[batch.request_id] ||
                    result->outcome == apply_outcome::request_id_reuse);
            }
            first_results.emplace(batch.request_id, bytes);
            applied += is_applied ? 1 : 0;
        }
    });
    CHECK(holds);
    CHECK_GT(applied, 500); // Otherwise the batches would test refusals only.
}

TEST_CASE("replay, snapshot and feed give the same state")
{
    CHECK(rc::check("replicas agree", [] {
        resource_store store;
        const auto log = random_log(store);
        resource_store replayed;
        resource_store restored;
        configuration_replica replica;
        const auto half = log.size() / 2;
        for (std::size_t n = 0; n < log.size(); ++n)
        {
            if (n == half)
            {
                RC_ASSERT(restored.restore(replayed.snapshot()).ok());
            }
            const auto result = replayed.apply(log[n]);
            if (n >= half)
            {
                RC_ASSERT(restored.apply(log[n]) == result);
            }
        }
        RC_ASSERT(replayed.snapshot() == store.snapshot());
        RC_ASSERT(restored.snapshot() == store.snapshot());
        RC_ASSERT(replica.install_changes(*store.changes_since(0)).ok());
        RC_ASSERT(replica.snapshot() == encode_configuration(store.view()));
        RC_ASSERT(replica.view().key_digests == store.view().key_digests);
    }));
}

TEST_CASE("a watch neither skips nor reorders nor repeats a change")
{
    CHECK(rc::check("watches are gapless", [] {
        resource_store store;
        std::uint64_t seen = 0;
        for (int n = *rc::gen::inRange(0, 40); n > 0; --n)
        {
            store.apply(encode_batch(random_batch(store.version())));
            if (*rc::gen::inRange(0, 3) != 0)
            {
                continue;
            }
            const auto bound = *rc::gen::inRange<std::size_t>(1, 400);
            const auto changes = store.changes_since(seen, bound).value();
            for (const auto& it : changes)
            {
                RC_ASSERT(decode_event(it)->version == seen + 1);
                ++seen;
            }
            RC_ASSERT(seen <= store.version());
        }
    }));
}

TEST_CASE("a damaged snapshot is refused and the state is unchanged")
{
    auto store = make_store();
    const auto good = store.snapshot();
    for (std::size_t n = 0; n < good.size(); ++n)
    {
        CHECK_FALSE(store.restore(good.substr(0, n)).ok());
    }
    CHECK_FALSE(store.restore(good + "x").ok());
    CHECK_EQ(store.snapshot(), good);
    CHECK(store.restore(good).ok());
    CHECK_EQ(store.snapshot(), good);
}
