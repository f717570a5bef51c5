// Tests the waits that calls of different urgency may find.

#include <LibRouting/urgency_limits.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace std::chrono_literals;

namespace {

constexpr double wait_share = 0.6;
const core::time_point start{100s};

/// Calls of one level: `accepted` of each ten.
void offer(
    routing::urgency_limits& it, std::uint32_t urgency, core::duration target,
    int accepted)
{
    for (int n = 0; n < 50; ++n)
    {
        it.record(
            "engine", urgency, target, n % 10 < accepted,
            start + n * std::chrono::milliseconds(40));
    }
}

} // namespace

TEST_CASE("less urgent calls leave room for urgent ones with a shorter target")
{
    struct row
    {
        const char* name;
        int urgent_accepted; // Of ten; -1: no urgent calls.
        core::duration urgent_target;
        int other_accepted;
        double expected; // Of the less urgent calls, whose target is 1.5 s.
    };
    const row rows[] = {
        {"alone", -1, 500ms, 10, 0.9},
        {"beside urgent ones", 10, 500ms, 10, 0.12},
        {"beside urgent ones that are refused, too", 5, 500ms, 5, 0.12},
        {"served much less often", 10, 500ms, 3, 0.3},
        {"both scarce, and served much less often", 6, 500ms, 2, 0.3},
        {"urgent ones that may wait longer", 10, 2s, 10, 0.9},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        routing::urgency_limits it(wait_share);
        if (row.urgent_accepted >= 0)
        {
            offer(it, 0, row.urgent_target, row.urgent_accepted);
        }
        offer(it, 2, 1500ms, row.other_accepted);
        const auto now = start + 2s;
        CHECK_EQ(
            it.max_wait_seconds("engine", 2, 1500ms, now),
            doctest::Approx(row.expected));
        CHECK_EQ(
            it.max_wait_seconds("engine", 0, 500ms, now), doctest::Approx(0.3));
        CHECK_EQ(
            it.max_wait_seconds("other role", 2, 1500ms, now),
            doctest::Approx(0.9));
    }
}

TEST_CASE("urgent calls that have stopped need no room")
{
    routing::urgency_limits it(wait_share);
    offer(it, 0, 500ms, 10);
    offer(it, 2, 1500ms, 10);
    CHECK_EQ(
        it.max_wait_seconds("engine", 2, 1500ms, start + 30s),
        doctest::Approx(0.9));
}
