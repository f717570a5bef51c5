// Guards against a configuration that goes back to an older version, skips a
// change, or combines parts of two snapshots.

#include <LibControl/config_feed.hpp>

#include <LibControl/fake_transport.hpp>
#include <LibResource/samples.hpp>

#include <doctest.h>

namespace hyssoploft::tests {

namespace {

using control::config_changes;
using control::config_pull;
using control::snapshot_part;
using control::snapshot_pull;
using wire::message_type;

/// Applies `n` changes to the weight of one account.
void change(resource::resource_store& store, int n)
{
    for (int i = 0; i < n; ++i)
    {
        const auto name = "change-" + std::to_string(store.version());
        apply(
            store,
            make_batch(
                name, {set(make_account(
                          "shop", 2 + static_cast<double>(store.version())))}));
    }
}

struct feed_under_test
{
    feed_under_test()
        : feed(transport, [this] {
              ++installs;
          })
    {}

    void answer_changes(
        std::uint64_t version, const std::vector<std::string>& events)
    {
        transport.answer(
            message_type::config_changes,
            wire::encode(config_changes{version, events}));
    }

    void answer_part(const snapshot_part& it)
    {
        transport.answer(message_type::config_snapshot, wire::encode(it));
    }

    fake_transport transport;
    int installs = 0;
    control::config_feed feed;
};

/// Lets `from` answer the requests of `to`, at most `max_requests` of them.
void exchange(feed_under_test& to, feed_under_test& from, int max_requests)
{
    for (; max_requests > 0 && !to.transport.requests.empty(); --max_requests)
    {
        const auto request = to.transport.requests.front();
        from.feed.serve(incoming("to", request.type, request.payload));
        const auto response = from.transport.responses.back();
        to.transport.answer(response.type, response.payload);
    }
}

} // namespace

TEST_CASE("changes after the current version are pulled, one pull at a time")
{
    auto store = make_store();
    feed_under_test from;
    from.feed.install_from_store(store);
    feed_under_test to;
    to.feed.on_newer_version("a:1", store.version());
    to.feed.on_newer_version("b:1", store.version());
    REQUIRE(to.transport.requests.size() == 1);
    exchange(to, from, 1);
    CHECK(to.feed.version() == store.version());
    CHECK(to.installs == 1);
    CHECK(to.feed.view().accounts.contains("shop"));
    to.feed.on_newer_version("a:1", store.version());
    CHECK(to.transport.requests.empty());
}

TEST_CASE("the configuration never goes back to an older version")
{
    auto store = make_store();
    feed_under_test t;
    const auto old_snapshot = resource::encode_configuration(store.view());
    const auto old_version = store.version();
    change(store, 5);
    t.feed.install_from_store(store);
    const auto version = t.feed.version();
    const int installs = t.installs;

    SUBCASE("an older store")
    {
        auto older = make_store();
        t.feed.install_from_store(older);
    }
    SUBCASE("changes that are in force already")
    {
        t.feed.on_newer_version("a:1", version + 1);
        t.answer_changes(version, store.changes_since(old_version).value());
    }
    SUBCASE("an older snapshot")
    {
        t.feed.on_newer_version("a:1", version + 1);
        t.transport.answer(message_type::config_snapshot, {});
        t.answer_part({old_version, old_snapshot.size(), 0, old_snapshot});
    }
    CHECK(t.feed.version() == version);
    CHECK(t.installs == installs);
    CHECK(t.transport.requests.empty());
}

TEST_CASE("a bad answer of a peer ends only that pull")
{
    auto store = make_store();
    change(store, 3);
    const auto all = store.changes_since(0).value();
    REQUIRE(all.size() == 4);
    struct fault
    {
        const char* name;
        std::uint64_t announced_version;
        std::vector<std::string> events;
        std::uint64_t reached;
        bool pulls_again;
    };
    const std::vector<fault> table{
        {"no changes although it announced more", 1000, {}, 0, false},
        {"it has an older version", 0, {}, 0, false},
        {"a gap at the start", 4, {all[2], all[3]}, 0, false},
        {"a gap in the middle", 4, {all[0], all[2]}, 1, true},
        {"a damaged event", 4, {all[0], "damage", all[1]}, 1, true},
        {"the same event twice", 1, {all[0], all[0]}, 1, false},
        {"a part of the changes", 4, {all[0], all[1]}, 2, true},
        {"it announces less than it sends", 1, all, 4, false},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        feed_under_test t;
        t.feed.on_newer_version("a:1", 1000);
        t.answer_changes(it.announced_version, it.events);
        CHECK(t.feed.version() == it.reached);
        CHECK(t.transport.requests.size() == (it.pulls_again ? 1U : 0U));
        if (it.pulls_again)
        {
            const auto next =
                wire::decode<config_pull>(t.transport.requests[0].payload);
            CHECK(next.value().from_version == it.reached);
            // An answer without progress ends the pull.
            t.answer_changes(it.announced_version, {});
            CHECK(t.transport.requests.empty());
        }
        // A later pull from a peer with a newer version succeeds.
        t.feed.on_newer_version("b:1", 1001);
        REQUIRE(t.transport.requests.size() == 1);
        t.answer_changes(4, all);
        CHECK(t.feed.version() == 4);
    }
}

TEST_CASE("a lost or malformed answer allows the next pull")
{
    feed_under_test t;
    t.feed.on_newer_version("a:1", 5);
    SUBCASE("lost")
    {
        t.transport.lose();
    }
    SUBCASE("malformed")
    {
        t.transport.answer(message_type::config_changes, "x");
    }
    SUBCASE("malformed part of a snapshot")
    {
        t.transport.answer(message_type::config_snapshot, {});
        t.transport.answer(message_type::config_snapshot, "x");
    }
    SUBCASE("lost part of a snapshot")
    {
        t.transport.answer(message_type::config_snapshot, {});
        t.transport.lose();
    }
    CHECK(t.transport.requests.empty());
    CHECK(t.installs == 0);
    t.feed.on_newer_version("a:1", 5);
    CHECK(t.transport.requests.size() == 1);
}

TEST_CASE("a snapshot is pulled in parts when the changes are no longer kept")
{
    resource::resource_store store;
    // More than one part of 512 KiB.
    for (int n = 0; n < 1100; ++n)
    {
        std::vector<resource::change> batch;
        for (int i = 0; i < 8; ++i)
        {
            batch.push_back(set(make_account(
                "account-with-a-long-name-to-fill-the-snapshot-" +
                std::to_string(n) + "-" + std::to_string(i))));
        }
        apply(store, make_batch("r" + std::to_string(n), std::move(batch)));
    }
    feed_under_test from;
    from.feed.install_from_store(store);
    REQUIRE(from.feed.replica().snapshot().size() > 512 * 1024);
    feed_under_test to;
    to.feed.on_newer_version("a:1", store.version());

    SUBCASE("nothing changes meanwhile")
    {
        exchange(to, from, 10);
        CHECK(to.feed.version() == store.version());
        CHECK(to.feed.view().accounts.size() == 8800);
        CHECK(to.installs == 1);
    }
    SUBCASE("the sender's configuration changes between two parts")
    {
        exchange(to, from, 2);
        REQUIRE(to.transport.requests.size() == 1);
        apply(store, make_batch("late", {set(make_account("late"))}));
        from.feed.install_from_store(store);
        exchange(to, from, 10);
        CHECK(to.feed.version() == 0);
        CHECK(to.installs == 0);
        to.feed.on_newer_version("a:1", store.version());
        exchange(to, from, 10);
        CHECK(to.feed.version() == store.version());
        CHECK(to.feed.view().accounts.contains("late"));
    }
    SUBCASE("a part of another version is not mixed in")
    {
        exchange(to, from, 2);
        REQUIRE(to.transport.requests.size() == 1);
        const auto pull =
            wire::decode<snapshot_pull>(to.transport.requests[0].payload);
        const auto bytes = from.feed.replica().snapshot();
        to.answer_part(
            {pull.value().version + 1, bytes.size(), pull.value().offset,
             bytes.substr(pull.value().offset)});
        CHECK(to.feed.version() == 0);
        CHECK(to.transport.requests.empty());
    }
}

TEST_CASE("snapshot parts outside the bounds are rejected")
{
    struct fault
    {
        const char* name;
        snapshot_part part;
    };
    for (const auto& it :
         {fault{"empty", {9, 100, 0, ""}},
          fault{"another offset", {9, 100, 10, "bytes"}},
          fault{"longer than the total", {9, 3, 0, "bytes"}},
          fault{"a total beyond the bound", {9, 1ULL << 40, 0, "bytes"}},
          fault{"complete, but damaged", {9, 5, 0, "bytes"}}})
    {
        CAPTURE(it.name);
        feed_under_test t;
        t.feed.on_newer_version("a:1", 9);
        t.transport.answer(message_type::config_snapshot, {});
        t.answer_part(it.part);
        CHECK(t.feed.version() == 0);
        CHECK(t.installs == 0);
        CHECK(t.transport.requests.empty());
    }
}

TEST_CASE("malformed requests get no answer")
{
    feed_under_test t;
    t.feed.serve(incoming("x", message_type::config_pull, ""));
    t.feed.serve(incoming("x", message_type::config_snapshot, ""));
    CHECK(t.transport.responses.empty());
}

} // namespace hyssoploft::tests
