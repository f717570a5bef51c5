// Tests placement under load: peaks of one region, shared prefixes, overloaded
// engines, and upstreams that are failing, cold, leaving or unreachable.

#include <LibRouting/backlog_router.hpp>

#include <doctest.h>

#include <map>
#include <string>

using namespace hyssoploft;
using routing::backlog_router;
using routing::placement_outcome;
using routing::placement_reason;
using routing::placement_refusal;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(100)};

membership::upstream_record
engine(const std::string& id, const std::string& region)
{
    membership::upstream_record out;
    out.id = id;
    out.address = "10.0.0.1:80";
    out.role = "engine";
    out.region = region;
    out.data_center = region + "-a";
    out.capacity = 64;
    return out;
}

struct test_fleet
{
    fleet::traffic_view view;
    membership::fleet_view fleet;
    core::seeded_random random{7};
    backlog_router router{"east", {}, random};

    explicit test_fleet(
        std::vector<membership::upstream_record> upstreams,
        milliseconds pause_target = {}, double cold_requests_per_second = 4)
    {
        for (auto& it : upstreams)
        {
            fleet.upstreams[it.id] = it;
        }
        for (const auto* region : {"east", "west"})
        {
            membership::vm_record vm;
            vm.id = region;
            vm.region = region;
            vm.relay_address = "10.0.0.2:90";
            vm.entry = true;
            vm.ready = true;
            fleet.vms[vm.id] = vm;
        }
        fleet.self = "east";
        manifest::manifest manifest;
        manifest::upstream_role role;
        role.name = "engine";
        role.is_engine = true;
        role.cold_requests_per_second = cold_requests_per_second;
        manifest.roles.push_back(role);
        manifest::traffic_route route;
        route.roles = {{"engine", 1}};
        route.pause_target = pause_target;
        manifest.routes.push_back(route);
        view.routes = std::make_shared<manifest::route_table>(manifest);
        publish();
    }

    void publish()
    {
        view.fleet = std::make_shared<membership::fleet_view>(fleet);
    }
};

routing::placement_request call(std::uint32_t tokens, std::uint64_t prefix = 0)
{
    routing::placement_request out;
    out.role = "engine";
    out.prompt_tokens = tokens;
    out.memory_tokens = 500'000;
    out.latency_target = milliseconds(800);
    out.time_left = seconds(10);
    if (prefix != 0)
    {
        out.parts = {{1, 500}, {prefix, 4500}, {prefix + 1'000'000, 1000}};
    }
    return out;
}

std::string
choose_upstream(test_fleet& setup, const routing::placement_request& request)
{
    const auto out = setup.router.choose(setup.view, request, start);
    return out.chosen ? out.chosen->upstream : std::string();
}

} // namespace

TEST_CASE("calls go to the engine with the shortest backlog")
{
    test_fleet setup({engine("a", "east"), engine("b", "east")});
    std::map<std::string, int> placed;
    for (int n = 0; n < 10; ++n)
    {
        ++placed[choose_upstream(setup, call(5000))];
    }
    CHECK(placed["a"] == 5);
    CHECK(placed["b"] == 5);
    // Load reported by other VMs counts as well.
    setup.view.loads["a"] = {20, 60'000};
    CHECK(choose_upstream(setup, call(5000)) == "b");
}

// Guards against backlogs that every VM of a large fleet overstates, because
// it has not sent the prompt's shared parts to the agreed engine itself.
TEST_CASE("shared parts count as cached at the engine that all VMs agree on")
{
    test_fleet setup(
        {engine("a", "east"), engine("b", "east"), engine("c", "east")});
    const auto first = setup.router.choose(setup.view, call(6000, 50), start);
    REQUIRE(first.chosen);
    // The last part, which no other prompt has.
    CHECK(first.estimate.uncached_tokens == 1000);
    const auto loads = setup.router.own_loads();
    REQUIRE(loads.size() == 1);
    CHECK(loads[0].waiting_tokens == 1000);
    // Elsewhere they have to be read.
    setup.view.loads[first.chosen->upstream] = {60, 200'000};
    const auto second = setup.router.choose(setup.view, call(6000, 50), start);
    REQUIRE(second.chosen);
    CHECK(second.chosen->upstream != first.chosen->upstream);
    CHECK(second.estimate.uncached_tokens == 6000);
}

TEST_CASE(
    "calls leave their region only when it exceeds its share of the target")
{
    test_fleet setup({engine("a", "east"), engine("w", "west")});
    const auto first = setup.router.choose(setup.view, call(6000), start);
    REQUIRE(first.chosen);
    CHECK(first.chosen->local);
    int local = 1;
    for (int n = 0; n < 20; ++n)
    {
        const auto next = setup.router.choose(setup.view, call(6000), start);
        REQUIRE(next.chosen);
        if (!next.chosen->local)
        {
            CHECK(next.chosen->reason == placement_reason::other_region);
            break;
        }
        ++local;
    }
    // 0.6 of the target of 800 ms, at 100 prompt tokens per millisecond.
    CHECK(local >= 5);
    CHECK(local <= 12);
    auto local_request = call(6000);
    local_request.local_only = true;
    const auto local_result =
        setup.router.choose(setup.view, local_request, start);
    CHECK((!local_result.chosen || local_result.chosen->local));
}

TEST_CASE("only allowed regions are used")
{
    test_fleet setup({engine("a", "east"), engine("w", "west")});
    auto request = call(1000);
    request.allowed_regions = {"west"};
    CHECK(choose_upstream(setup, request) == "w");
    request.allowed_regions = {"north"};
    const auto out = setup.router.choose(setup.view, request, start);
    CHECK_FALSE(out.chosen);
    CHECK(out.refusal == placement_refusal::residency_forbids);
}

TEST_CASE("calls with a shared prefix go to the same engine from every VM")
{
    std::vector<membership::upstream_record> engines;
    for (const auto* id : {"a", "b", "c", "d"})
    {
        engines.push_back(engine(id, "east"));
    }
    test_fleet first_vm(engines);
    test_fleet second_vm(engines);
    std::map<std::string, int> calls_by_engine;
    for (std::uint64_t prefix = 10; prefix < 50; ++prefix)
    {
        const auto out =
            first_vm.router.choose(first_vm.view, call(6000, prefix), start);
        REQUIRE(out.chosen);
        ++calls_by_engine[out.chosen->upstream];
        CHECK(
            choose_upstream(second_vm, call(6000, prefix)) ==
            out.chosen->upstream);
        first_vm.router.finish_call(
            out.chosen->ticket, placement_outcome::completed, start);
        second_vm.router.finish_call(
            out.chosen->ticket, placement_outcome::completed, start);
    }
    CHECK(calls_by_engine.size() == 4);
}

TEST_CASE("calls are refused when the backlog would delay them too long")
{
    test_fleet setup({engine("a", "east")});
    int accepted = 0;
    routing::placement_result last;
    for (int n = 0; n < 40; ++n)
    {
        last = setup.router.choose(setup.view, call(6000), start);
        accepted += last.chosen ? 1 : 0;
    }
    CHECK(accepted >= 6);
    CHECK(accepted <= 14);
    CHECK(last.refusal == placement_refusal::backlog_full);
    CHECK(last.retry_after > core::duration());
}

TEST_CASE("an unreachable upstream gets no calls during its pause")
{
    test_fleet setup({engine("a", "east"), engine("b", "east")});
    const auto out = setup.router.choose(setup.view, call(1000), start);
    REQUIRE(out.chosen);
    setup.router.finish_call(
        out.chosen->ticket, placement_outcome::unreachable, start);
    for (int n = 0; n < 5; ++n)
    {
        CHECK(choose_upstream(setup, call(1000)) != out.chosen->upstream);
    }
    // It is still chosen if no other upstream is left.
    auto request = call(1000);
    request.excluded = {out.chosen->upstream == "a" ? "b" : "a"};
    const auto again = setup.router.choose(setup.view, request, start);
    REQUIRE(again.chosen);
    CHECK(again.chosen->reason == placement_reason::last_resort);
}

TEST_CASE("an upstream that breaks calls gets fewer calls")
{
    test_fleet setup({engine("a", "east"), engine("b", "east")});
    for (int n = 0; n < 40; ++n)
    {
        const auto out = setup.router.choose(setup.view, call(1000), start);
        REQUIRE(out.chosen);
        setup.router.finish_call(
            out.chosen->ticket,
            out.chosen->upstream == "a" ? placement_outcome::broken
                                        : placement_outcome::completed,
            start);
    }
    CHECK(choose_upstream(setup, call(1000)) == "b");
}

TEST_CASE("leaving, expired and evacuated upstreams get no calls")
{
    test_fleet setup(
        {engine("a", "east"), engine("b", "east"), engine("c", "east")});
    setup.fleet.upstreams["a"].state = membership::upstream_state::leaving;
    setup.fleet.upstreams["b"].state = membership::upstream_state::expired;
    setup.fleet.upstreams["c"].data_center = "east-b";
    setup.publish();
    setup.view.evacuated = {"east-b"};
    const auto out = setup.router.choose(setup.view, call(1000), start);
    CHECK_FALSE(out.chosen);
    setup.view.evacuated.clear();
    CHECK(choose_upstream(setup, call(1000)) == "c");
}

TEST_CASE("an upstream that said that it leaves is not even a last resort")
{
    test_fleet setup({engine("a", "east"), engine("b", "west")});
    for (const auto* id : {"a", "b"})
    {
        setup.fleet.upstreams[id].incarnation = 5;
    }
    setup.publish();
    setup.router.leaving().add("a", 5, start);
    CHECK(choose_upstream(setup, call(1000)) == "b");
    auto local = call(1000);
    local.local_only = true;
    const auto out = setup.router.choose(setup.view, local, start);
    CHECK_FALSE(out.chosen);
    CHECK(out.refusal == placement_refusal::all_tried);
    // The same ID may be started again.
    setup.fleet.upstreams["a"].incarnation = 6;
    setup.publish();
    CHECK(setup.router.choose(setup.view, local, start).chosen);
}

TEST_CASE("the rate of calls to a cold upstream is shared by all VMs")
{
    test_fleet setup({engine("a", "east")});
    setup.fleet.upstreams["a"].cold_until = start + seconds(10);
    setup.publish();
    for (const std::uint32_t vms : {1U, 3U, 4U})
    {
        CAPTURE(vms);
        setup.view.region_entry_vms = vms;
        core::seeded_random random(1);
        backlog_router router("east", {}, random);
        int sent = 0;
        for (int ms = 0; ms < 4000; ms += 10)
        {
            const auto now = start + milliseconds(ms);
            const auto out = router.choose(setup.view, call(100), now);
            if (out.chosen)
            {
                ++sent;
                router.finish_call(
                    out.chosen->ticket, placement_outcome::completed, now);
            }
        }
        // 4 calls per second divided by the VMs, plus one at the start.
        CHECK(sent <= static_cast<int>(16 / vms) + 1);
        CHECK(sent >= static_cast<int>(16 / vms) - 1);
    }
}

// Guards against the wait between two such calls leaving the range of a
// duration: x86-64 then takes it for a negative one.
TEST_CASE("a cold upstream with a rate near zero gets at most one call")
{
    test_fleet setup({engine("a", "east")}, {}, 1e-12);
    setup.fleet.upstreams["a"].cold_until = start + seconds(10);
    setup.publish();
    int sent = 0;
    for (int n = 0; n < 10; ++n)
    {
        const auto now = start + seconds(n);
        const auto out = setup.router.choose(setup.view, call(100), now);
        if (out.chosen)
        {
            ++sent;
            setup.router.finish_call(
                out.chosen->ticket, placement_outcome::completed, now);
        }
    }
    CHECK(sent <= 1);
}

TEST_CASE("finished calls leave no load behind")
{
    test_fleet setup({engine("a", "east"), engine("w", "west")});
    for (int n = 0; n < 30; ++n)
    {
        const auto out = setup.router.choose(setup.view, call(6000), start);
        if (!out.chosen)
        {
            continue;
        }
        if (n % 2 == 0)
        {
            setup.router.record_first_event(
                out.chosen->ticket, start + seconds(1));
        }
        setup.router.remove_stale_state(setup.view, start + seconds(2));
        setup.router.finish_call(
            out.chosen->ticket, placement_outcome::completed,
            start + seconds(2));
    }
    CHECK(setup.router.in_flight() == 0);
    CHECK(setup.router.own_loads().empty());
}

TEST_CASE(
    "callers whose only allowed region is evacuated get a long retry delay")
{
    // They would be refused again while the evacuation lasts.
    test_fleet it({engine("a", "east"), engine("b", "west")});
    it.view.evacuated = {"east-a"};
    auto request = call(1000);
    request.allowed_regions = {"east"};
    const auto out = it.router.choose(it.view, request, start);
    CHECK(out.refusal == placement_refusal::residency_forbids);
    CHECK(out.retry_after >= seconds(5));
}

TEST_CASE("callers of a cold upstream get a short retry delay")
{
    auto cold = engine("a", "east");
    cold.cold_until = start + seconds(3);
    test_fleet it({cold, engine("b", "west")});
    auto request = call(1000);
    request.allowed_regions = {"east"};
    REQUIRE(it.router.choose(it.view, request, start).chosen);
    const auto out = it.router.choose(it.view, request, start);
    CHECK(out.refusal == placement_refusal::all_tried);
    CHECK(out.retry_after < seconds(1));
}

// Guards against refusing a prompt on an idle engine because its own prefill
// takes longer than the latency target. A retry would not shorten it.
TEST_CASE("a large prompt is not refused for its own size")
{
    test_fleet setup({engine("a", "east")});
    auto request = call(100'000);
    const auto out = setup.router.choose(setup.view, request, start);
    CHECK(out.chosen);
    CHECK(out.estimate.expected_seconds > 0.9);
    setup.router.finish_call(
        out.chosen->ticket, placement_outcome::completed, start);
    request.time_left = milliseconds(500);
    const auto late = setup.router.choose(setup.view, request, start);
    CHECK(late.refusal == placement_refusal::deadline_too_near);
}

// Guards against placing a long prompt, which delays running streams, at a busy
// engine while another one has no streams.
TEST_CASE("a long prompt avoids an engine whose running streams it would delay")
{
    for (const auto pause_target : {milliseconds(0), milliseconds(400)})
    {
        CAPTURE(pause_target.count());
        test_fleet setup(
            {engine("a", "east"), engine("b", "east")}, pause_target);
        setup.view.loads["a"] = {12, 0};
        setup.view.loads["b"] = {0, 18'000};
        CHECK(
            choose_upstream(setup, call(30'000)) ==
            (pause_target.count() ? "b" : "a"));
        // A short prompt delays streams too little to matter.
        test_fleet other(
            {engine("a", "east"), engine("b", "east")}, pause_target);
        other.view.loads = setup.view.loads;
        CHECK(choose_upstream(other, call(1000)) == "a");
    }
}

// Guards against a region that keeps all its calls until first events are late
// while the engines of another region are idle.
TEST_CASE("regions share their backlog by shared prefix")
{
    test_fleet setup(
        {engine("a", "east"), engine("w", "west")}, milliseconds(400));
    setup.view.loads["a"] = {4, 12'000};
    std::map<std::string, int> first;
    const auto place_and_finish =
        [&](const routing::placement_request& request) {
            const auto out = setup.router.choose(setup.view, request, start);
            REQUIRE(out.chosen);
            setup.router.finish_call(
                out.chosen->ticket, placement_outcome::completed, start);
            return out.chosen->upstream;
        };
    for (std::uint64_t prefix = 10; prefix < 110; ++prefix)
    {
        const auto where = place_and_finish(call(6000, prefix));
        ++first[where];
        // The same prefix goes to the same region again.
        CHECK(place_and_finish(call(6000, prefix)) == where);
    }
    CHECK(first["a"] > 20);
    CHECK(first["w"] > 20);
    setup.view.loads["a"] = {4, 0};
    for (std::uint64_t prefix = 10; prefix < 110; ++prefix)
    {
        CHECK(place_and_finish(call(6000, prefix)) == "a");
    }
}
