// Guards against calls to an upstream that asked this VM to stay away, and
// against all of them returning at once afterwards.

#include <LibFleet/paused_upstreams.hpp>

#include <doctest.h>

#include <chrono>
#include <string>
#include <vector>

namespace hyssoploft::tests {

namespace {

using namespace std::chrono_literals;
using fleet::paused_upstreams;

const core::time_point start{100s};

} // namespace

TEST_CASE("a pause belongs to an incarnation and is never shortened")
{
    paused_upstreams it;
    CHECK(it.ends_at("u", 5, start) == start);
    CHECK(it.add("u", 5, 4s, start));
    CHECK(it.ends_at("u", 5, start + 1s) == start + 4s);
    CHECK(it.max_calls("u", 5, 64, start + 3999ms) == 0);
    // A shorter one, then a longer one.
    CHECK_FALSE(it.add("u", 5, 1s, start + 1s));
    CHECK(it.ends_at("u", 5, start + 1s) == start + 4s);
    CHECK(it.add("u", 5, 5s, start + 1s));
    CHECK(it.ends_at("u", 5, start + 1s) == start + 6s);
    // A late listing of an earlier incarnation; a new start; another upstream.
    CHECK(it.ends_at("u", 4, start + 1s) == start + 6s);
    CHECK(it.ends_at("u", 6, start + 1s) == start + 1s);
    CHECK(it.max_calls("u", 6, 64, start + 1s) == 64);
    CHECK(it.ends_at("v", 5, start + 1s) == start + 1s);
    // A late answer of the earlier incarnation.
    CHECK(it.add("u", 6, 1s, start + 1s));
    CHECK_FALSE(it.add("u", 5, 50s, start + 1s));
    CHECK(it.ends_at("u", 6, start + 1s) == start + 2s);
}

TEST_CASE("a pause has a bound")
{
    paused_upstreams it;
    CHECK(it.add("u", 1, 24h, start));
    CHECK(it.ends_at("u", 1, start) == start + paused_upstreams::max_pause);
    CHECK_FALSE(it.add("v", 0, 0s, core::time_point()));
    CHECK(it.add("w", 1, 0s, start));
    CHECK(it.ends_at("w", 1, start) == start);
    CHECK(it.add("x", 1, -5s, start));
    CHECK(it.ends_at("x", 1, start) == start);
}

TEST_CASE("after a pause calls return in steps")
{
    paused_upstreams it;
    it.add("u", 1, 2s, start);
    const auto end = start + 2s;
    CHECK(it.max_calls("u", 1, 64, end) == 1);
    std::uint32_t before = 1;
    for (auto passed = 0ms; passed < paused_upstreams::ramp_time;
         passed += 100ms)
    {
        const auto now = it.max_calls("u", 1, 64, end + passed);
        CHECK(now >= before);
        CHECK(now <= before + 8);
        before = now;
    }
    CHECK(it.max_calls("u", 1, 64, end + paused_upstreams::ramp_time) == 64);
    CHECK(it.max_calls("u", 1, 1, end) == 1);
    CHECK(it.remove_ended(end).empty());
    CHECK(
        it.remove_ended(end + paused_upstreams::ramp_time) ==
        std::vector<std::string>{"u"});
    CHECK(it.size() == 0);
}

} // namespace hyssoploft::tests
