// Guards against a replica that returns to an older version, skips a change or
// installs a damaged one.

#include <LibResource/configuration_replica.hpp>
#include <LibResource/samples.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::resource;
using namespace hyssoploft::tests;

namespace {

/// A store with versions 1 to `versions`.
resource_store store_at(std::size_t versions)
{
    auto store = make_store();
    for (std::size_t n = 2; n <= versions; ++n)
    {
        apply(
            store,
            make_batch(
                core::concat("r", n),
                {set(make_account(core::concat("a", n % 50), 1.0 + n % 7))}));
    }
    return store;
}

std::vector<std::string>
pull(const resource_store& from, std::uint64_t version, std::size_t n = 1 << 20)
{
    return from.changes_since(version, n).value();
}

} // namespace

TEST_CASE("repeated changes are skipped and gaps are rejected")
{
    const auto store = store_at(6);
    const auto all = pull(store, 0);
    configuration_replica replica;
    REQUIRE_EQ(all.size(), 6);
    CHECK(replica.install_changes({all[0], all[1], all[2]}).ok());
    CHECK(replica.install_changes({all[1], all[2], all[3]}).ok());
    CHECK_EQ(replica.version(), 4);
    CHECK(replica.install_changes({all[0]}).ok());
    CHECK_EQ(replica.version(), 4);
    CHECK_EQ(
        replica.install_changes({all[5]}).code(),
        absl::StatusCode::kFailedPrecondition);
    CHECK_EQ(
        replica.install_changes({all[4].substr(1), all[5]}).code(),
        absl::StatusCode::kInvalidArgument);
    CHECK_EQ(replica.version(), 4);
    CHECK(replica.install_changes(pull(store, 4)).ok());
    CHECK_EQ(replica.snapshot(), encode_configuration(store.view()));
    // The changes are forwarded unmodified.
    CHECK_EQ(replica.changes_since(2).value(), pull(store, 2));
}

TEST_CASE("a snapshot is installed only if it is newer")
{
    const auto older = store_at(3);
    const auto newer = store_at(9);
    configuration_replica replica;
    CHECK(replica.install_snapshot(encode_configuration(newer.view())).ok());
    const auto seen = replica.current();
    CHECK(replica.install_snapshot(encode_configuration(older.view())).ok());
    CHECK_EQ(replica.version(), 9);
    CHECK_EQ(replica.snapshot(), encode_configuration(newer.view()));
    CHECK(seen == replica.current());
    // The digest index is not sent but rebuilt.
    CHECK_EQ(replica.view().key_digests, newer.view().key_digests);
    CHECK_FALSE(replica.changes_since(8).ok());
    CHECK(replica.changes_since(9)->empty());

    const auto good = encode_configuration(store_at(10).view());
    for (std::size_t n = 0; n < good.size(); ++n)
    {
        CHECK_FALSE(replica.install_snapshot(good.substr(0, n)).ok());
    }
    CHECK_EQ(replica.version(), 9);
}

TEST_CASE("a version before the window or in the future is out of range")
{
    const auto store = store_at(max_window_changes + 10);
    const auto last = store.version();
    CHECK_EQ(
        store.changes_since(9).status().code(), absl::StatusCode::kOutOfRange);
    CHECK(store.changes_since(10).ok());
    CHECK(store.changes_since(last)->empty());
    CHECK_EQ(
        store.changes_since(last + 1).status().code(),
        absl::StatusCode::kOutOfRange);
}

TEST_CASE("a reply is bounded in bytes but has at least one pending change")
{
    const auto store = store_at(20);
    CHECK_EQ(pull(store, 3, 1).size(), 1);
    const auto some = pull(store, 3, 200);
    CHECK_GT(some.size(), 1);
    CHECK_LT(some.size(), 17);
    CHECK_EQ(decode_event(some[0])->version, 4);
}

TEST_CASE("the window is bounded in bytes")
{
    change_window window;
    for (int n = 0; n < 100; ++n)
    {
        window.push(std::string(max_batch_bytes, 'x'));
    }
    CHECK_EQ(window.last(), 100);
    CHECK_EQ(window.events().size(), max_window_bytes / max_batch_bytes);
    CHECK_FALSE(window.changes_since(0, 1).ok());
}
