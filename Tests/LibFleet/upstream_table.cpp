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
        CHECK(table.leave({"u", 1}, start) == upstream_table::change::leaving);
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

// Guards against an entry of another writer that hides a sound upstream.
TEST_CASE("an entry of an unknown role replaces none of a known role")
{
    std::uint64_t change_counter = 0;
    upstream_table table(change_counter);
    table.set_roles({"engine"});
    table.announce(row("u", 5, 9), start);
    auto odd = row("u", 5, 10);
    odd.role = "unknown";
    SUBCASE("of the same start") {}
    SUBCASE("of a later start")
    {
        odd.incarnation = 6;
    }
    for (const auto state : {upstream_state::serving, upstream_state::leaving})
    {
        odd.state = static_cast<std::uint8_t>(state);
        CHECK(table.announce(odd, start) == upstream_table::change::none);
        CHECK(table.merge(odd, start) == upstream_table::change::none);
    }
    CHECK(table.entries().at("u").row.role == "engine");
    table.announce(row("u", 5, 10), start);
    CHECK(state_of(table, "u") == upstream_state::serving);
    // Its own announcements count as before.
    table.announce(row("u", 5, 11, upstream_state::leaving), start);
    CHECK(state_of(table, "u") == upstream_state::leaving);
    // A manifest that names the role makes it one of an upstream.
    table.set_roles({"engine", "unknown"});
    odd.incarnation = 7;
    odd.state = static_cast<std::uint8_t>(upstream_state::serving);
    table.announce(odd, start);
    CHECK(table.entries().at("u").row.role == "unknown");
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

namespace {

struct departure_case
{
    const char* name;
    void (*prepare)(upstream_table&);
    void (*arrive)(upstream_table&, const fleet::upstream_row&);
};

void by_announcement(upstream_table& table, const fleet::upstream_row& it)
{
    table.announce(it, start + seconds(2));
}

void by_merge(upstream_table& table, const fleet::upstream_row& it)
{
    table.merge(it, start + seconds(2));
}

} // namespace

// An acknowledged departure was dropped if its upstream was not listed, and its
// announcement, which arrived later, put it into use (review/11).
TEST_CASE("a departure holds against announcements that arrive after it")
{
    const departure_case rows[] = {
        {"never listed, then announced",
         [](auto& table) {
             table.leave({"u", 5}, start);
         },
         by_announcement},
        {"never listed, then known to another control VM",
         [](auto& table) {
             table.leave({"u", 5}, start);
         },
         by_merge},
        {"an earlier incarnation listed",
         [](auto& table) {
             table.announce(row("u", 4, 9), start);
             CHECK(
                 table.leave({"u", 5}, start) ==
                 upstream_table::change::leaving);
             CHECK(state_of(table, "u") == upstream_state::leaving);
         },
         by_announcement},
        {"removed before",
         [](auto& table) {
             table.announce(row("u", 5, 1), start - seconds(60));
             table.leave({"u", 5}, start - seconds(60));
             table.tick(start);
             CHECK(table.entries().empty());
         },
         by_announcement},
        {"it announced that it leaves, removed before",
         [](auto& table) {
             table.announce(
                 row("u", 5, 1, upstream_state::leaving), start - seconds(60));
             table.tick(start);
             CHECK(table.entries().empty());
         },
         by_announcement},
        {"another control VM said so, removed before",
         [](auto& table) {
             table.announce(row("u", 5, 1), start - seconds(60));
             table.merge(
                 row("u", 5, 1, upstream_state::leaving), start - seconds(60));
             table.tick(start);
             CHECK(table.entries().empty());
         },
         by_merge},
    };
    for (const auto& it : rows)
    {
        CAPTURE(it.name);
        std::uint64_t change_counter = 0;
        upstream_table table(change_counter);
        it.prepare(table);
        for (const std::uint64_t sequence : {1, 2, 30})
        {
            it.arrive(table, row("u", 5, sequence));
            CHECK(state_of(table, "u") == upstream_state::leaving);
        }
        // Another control VM hears of it from this one.
        const auto told = table.changed_since(0, start + seconds(2));
        REQUIRE(told.size() == 1);
        CHECK(
            told[0].state ==
            static_cast<std::uint8_t>(upstream_state::leaving));
        // The next start is used at once.
        it.arrive(table, row("u", 6, 1));
        CHECK(state_of(table, "u") == upstream_state::serving);
    }
}

TEST_CASE("a departure ends")
{
    std::uint64_t change_counter = 0;
    upstream_table table(change_counter);
    table.leave({"u", 5}, start);
    const auto end = start + fleet::departed_upstreams::retention;
    table.tick(end);
    table.announce(row("u", 5, 1), end);
    CHECK(state_of(table, "u") == upstream_state::leaving);
    table.tick(end + seconds(60));
    CHECK(table.entries().empty());
    table.announce(row("u", 5, 2), end + seconds(60));
    CHECK(state_of(table, "u") == upstream_state::serving);
}

// Guards against an unnamed departure that misses the upstream that sent it, or
// that holds back its next start.
TEST_CASE("a departure without an incarnation means the start that sent it")
{
    constexpr std::uint64_t now = 1'700'000'000'000; // Unix milliseconds.
    constexpr std::uint64_t earlier = now - 60'000;
    constexpr std::uint64_t later = now + 60'000; // Its clock is ahead.
    constexpr std::uint64_t by_now = now + 2000;
    struct listing_case
    {
        const char* name;
        void (*prepare)(upstream_table&);
        std::uint64_t expected;
    };
    const listing_case rows[] = {
        {"not listed", [](auto&) {}, by_now},
        {"listed",
         [](auto& table) {
             table.announce(row("u", earlier, 1), start);
         },
         now},
        {"listed, its clock is ahead",
         [](auto& table) {
             table.announce(row("u", later, 1), start);
         },
         later},
        {"silent",
         [](auto& table) {
             table.announce(row("u", earlier, 1), start - seconds(10));
             table.tick(start);
         },
         now},
        {"silent, its clock is ahead",
         [](auto& table) {
             table.announce(row("u", later, 1), start - seconds(10));
             table.tick(start);
         },
         later},
        {"repeated",
         [](auto& table) {
             table.announce(row("u", earlier, 1), start);
             table.leave({"u", earlier}, start);
         },
         earlier},
        {"repeated when it is silent",
         [](auto& table) {
             table.announce(row("u", earlier, 1), start - seconds(10));
             table.leave({"u", earlier}, start - seconds(10));
             table.tick(start);
         },
         earlier},
        {"repeated when it is not listed any more",
         [](auto& table) {
             table.leave({"u", earlier}, start);
         },
         earlier},
        {"the next start is listed",
         [](auto& table) {
             table.leave({"u", earlier}, start);
             table.announce(row("u", now - 1000, 1), start);
         },
         now},
        {"the next start is silent",
         [](auto& table) {
             table.leave({"u", earlier}, start - seconds(10));
             table.announce(row("u", now - 9000, 1), start - seconds(10));
             table.tick(start);
         },
         now},
    };
    for (const auto& it : rows)
    {
        CAPTURE(it.name);
        std::uint64_t change_counter = 0;
        upstream_table table(change_counter);
        it.prepare(table);
        CHECK(table.find_departing("u", now) == it.expected);
    }
}
