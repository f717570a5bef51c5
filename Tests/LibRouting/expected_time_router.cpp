// Tests reasons of decisions, ejection, probing and the price of other regions
// through the router.

#include "fleet_builder.hpp"

#include <LibRouting/expected_time_router.hpp>

#include <doctest.h>

#include <map>

using namespace hyssoploft;
using namespace hyssoploft::routing;
using namespace hyssoploft::tests;

namespace {

struct test_router
{
    explicit test_router(std::uint64_t seed = 1) : random(seed) {}

    route_decision must_choose(const routing_request& request)
    {
        const routing_result got = router.choose(request, now);
        REQUIRE(got.chosen);
        return got.decision;
    }

    void install()
    {
        fleet.install(router, now);
    }

    fleet_builder fleet;
    core::seeded_random random;
    expected_time_router router{expected_time_settings(), random};
    core::time_point now = start;
};

routing_request with_prefix(std::uint64_t first, std::uint32_t blocks = 20)
{
    routing_request it = quote(blocks * prefix_block_tokens);
    for (std::uint64_t i = 0; i < blocks; ++i)
    {
        it.prefix_hashes.push_back(first + i);
    }
    return it;
}

} // namespace

TEST_CASE("the decision gives the reason that decided it")
{
    test_router it;
    it.fleet.vms("a", 1).upstreams("a", 1);
    it.install();
    CHECK_EQ(it.must_choose(quote()).reason, routing_reason::only_candidate);
    it.fleet.upstreams("a", 4);
    it.install();
    it.now += 60s;
    CHECK_EQ(
        it.must_choose(quote()).reason, routing_reason::shortest_expected_time);
    const routing_request request = with_prefix(500);
    const std::string holder = it.must_choose(request).upstream;
    it.router.record_result(holder, request, answered(), it.now + 2s);
    it.now += 2s;
    const route_decision again = it.must_choose(request);
    CHECK_EQ(again.upstream, holder);
    CHECK_EQ(again.reason, routing_reason::prefix_affinity);
}

TEST_CASE("another region is used only if it saves more than its price")
{
    test_router it;
    it.fleet.vms("a", 1).vms("b", 1).upstreams("a", 1).upstreams("b", 1);
    it.fleet.link("a", "b", 1e9);
    it.fleet.report("up-a-0", 20, it.now, 0s); // More than its capacity.
    it.install();
    routing_request request = quote();
    request.remote_price_seconds = 100;
    CHECK_EQ(it.must_choose(request).region, "a");
    request.remote_price_seconds = 0.25;
    const route_decision far = it.must_choose(request);
    CHECK_EQ(far.region, "b");
    CHECK_EQ(far.reason, routing_reason::remote_gain);
    request.local_only = true;
    CHECK_EQ(it.must_choose(request).region, "a");
}

// Guards against applying the cache bonus, which is meant for comparison within
// a region, to a choice between regions: it would move calls across regions.
TEST_CASE("a cached prefix in another region counts without the bonus")
{
    test_router it;
    it.fleet.vms("a", 1).vms("b", 1).upstreams("a", 1).upstreams("b", 1);
    it.fleet.link("a", "b", 1e9);
    it.install();
    routing_request request = with_prefix(300);
    it.router.apply_cache_event("up-b-0", 1, request.prefix_hashes, {}, it.now);
    const expected_time_settings settings;
    const double saved =
        request.prompt_tokens * settings.costs.prior.seconds_per_prompt_token;
    const double gain = saved - settings.costs.other_region_seconds;
    request.remote_price_seconds =
        gain + settings.cache_bonus_share * saved / 2;
    CHECK_EQ(it.must_choose(request).region, "a");
    it.router.apply_cache_event("up-b-0", 2, request.prefix_hashes, {}, it.now);
    request.remote_price_seconds = gain / 2;
    CHECK_EQ(it.must_choose(request).reason, routing_reason::remote_gain);
}

TEST_CASE("calls to another region stay within the link's budget")
{
    test_router it;
    it.fleet.vms("a", 1).vms("b", 1).upstreams("b", 4, 1000);
    const double rate = 1e5;
    it.fleet.link("a", "b", rate);
    it.install();
    const routing_request request = quote();
    const expected_time_settings settings;
    const double bytes = request.answer_limit * settings.answer_bytes_per_token;
    double sent = 0;
    bool refused = false;
    for (int i = 0; i < 600; ++i)
    {
        const routing_result got = it.router.choose(request, it.now);
        if (got.chosen)
        {
            sent += bytes;
        }
        else
        {
            refused = true;
            CHECK_EQ(got.refusal, no_route_reason::link_budget_exhausted);
        }
        it.now += 100ms;
    }
    CHECK(refused);
    CHECK_LE(
        sent,
        rate * settings.link.usable_share * (60 + settings.link.burst_seconds));
    CHECK_GE(sent, rate * settings.link.usable_share * 50);
}

TEST_CASE("a failing upstream is ejected, probed one call at a time, and "
          "readmitted with a growing share")
{
    test_router it;
    it.fleet.vms("a", 1).upstreams("a", 3);
    it.install();
    const routing_request request = quote();
    // up-a-1 fails every call until it is ejected.
    for (int i = 0; i < 200; ++i)
    {
        const std::string to = it.must_choose(request).upstream;
        it.now += 10ms;
        it.router.record_result(
            to, request, to == "up-a-1" ? failed() : answered(150ms, 10ms),
            it.now);
    }
    CHECK_EQ(
        it.router.status_of("up-a-1", it.now).health, health_state::ejected);
    it.now += 12s;
    // The first call is the probe. No other call is sent while it runs.
    CHECK_EQ(it.must_choose(request).reason, routing_reason::probe);
    for (int i = 0; i < 20; ++i)
    {
        CHECK_NE(it.must_choose(request).upstream, "up-a-1");
    }
    for (int probes = 0; probes < 3; ++probes)
    {
        it.now += 2s;
        it.router.record_result("up-a-1", request, answered(), it.now);
        if (probes < 2)
        {
            const route_decision probe = it.must_choose(request);
            CHECK_EQ(probe.upstream, "up-a-1");
            CHECK_EQ(probe.reason, routing_reason::probe);
        }
    }
    const upstream_status back = it.router.status_of("up-a-1", it.now);
    CHECK_EQ(back.health, health_state::healthy);
    CHECK_LT(back.ramp_share, 0.2);
}

TEST_CASE("an ejected upstream is used if all its peers have left")
{
    test_router it;
    it.fleet.vms("a", 1).upstreams("a", 3);
    it.install();
    const routing_request request = quote();
    for (int i = 0; i < 200; ++i)
    {
        const std::string to = it.must_choose(request).upstream;
        it.router.record_result(
            to, request, to == "up-a-1" ? failed() : answered(150ms, 1ms),
            it.now);
    }
    REQUIRE_EQ(
        it.router.status_of("up-a-1", it.now).health, health_state::ejected);
    it.fleet.upstream("up-a-0").state = membership::upstream_state::leaving;
    it.fleet.upstream("up-a-2").state = membership::upstream_state::leaving;
    it.install();
    const route_decision got = it.must_choose(request);
    CHECK_EQ(got.upstream, "up-a-1");
    CHECK_EQ(got.reason, routing_reason::last_resort);
}

TEST_CASE("a probe whose caller cancelled is repeated, not passed")
{
    test_router it;
    it.fleet.vms("a", 1).upstreams("a", 3);
    it.install();
    const routing_request request = quote();
    for (int i = 0; i < 200; ++i)
    {
        const std::string to = it.must_choose(request).upstream;
        it.router.record_result(
            to, request, to == "up-a-1" ? failed() : answered(150ms, 1ms),
            it.now);
    }
    it.now += 12s;
    for (int i = 0; i < 10; ++i)
    {
        const route_decision probe = it.must_choose(request);
        REQUIRE_EQ(probe.reason, routing_reason::probe);
        it.router.record_result(
            probe.upstream, request, {call_outcome::cancelled, {}, 1ms, 0, 0},
            it.now);
    }
    CHECK_EQ(
        it.router.status_of("up-a-1", it.now).health, health_state::probing);
}

TEST_CASE("a slow upstream is avoided from its first tokens on, not only "
          "when its calls end")
{
    test_router it;
    it.fleet.vms("a", 1).upstreams("a", 3, 1000);
    it.install();
    int late_calls_to_slow = 0;
    // Prompts differ so that each first token matches its own call.
    for (std::uint32_t i = 0; i < 150; ++i)
    {
        const routing_request request = quote(400 + i);
        const std::string to = it.must_choose(request).upstream;
        const core::duration first = to == "up-a-1" ? 4s : 150ms;
        it.now += first;
        it.router.record_first_token(to, request, first, it.now);
        late_calls_to_slow += i >= 50 && to == "up-a-1" ? 1 : 0;
    }
    CHECK_LT(late_calls_to_slow, 10); // An even share would be 33 of 100.
    CHECK_GT(
        it.router.status_of("up-a-1", it.now).rates.seconds_per_prompt_token,
        3 * it.router.status_of("up-a-0", it.now)
                .rates.seconds_per_prompt_token);
}

TEST_CASE(
    "an upstream that rejected a call for load gets no calls for a short time")
{
    test_router it;
    it.fleet.vms("a", 1).upstreams("a", 1);
    it.install();
    it.must_choose(quote());
    it.router.record_result(
        "up-a-0", quote(), {call_outcome::rejected_for_load, {}, 1ms, 0, 0},
        it.now);
    CHECK_EQ(
        it.router.choose(quote(), it.now).refusal,
        no_route_reason::all_ejected_or_full);
    it.now += 1s;
    it.must_choose(quote());
    CHECK_EQ(
        it.router.status_of("up-a-0", it.now).health, health_state::healthy);
}

TEST_CASE("a restarted upstream has no cached prefixes")
{
    test_router it;
    it.fleet.vms("a", 1).upstreams("a", 4);
    it.install();
    const routing_request request = with_prefix(700);
    const std::string holder = it.must_choose(request).upstream;
    it.router.record_result(holder, request, answered(), it.now + 2s);
    it.now += 2s;
    ++it.fleet.upstream(holder).incarnation;
    it.install();
    it.now += 60s;
    CHECK_EQ(
        it.must_choose(request).reason, routing_reason::shortest_expected_time);
}
