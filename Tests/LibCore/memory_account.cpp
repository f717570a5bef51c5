// Guards against clients that take the memory or the connections of others,
// and against a running request that is cut to make room.

#include <LibCore/memory_account.hpp>

#include <doctest.h>

#include <memory>
#include <string>
#include <vector>

namespace hyssoploft::tests {

namespace {

using namespace std::chrono_literals;
using core::connection_phase;
using core::reservation_result;

constexpr std::size_t small = core::memory_account::small_bytes;
constexpr auto patience = core::memory_account::patience;

/// Connections that count how often each one gave way.
struct fixture
{
    explicit fixture(core::account_limits limits)
        : account(std::make_shared<core::memory_account>(limits))
    {}

    core::account_entry& open(connection_phase phase)
    {
        const auto n = entries.size();
        closed.push_back(0);
        entries.push_back(std::make_unique<core::account_entry>(
            account,
            [this, n] {
                ++closed[n];
            },
            now));
        entries.back()->set_phase(phase, now);
        return *entries.back();
    }

    core::time_point now{};
    std::shared_ptr<core::memory_account> account;
    std::vector<int> closed;
    std::vector<std::unique_ptr<core::account_entry>> entries;
};

constexpr core::account_limits roomy{20 * small, 5 * small, 100};

} // namespace

TEST_CASE("a large request without room")
{
    struct row
    {
        const char* name;
        connection_phase holder;
        core::duration held_for;
        bool can_wait;
        reservation_result result;
        int closed;
    };
    const row rows[] = {
        {"waits while the holder is read for a short time",
         connection_phase::reading, patience - 1ns, true,
         reservation_result::wait, 0},
        {"takes the place of one that is read for long",
         connection_phase::reading, patience, true, reservation_result::granted,
         1},
        {"takes the place at once if it can't wait", connection_phase::reading,
         0ns, false, reservation_result::granted, 1},
        {"waits for one that runs", connection_phase::running, 10 * patience,
         true, reservation_result::wait, 0},
        {"is refused if it can't wait for one that runs",
         connection_phase::running, 10 * patience, false,
         reservation_result::refused, 0},
        {"leaves the holder of an answer alone", connection_phase::writing,
         10 * patience, false, reservation_result::refused, 0}};
    for (const auto& it : rows)
    {
        CAPTURE(std::string(it.name));
        fixture f(roomy);
        auto& holder = f.open(it.holder);
        REQUIRE(
            holder.reserve(14 * small, true, f.now) ==
            reservation_result::granted);
        f.now += it.held_for;
        auto& wants = f.open(connection_phase::reading);
        CHECK(wants.reserve(2 * small, it.can_wait, f.now) == it.result);
        CHECK(f.closed[0] == it.closed);
        const bool is_granted = it.result == reservation_result::granted;
        CHECK(f.account->used() == (is_granted ? 2 : 14) * small);
    }
}

TEST_CASE("the request that has held its memory for longest gives way")
{
    fixture f(roomy);
    for (int n = 0; n < 3; ++n)
    {
        auto& it = f.open(connection_phase::reading);
        CHECK(
            it.reserve(5 * small, true, f.now) == reservation_result::granted);
        f.now += 1s;
    }
    auto& wants = f.open(connection_phase::reading);
    CHECK(wants.reserve(5 * small, true, f.now) == reservation_result::granted);
    CHECK(f.closed == std::vector<int>{1, 0, 0, 0});
    // What gave way holds nothing, and gets nothing more.
    CHECK(
        f.entries[0]->reserve(1, false, f.now) == reservation_result::refused);
    CHECK(f.account->used() == 15 * small);
}

TEST_CASE("large requests leave room for small ones")
{
    fixture f(roomy);
    auto& large = f.open(connection_phase::running);
    CHECK(
        large.reserve(15 * small, true, f.now) == reservation_result::granted);
    for (int n = 0; n < 5; ++n)
    {
        auto& it = f.open(connection_phase::running);
        CHECK(it.reserve(small, false, f.now) == reservation_result::granted);
    }
    auto& last = f.open(connection_phase::reading);
    CHECK(last.reserve(small, false, f.now) == reservation_result::refused);
    CHECK(f.account->refused() == 1);
}

TEST_CASE("one request alone is granted, whatever its size")
{
    fixture f({small, small / 4, 10});
    auto& it = f.open(connection_phase::reading);
    CHECK(it.reserve(8 * small, true, f.now) == reservation_result::granted);
    CHECK(it.reserve(9 * small, true, f.now) == reservation_result::granted);
    CHECK(it.reserve(0, true, f.now) == reservation_result::granted);
    CHECK(f.account->used() == 0);
}

TEST_CASE("the number of requests that wait is bounded")
{
    fixture f(roomy);
    auto& holder = f.open(connection_phase::running);
    CHECK(
        holder.reserve(15 * small, true, f.now) == reservation_result::granted);
    const auto want = [&] {
        return f.open(connection_phase::reading)
            .reserve(2 * small, true, f.now);
    };
    for (std::size_t n = 0; n < core::memory_account::max_waiting; ++n)
    {
        CHECK(want() == reservation_result::wait);
    }
    CHECK(want() == reservation_result::refused);
    // One of them goes away.
    f.entries[1].reset();
    CHECK(want() == reservation_result::wait);
}

TEST_CASE("at the limit of connections")
{
    struct row
    {
        const char* name;
        connection_phase first; ///< Of the older connection.
        connection_phase second;
        core::duration age;
        bool has_room;
        std::vector<int> closed;
    };
    const row rows[] = {
        {"the longest idle one is closed",
         connection_phase::idle,
         connection_phase::idle,
         0ns,
         true,
         {1, 0}},
        {"one that sends for long is closed",
         connection_phase::reading,
         connection_phase::idle,
         0ns,
         true,
         {1, 0}},
        {"a running request is not cut",
         connection_phase::running,
         connection_phase::idle,
         1h,
         true,
         {0, 1}},
        {"an answer that is being read is not cut",
         connection_phase::writing,
         connection_phase::running,
         0ns,
         false,
         {0, 0}},
        {"a reader that stopped is closed",
         connection_phase::writing,
         connection_phase::running,
         patience,
         true,
         {1, 0}},
        {"without any the new one is refused",
         connection_phase::running,
         connection_phase::running,
         1h,
         false,
         {0, 0}}};
    for (const auto& it : rows)
    {
        CAPTURE(std::string(it.name));
        fixture f({20 * small, 5 * small, 2});
        f.open(it.first);
        f.now += 1ms;
        f.open(it.second);
        f.now += it.age;
        CHECK(f.account->make_room_for_connection(f.now) == it.has_room);
        CHECK(f.closed == it.closed);
        CHECK(f.account->connections() == (it.has_room ? 1 : 2));
    }
}

} // namespace hyssoploft::tests
