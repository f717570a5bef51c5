// Guards against effects that appear only with several VMs or many calls:
// herding to one upstream, hot prefixes, and overload of a recovered region.

#include "fleet_builder.hpp"

#include <LibRouting/expected_time_router.hpp>

#include <doctest.h>

#include <algorithm>
#include <map>

using namespace hyssoploft;
using namespace hyssoploft::routing;
using namespace hyssoploft::tests;

TEST_CASE(
    "many VMs with the same delayed reports don't all choose one upstream")
{
    for (const std::uint64_t seed : {1, 2, 3, 4, 5})
    {
        CAPTURE(seed);
        core::seeded_random random(seed);
        fleet_builder fleet;
        fleet.vms("a", 24).upstreams("a", 12);
        // One upstream reports no load to all VMs, the others a low load.
        for (int i = 0; i < 12; ++i)
        {
            fleet.report(core::concat("up-a-", i), i == 5 ? 0 : 2, start, 2s);
        }
        std::map<std::string, int> chosen;
        for (int vm = 0; vm < 24; ++vm)
        {
            expected_time_router router({}, random);
            fleet.view().self = core::concat("vm-a-", vm);
            fleet.install(router, start);
            for (int i = 0; i < 4; ++i)
            {
                ++chosen[router.choose(quote(), start).decision.upstream];
            }
        }
        // 96 calls over 12 upstreams: 8 each on average.
        for (const auto& [id, n] : chosen)
        {
            CHECK_LE(n, 24);
        }
        CHECK_GE(chosen.size(), 11);
    }
}

TEST_CASE("a hot prefix does not overload the upstream that caches it")
{
    core::seeded_random random(7);
    expected_time_router router({}, random);
    fleet_builder fleet;
    fleet.vms("a", 1).upstreams("a", 6, 16);
    fleet.install(router, start);
    routing_request request = quote(2048);
    for (std::uint64_t i = 0; i < 32; ++i)
    {
        request.prefix_hashes.push_back(900 + i);
    }
    std::map<std::string, int> running;
    for (int i = 0; i < 48; ++i)
    {
        const auto got = router.choose(request, start + i * 50ms);
        REQUIRE(got.chosen);
        ++running[got.decision.upstream];
    }
    // 8 each on average; the bound is 1.25 times that, plus two calls.
    for (const auto& [id, n] : running)
    {
        CHECK_LE(n, 12);
    }
}

TEST_CASE("a region whose upstreams return ramps up")
{
    core::seeded_random random(9);
    expected_time_router router({}, random);
    fleet_builder fleet;
    fleet.vms("a", 1).vms("b", 1).upstreams("a", 4).upstreams("b", 4);
    fleet.link("a", "b", 1e9);
    fleet.install(router, start);
    const auto share_of_a = [&](core::time_point now) {
        int local = 0;
        for (int i = 0; i < 200; ++i)
        {
            const auto got = router.choose(quote(), now);
            REQUIRE(got.chosen);
            local += got.decision.region == "a" ? 1 : 0;
            router.record_result(
                got.decision.upstream, quote(), answered(150ms, 0s), now);
        }
        return local / 200.0;
    };
    CHECK_EQ(share_of_a(start), doctest::Approx(1));
    fleet_builder fleet_without_a;
    fleet_without_a.vms("a", 1).vms("b", 1).upstreams("b", 4).link(
        "a", "b", 1e9);
    fleet_without_a.install(router, start + 10s);
    CHECK_EQ(share_of_a(start + 11s), doctest::Approx(0));
    const core::time_point returned_at = start + 60s;
    fleet.install(router, returned_at);
    const double first = share_of_a(returned_at);
    const double half = share_of_a(returned_at + 15s);
    // Each of four upstreams is a candidate for 10% of the calls, so that 34%
    // of the calls have a local candidate.
    CHECK_LT(first, 0.5);
    CHECK_GT(half, first);
    CHECK_EQ(share_of_a(returned_at + 31s), doctest::Approx(1));
}

TEST_CASE("an upstream that understates its load does not attract more traffic")
{
    core::seeded_random random(11);
    expected_time_router router({}, random);
    fleet_builder fleet;
    fleet.vms("a", 3).upstreams("a", 4);
    core::time_point now = start;
    fleet.install(router, now);
    std::map<std::string, std::vector<core::time_point>> running;
    int calls_to_misreporting = 0;
    int late_calls = 0;
    for (int i = 0; i < 2000; ++i)
    {
        now += 20ms;
        if (i % 25 == 0)
        {
            // Other VMs have 6 calls at each; up-a-2 always reports none.
            for (auto& [id, it] : fleet.view().upstreams)
            {
                const auto own = static_cast<std::uint32_t>(running[id].size());
                fleet.report(id, id == "up-a-2" ? 0 : own + 6, now, 0s);
            }
            fleet.install(router, now);
        }
        for (auto& [id, calls] : running)
        {
            std::erase_if(calls, [&, name = id](core::time_point started_at) {
                const bool is_done = now - started_at >= 1s;
                if (is_done)
                {
                    router.record_result(
                        name, quote(), answered(200ms, 1s), now);
                }
                return is_done;
            });
        }
        const auto got = router.choose(quote(), now);
        REQUIRE(got.chosen);
        running[got.decision.upstream].push_back(now);
        if (i >= 500)
        {
            ++late_calls;
            calls_to_misreporting += got.decision.upstream == "up-a-2" ? 1 : 0;
        }
    }
    // An even share would be a quarter.
    CHECK_LT(calls_to_misreporting, late_calls * 0.35);
}
