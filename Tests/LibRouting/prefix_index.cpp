// Guards against an index that grows without bound or returns prefixes that
// were evicted.

#include "fleet_builder.hpp"

#include <LibRouting/prefix_index.hpp>

#include <Support/seeded_property.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::routing;
using namespace hyssoploft::tests;

using hashes = std::vector<std::uint64_t>;

TEST_CASE("the longest known prefix of each upstream is found")
{
    prefix_index index({});
    index.record(1, {10, 11, 12}, start);
    index.record(2, {10}, start);
    const auto got = index.match({10, 11, 12, 13}, start);
    REQUIRE_EQ(got.size(), 2);
    CHECK_EQ(got[0].upstream, 1);
    CHECK_EQ(got[0].blocks, 3);
    CHECK_EQ(got[0].probability, doctest::Approx(1));
    CHECK_EQ(got[1].upstream, 2);
    CHECK_EQ(got[1].blocks, 1);
}

TEST_CASE("the probability falls with age, gaps, evictions and restarts")
{
    const prefix_settings settings;
    prefix_index index(settings);
    index.apply_event(1, 5, {10}, {}, start);
    CHECK_EQ(index.match({10}, start)[0].probability, doctest::Approx(1));
    CHECK_EQ(
        index.match({10}, start + settings.probability_half_life)[0]
            .probability,
        doctest::Approx(0.5));
    index.apply_event(1, 6, {}, {}, start);
    CHECK_EQ(index.match({10}, start)[0].probability, doctest::Approx(1));
    index.apply_event(1, 9, {20}, {}, start);
    CHECK_EQ(
        index.match({10}, start)[0].probability,
        doctest::Approx(settings.gap_probability_factor));
    CHECK_EQ(index.match({20}, start)[0].probability, doctest::Approx(1));
    // Of a late event, only the evictions are applied.
    index.apply_event(1, 7, {30}, {20}, start);
    CHECK(index.match({20}, start).empty());
    CHECK(index.match({30}, start).empty());
    index.invalidate(1);
    CHECK(index.match({10}, start).empty());
    index.record(1, {10}, start);
    CHECK_EQ(index.match({10}, start).size(), 1);
    index.remove_upstream(1);
    CHECK(index.match({10}, start).empty());
}

TEST_CASE("the index keeps its bound and its most recent prefixes")
{
    CHECK(tests::holds(51, 50, [] {
        prefix_settings settings;
        settings.max_entries = 64;
        prefix_index index(settings);
        core::time_point now = start;
        for (int i = 0; i < 300; ++i)
        {
            now += 1ms;
            const auto upstream = *rc::gen::inRange<std::uint32_t>(0, 12);
            const auto hash = *rc::gen::inRange<std::uint64_t>(0, 200);
            if (*rc::gen::inRange(0, 5) == 0)
            {
                index.apply_event(
                    upstream, static_cast<std::uint64_t>(i), {}, {hash}, now);
                for (const auto& it : index.match({hash}, now))
                {
                    RC_ASSERT(it.upstream != upstream);
                }
            }
            else
            {
                index.record(upstream, {hash}, now);
                bool known = false;
                for (const auto& it : index.match({hash}, now))
                {
                    known = known || it.upstream == upstream;
                }
                RC_ASSERT(known);
            }
            RC_ASSERT(index.size() <= settings.max_entries);
        }
    }));
}
