// Tests which engines are compared for a call.

#include <LibRouting/engine_sample.hpp>

#include <doctest.h>

#include <algorithm>

using namespace hyssoploft;

TEST_CASE("the more calls reports don't show yet, the fewer are compared")
{
    struct row
    {
        double unseen_calls;
        std::size_t engines;
        std::size_t compared;
    };
    const row rows[] = {
        {0, 30, 30},  {1, 30, 30}, {6, 30, 13}, {20, 30, 4},  {1000, 30, 2},
        {1000, 1, 1}, {5, 0, 0},   {0.5, 4, 4}, {1000, 2, 2},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.unseen_calls);
        CAPTURE(row.engines);
        CHECK_EQ(
            routing::compared_engines(row.unseen_calls, row.engines),
            row.compared);
    }
}

TEST_CASE("the first engines of the order with room are compared")
{
    struct row
    {
        const char* name;
        std::vector<routing::engine_load> engines;
        std::size_t compared;
        std::vector<std::size_t> expected; // Sorted.
    };
    const row rows[] = {
        {"all", {{1, 0.1}, {2, 0.5}}, 2, {0, 1}},
        {"the highest ranks", {{5, 0.1}, {9, 0.1}, {7, 0.1}}, 2, {1, 2}},
        {"one with room is enough", {{5, 0.1}, {9, 0.9}, {7, 0.1}}, 2, {1, 2}},
        {"overloaded ones are passed over",
         {{5, 0.0}, {9, 0.9}, {7, 0.9}, {3, 0.0}},
         2,
         {0, 3}},
        {"none", {}, 2, {}},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        auto got = routing::sample_engines(row.engines, row.compared);
        std::sort(got.begin(), got.end());
        CHECK_EQ(got, row.expected);
    }
}
