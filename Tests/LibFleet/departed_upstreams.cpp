// Guards against departures that are forgotten too early, kept without end or
// without a bound, or held against a later start.

#include <LibFleet/departed_upstreams.hpp>

#include <doctest.h>

#include <string>

using namespace hyssoploft;
using fleet::departed_upstreams;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const departed_upstreams::time start{seconds(100)};

} // namespace

TEST_CASE("a departure holds for its incarnation and earlier ones only")
{
    departed_upstreams it;
    CHECK_FALSE(it.contains("u", 0));
    CHECK_FALSE(it.incarnation_of("u").has_value());
    CHECK(it.add({"u", 5}, start));
    CHECK(it.contains("u", 4));
    CHECK(it.contains("u", 5));
    CHECK_FALSE(it.contains("u", 6));
    CHECK_FALSE(it.contains("v", 5));
    CHECK_FALSE(it.add({"u", 5}, start));
    CHECK_FALSE(it.add({"u", 4}, start));
    CHECK(it.incarnation_of("u") == 5);
    CHECK(it.add({"u", 6}, start));
    CHECK(it.incarnation_of("u") == 6);
    CHECK(it.size() == 1);
}

TEST_CASE("a departure is forgotten after its retention")
{
    departed_upstreams it;
    CHECK(it.add({"u", 5}, start));
    CHECK(it.add({"v", 5}, start + minutes(1)));
    // A later departure of the same upstream counts from its own time, one
    // that is known does not.
    CHECK(it.add({"w", 5}, start));
    CHECK(it.add({"w", 6}, start + minutes(2)));
    CHECK_FALSE(it.add({"u", 5}, start + minutes(2)));
    const auto end = start + departed_upstreams::retention;
    it.remove_old(end);
    CHECK(it.contains("u", 5));
    it.remove_old(end + milliseconds(1));
    CHECK_FALSE(it.contains("u", 5));
    CHECK(it.contains("v", 5));
    it.remove_old(end + minutes(1) + milliseconds(1));
    CHECK_FALSE(it.contains("v", 5));
    CHECK(it.contains("w", 6));
    it.remove_old(end + minutes(2) + milliseconds(1));
    CHECK(it.size() == 0);
    CHECK(it.forgotten() == 0);
}

TEST_CASE("the upstreams that left first are forgotten when there are too many")
{
    departed_upstreams it;
    const auto limit = departed_upstreams::max_upstreams;
    for (std::size_t n = 0; n < limit; ++n)
    {
        CHECK(it.add({std::to_string(n), 1}, start));
    }
    CHECK(it.forgotten() == 0);
    // The first one leaves again: it is the newest now.
    CHECK(it.add({"0", 2}, start));
    CHECK(it.add({"new", 1}, start));
    CHECK(it.size() == limit);
    CHECK(it.forgotten() == 1);
    CHECK(it.contains("0", 2));
    CHECK_FALSE(it.contains("1", 1));
    CHECK(it.contains("new", 1));
}
