// Guards against forwarding loops and forwarding to unusable VMs.

#include "fleet_builder.hpp"

#include <LibRouting/forwarding.hpp>

#include <Support/seeded_property.hpp>

#include <doctest.h>

#include <functional>

using namespace hyssoploft;
using namespace hyssoploft::routing;
using namespace hyssoploft::tests;

TEST_CASE("each forwarding result has its reason")
{
    using membership::vm_state;
    struct row
    {
        const char* name;
        std::function<void(membership::fleet_view&, forwarding_request&)> apply;
        std::string vm;
        forwarding_reason want;
    };
    const row rows[] = {
        {"a live VM",
         [](auto& f, auto&) {
             f.vms.erase("vm-b-1");
         },
         "vm-b-0", forwarding_reason::same_region},
        {"the upstream's data centre is preferred",
         [](auto&, auto& r) {
             r.data_center = "b1";
         },
         "vm-b-1", forwarding_reason::same_data_center},
        {"another data centre when the preferred one is overloaded",
         [](auto& f, auto& r) {
             r.data_center = "b1";
             f.vms["vm-b-1"].overloaded = true;
         },
         "vm-b-0", forwarding_reason::same_region},
        {"hop limit",
         [](auto&, auto& r) {
             r.hop_count = 2;
         },
         "", forwarding_reason::hop_limit_reached},
        {"own region",
         [](auto&, auto& r) {
             r.region = "a";
         },
         "", forwarding_reason::own_region},
        {"no VM in the region",
         [](auto&, auto& r) {
             r.region = "z";
         },
         "", forwarding_reason::no_vm},
        {"dead, suspect and leaving VMs",
         [](auto& f, auto&) {
             f.vms["vm-b-0"].state = vm_state::dead;
             f.vms["vm-b-1"].state = vm_state::leaving;
         },
         "", forwarding_reason::no_vm},
        {"suspect VMs",
         [](auto& f, auto&) {
             f.vms["vm-b-0"].state = vm_state::suspect;
             f.vms["vm-b-1"].state = vm_state::suspect;
         },
         "", forwarding_reason::no_vm},
        {"visited VMs",
         [](auto&, auto& r) {
             r.visited = {"vm-b-0", "vm-b-1"};
         },
         "", forwarding_reason::all_visited},
        {"overloaded VMs",
         [](auto& f, auto& r) {
             r.visited = {"vm-b-0"};
             f.vms["vm-b-1"].overloaded = true;
         },
         "", forwarding_reason::all_overloaded}};
    for (const row& it : rows)
    {
        CAPTURE(it.name);
        fleet_builder fleet;
        fleet.vms("a", 2).vms("b", 2);
        forwarding_request request;
        request.region = "b";
        request.visited = {"vm-a-0"};
        it.apply(fleet.view(), request);
        core::seeded_random random(1);
        const forwarding_result got =
            choose_forwarding_vm(fleet.view(), request, random);
        CHECK_EQ(got.vm, it.vm);
        CHECK_EQ(got.reason, it.want);
    }
}

TEST_CASE("the visited list and the hop limit stop every loop")
{
    // Every VM tries to forward each call to a random region.
    CHECK(tests::holds(41, 300, [] {
        core::seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
        std::string at = "vm-a-0";
        std::uint32_t hops = 1;
        std::set<std::string> visited;
        int passed = 1;
        while (may_accept_forwarded_call(at, hops, visited))
        {
            RC_ASSERT(passed <= 2);
            visited.insert(at);
            fleet_builder fleet(at);
            fleet.vms("a", 2).vms("b", 2).vms("c", 1);
            const forwarding_request request{
                *rc::gen::element<std::string>("a", "b", "c"), "", hops,
                visited};
            const auto got =
                choose_forwarding_vm(fleet.view(), request, random);
            if (got.vm.empty())
            {
                break;
            }
            RC_ASSERT(!visited.contains(got.vm));
            at = got.vm;
            ++hops;
            ++passed;
        }
        RC_ASSERT(visited.size() <= 2U);
    }));
}

TEST_CASE(
    "a receiver rejects a call that visited it before or exceeds the hop limit")
{
    CHECK(may_accept_forwarded_call("vm-b-0", 2, {"vm-a-0"}));
    CHECK_FALSE(may_accept_forwarded_call("vm-b-0", 2, {"vm-a-0", "vm-b-0"}));
    CHECK_FALSE(may_accept_forwarded_call("vm-b-0", 3, {"vm-a-0", "vm-c-0"}));
}
