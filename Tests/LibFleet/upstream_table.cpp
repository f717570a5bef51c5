// Guards against calls to upstreams that have left, and against delayed
// announcements that revive an upstream.

#include <LibFleet/upstream_table.hpp>

#include <doctest.h>

using namespace hyssoploft;
using fleet::upstream_table;
using membership::upstream_state;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(100)};

fleet::upstream_row
row(const char* id, std::uint64_t incarnation, std::uint64_t sequence,
    upstream_state state = upstream_state::serving)
{
    fleet::upstream_row out;
    out.id = id;
    out.address = "10.0.0.1:80";
    out.role = "engine";
    out.incarnation = incarnation;
    out.sequence = sequence;
    out.state = static_cast<std::uint8_t>(state);
    return out;
}

upstream_state state_of(const upstream_table& table, const char* id)
{
    return static_cast<upstream_state>(table.entries().at(id).row.state);
}

} // namespace

TEST_CASE("a renewal is not a change")
{
    std::uint64_t change_counter = 0;
    upstream_table table(change_counter);
    CHECK(
        table.announce(row("u", 1, 1), start) ==
        upstream_table::change::updated);
    const auto before = change_counter;
    CHECK(
        table.announce(row("u", 1, 2), start + seconds(1)) ==
        upstream_table::change::none);
    CHECK(change_counter == before);
}

TEST_CASE("a delayed announcement does not revive an upstream that left")
{
    std::uint64_t change_counter = 0;
    upstream_table table(change_counter);
    table.announce(row("u", 1, 5), start);
    SUBCASE("after a leave")
    {
        CHECK(table.leave("u", start) == upstream_table::change::leaving);
    }
    SUBCASE("after it announced that it leaves")
    {
        CHECK(
            table.announce(row("u", 1, 6, upstream_state::leaving), start) ==
            upstream_table::change::leaving);
    }
    table.announce(row("u", 1, 4), start);
    table.announce(row("u", 1, 7), start);
    CHECK(state_of(table, "u") == upstream_state::leaving);
    // A new incarnation with the same ID serves again.
    table.announce(row("u", 2, 1), start);
    CHECK(state_of(table, "u") == upstream_state::serving);
}

TEST_CASE("an address belongs to the upstream that started last")
{
    std::uint64_t change_counter = 0;
    upstream_table table(change_counter);
    table.announce(row("old", 1, 1), start);
    table.announce(row("new", 2, 1), start);
    CHECK(state_of(table, "old") == upstream_state::expired);
    // An announcement delayed by a partition.
    table.announce(row("old", 1, 2), start);
    CHECK(state_of(table, "old") == upstream_state::expired);
    CHECK(state_of(table, "new") == upstream_state::serving);
}

TEST_CASE("a silent upstream is marked and later removed")
{
    std::uint64_t change_counter = 0;
    upstream_table table(change_counter);
    table.announce(row("u", 1, 1), start);
    table.tick(start + upstream_table::silence_timeout);
    CHECK_FALSE(table.entries().at("u").row.silent);
    table.tick(start + upstream_table::silence_timeout + milliseconds(1));
    CHECK(table.entries().at("u").row.silent);
    // Another control VM received an announcement.
    table.merge_announcement({"u", 1, 100}, start + seconds(5));
    CHECK_FALSE(table.entries().at("u").row.silent);
    table.tick(start + seconds(5) + upstream_table::removal_timeout);
    CHECK(table.entries().empty());
    CHECK(table.removed_since(0) == std::vector<std::string>{"u"});
}

TEST_CASE("a leave received by another control VM is applied")
{
    std::uint64_t change_counter = 0;
    upstream_table table(change_counter);
    table.announce(row("u", 1, 9), start);
    CHECK(
        table.merge(row("u", 1, 3, upstream_state::leaving), start) ==
        upstream_table::change::leaving);
    CHECK(state_of(table, "u") == upstream_state::leaving);
}

TEST_CASE("an upstream that becomes cold is a change")
{
    std::uint64_t change_counter = 0;
    upstream_table table(change_counter);
    table.announce(row("u", 1, 1), start);
    const auto before = change_counter;
    auto cold = row("u", 1, 2);
    cold.cold_ms = 3000;
    table.announce(cold, start);
    CHECK(change_counter > before);
    const auto rows = table.changed_since(before, start + seconds(1));
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].cold_ms == 2000);
}

// Guards against sound upstreams that are hidden for good by one odd entry.
TEST_CASE("an entry of an unknown role expires no upstream at its address")
{
    std::uint64_t change_counter = 0;
    upstream_table table(change_counter);
    table.set_roles({"engine"});
    auto odd = row("odd", 9, 1);
    odd.role = "unknown";
    SUBCASE("announced after the sound one")
    {
        table.announce(row("u", 1, 1), start);
        table.announce(odd, start);
    }
    SUBCASE("announced before the sound one")
    {
        table.announce(odd, start);
        table.announce(row("u", 1, 1), start);
    }
    SUBCASE("received from another control VM")
    {
        table.announce(row("u", 1, 1), start);
        table.merge(odd, start);
    }
    table.announce(row("u", 1, 2), start + seconds(1));
    CHECK(state_of(table, "u") == upstream_state::serving);
    // The same entry counts once a manifest names its role.
    table.set_roles({"engine", "unknown"});
    table.announce(row("u", 1, 3), start + seconds(2));
    CHECK(state_of(table, "u") == upstream_state::expired);
}

TEST_CASE("an entry with a state out of range is not taken over")
{
    std::uint64_t change_counter = 0;
    upstream_table table(change_counter);
    table.announce(row("u", 1, 1), start);
    for (const int state : {3, 7, 127, 255})
    {
        auto odd = row("u", 1, 2, static_cast<upstream_state>(state));
        CHECK(table.merge(odd, start) == upstream_table::change::none);
        odd.id = "other";
        CHECK(table.merge(odd, start) == upstream_table::change::none);
    }
    CHECK(state_of(table, "u") == upstream_state::serving);
    CHECK(table.entries().size() == 1);
}
