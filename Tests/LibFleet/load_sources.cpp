// Guards against an exchange of state whose traffic between regions grows with
// VMs times control VMs times upstreams, and against VMs without loads.

#include <LibFleet/load_sources.hpp>
#include <LibFleet/view_merger.hpp>

#include <doctest.h>

#include <string>

using namespace hyssoploft;
using membership::vm_state;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(100)};

membership::fleet_view fleet_of_five_control_vms()
{
    membership::fleet_view out;
    const auto add = [&](const char* id, const char* region) {
        auto& it = out.vms[id];
        it.id = id;
        it.region = region;
        it.control = true;
    };
    add("e1", "east");
    add("e2", "east");
    add("w1", "west");
    add("w2", "west");
    add("s1", "south");
    return out;
}

std::string sources_of(const membership::fleet_view& fleet, const char* region)
{
    std::string out;
    for (const auto& [id, it] : fleet.vms)
    {
        out += fleet::sends_loads_to(fleet, id, region) ? id + " " : "";
    }
    return out;
}

fleet::sync_reply reply(std::vector<fleet::load_row> loads)
{
    fleet::sync_reply out;
    out.loads = std::move(loads);
    return out;
}

} // namespace

TEST_CASE("loads come from control VMs of the region while one is alive")
{
    auto fleet = fleet_of_five_control_vms();
    CHECK(sources_of(fleet, "east") == "e1 e2 ");
    CHECK(sources_of(fleet, "south") == "s1 ");
    fleet.vms["e1"].state = vm_state::dead;
    CHECK(sources_of(fleet, "east") == "e2 ");
    fleet.vms["e2"].state = vm_state::leaving;
    CHECK(sources_of(fleet, "east") == "e1 e2 s1 w1 w2 ");
    // A control VM that does not know itself yet has just started.
    CHECK(fleet::sends_loads_to({}, "e1", "west"));
}

TEST_CASE("replies without loads keep those of another control VM")
{
    fleet::view_merger it;
    it.apply("e1", reply({{"engine", 3, 100}}), start);
    it.apply("w1", reply({}), start + milliseconds(10));
    REQUIRE(it.loads(start + milliseconds(20)).size() == 1);
    CHECK(it.loads(start + milliseconds(20))[0].running == 3);
    CHECK(it.loads_received_at() == start);
    // The engine is idle.
    it.apply("e1", reply({}), start + milliseconds(400));
    CHECK(it.loads(start + milliseconds(400)).empty());
    it.apply("e1", reply({{"engine", 3, 100}}), start + seconds(1));
    CHECK(it.loads(start + seconds(5)).empty());
}
