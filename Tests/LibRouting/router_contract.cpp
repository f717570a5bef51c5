// Tests the conditions that every router must keep: residency rules, leaving
// and expired upstreams, exclusions, and forwarded calls.

#include "fleet_builder.hpp"

#include <LibRouting/expected_time_router.hpp>
#include <LibRouting/least_in_flight_router.hpp>
#include <LibRouting/round_robin_router.hpp>

#include <Support/seeded_property.hpp>

#include <doctest.h>

#include <functional>
#include <map>

using namespace hyssoploft;
using namespace hyssoploft::routing;
using namespace hyssoploft::tests;

namespace {

struct router_kind
{
    const char* name;
    std::function<std::unique_ptr<router>(core::random_source&)> make;
};

const router_kind router_kinds[] = {
    {"expected_time",
     [](core::random_source& random) {
         return std::make_unique<expected_time_router>(
             expected_time_settings(), random);
     }},
    {"least_in_flight",
     [](core::random_source&) {
         return std::make_unique<least_in_flight_router>();
     }},
    {"round_robin",
     [](core::random_source&) {
         return std::make_unique<round_robin_router>();
     }},
};

using name_set = std::set<std::string>;
using scenario_change = std::function<void(fleet_builder&, routing_request&)>;

struct refusal_case
{
    const char* name;
    scenario_change apply;
    no_route_reason want;
};

void for_each_upstream(
    fleet_builder& fleet,
    const std::function<void(membership::upstream_record&)>& apply)
{
    for (auto& [id, it] : fleet.view().upstreams)
    {
        apply(it);
    }
}

const refusal_case refusals[] = {
    {"no upstream serves the model",
     [](fleet_builder&, routing_request& r) {
         r.model = "other";
     },
     no_route_reason::no_upstream},
    {"no upstream has the role",
     [](fleet_builder&, routing_request& r) {
         r.role = "booking";
     },
     no_route_reason::no_upstream},
    {"no upstream has the adapter",
     [](fleet_builder&, routing_request& r) {
         r.adapter = "resin";
     },
     no_route_reason::no_upstream},
    {"all are leaving",
     [](fleet_builder& f, routing_request&) {
         for_each_upstream(f, [](auto& it) {
             it.state = membership::upstream_state::leaving;
         });
     },
     no_route_reason::no_upstream},
    {"all have expired",
     [](fleet_builder& f, routing_request&) {
         for_each_upstream(f, [](auto& it) {
             it.state = membership::upstream_state::expired;
         });
     },
     no_route_reason::no_upstream},
    {"residency names a region without upstreams",
     [](fleet_builder&, routing_request& r) {
         r.allowed_regions = {"z"};
     },
     no_route_reason::residency_forbids},
    {"forwarded to a region that residency forbids",
     [](fleet_builder&, routing_request& r) {
         r.allowed_regions = {"b"};
         r.local_only = true;
     },
     no_route_reason::residency_forbids},
    {"all were tried",
     [](fleet_builder& f, routing_request& r) {
         for_each_upstream(f, [&](auto& it) {
             r.excluded.insert(it.id);
         });
     },
     no_route_reason::all_ejected_or_full},
};

} // namespace

TEST_CASE("a call without an eligible upstream is refused with the reason")
{
    for (const router_kind& kind : router_kinds)
    {
        for (const refusal_case& it : refusals)
        {
            CAPTURE(kind.name);
            CAPTURE(it.name);
            core::seeded_random random(1);
            const auto router = kind.make(random);
            fleet_builder fleet;
            fleet.vms("a", 2).vms("b", 1).upstreams("a", 2).upstreams("b", 2);
            routing_request request = quote();
            it.apply(fleet, request);
            fleet.install(*router, start);
            const routing_result got = router->choose(request, start);
            CHECK_FALSE(got.chosen);
            CHECK_EQ(got.refusal, it.want);
        }
    }
}

TEST_CASE("a router without a view refuses")
{
    for (const router_kind& kind : router_kinds)
    {
        core::seeded_random random(1);
        CHECK_FALSE(kind.make(random)->choose(quote(), start).chosen);
    }
}

TEST_CASE(
    "every router respects residency, upstream state, exclusions and locality")
{
    for (const router_kind& kind : router_kinds)
    {
        CAPTURE(kind.name);
        CHECK(tests::holds(31, 60, [&] {
            core::seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
            const auto router = kind.make(random);
            fleet_builder fleet;
            fleet.vms("a", 2).vms("b", 2).vms("c", 1);
            fleet.upstreams("a", 4).upstreams("b", 3).upstreams("c", 2);
            core::time_point now = start;
            fleet.install(*router, now);
            std::map<std::string, routing_request> running;
            for (int i = 0; i < 120; ++i)
            {
                now += *rc::gen::inRange(0, 2000) * 1ms;
                if (*rc::gen::inRange(0, 4) == 0)
                {
                    for_each_upstream(fleet, [&](auto& it) {
                        it.state = *rc::gen::element(
                            membership::upstream_state::serving,
                            membership::upstream_state::serving,
                            membership::upstream_state::leaving,
                            membership::upstream_state::expired);
                        it.incarnation += *rc::gen::inRange(0, 2);
                    });
                    fleet.install(*router, now);
                }
                routing_request r = quote();
                r.allowed_regions = *rc::gen::element(
                    name_set{}, name_set{"a"}, name_set{"b"},
                    name_set{"a", "c"});
                r.excluded = *rc::gen::element(
                    name_set{}, name_set{"up-a-0"},
                    name_set{"up-a-1", "up-b-0"});
                r.local_only = *rc::gen::inRange(0, 3) == 0;
                r.remote_price_seconds = *rc::gen::element(0.0, 0.25, 5.0);
                const routing_result got = router->choose(r, now);
                if (!got.chosen)
                {
                    continue;
                }
                const auto& it = fleet.upstream(got.decision.upstream);
                RC_ASSERT(it.state == membership::upstream_state::serving);
                RC_ASSERT(it.region == got.decision.region);
                RC_ASSERT(
                    r.allowed_regions.empty() ||
                    r.allowed_regions.contains(it.region));
                RC_ASSERT(!r.excluded.contains(it.id));
                RC_ASSERT(!r.local_only || it.region == "a");
                const int end = *rc::gen::inRange(0, 4);
                if (end == 0)
                {
                    router->record_result(it.id, r, failed(), now + 1ms);
                }
                else if (end < 3)
                {
                    router->record_result(it.id, r, answered(), now + 1s);
                }
            }
        }));
    }
}
