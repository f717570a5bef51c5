// Guards against callers that are directed to stopping VMs, or to another
// region although their own has ready VMs.

#include <LibFleet/entry_directory.hpp>

#include <doctest.h>

using namespace hyssoploft;
using membership::vm_state;

namespace {

membership::vm_record
vm(const char* id, const char* region, vm_state state, bool ready)
{
    membership::vm_record out;
    out.id = id;
    out.region = region;
    out.http_address = id;
    out.relay_address = id;
    out.entry = true;
    out.state = state;
    out.ready = ready;
    return out;
}

membership::fleet_view
fleet_of(std::initializer_list<membership::vm_record> vms)
{
    membership::fleet_view out;
    for (const auto& it : vms)
    {
        out.vms[it.id] = it;
    }
    return out;
}

using addresses = std::vector<std::string>;

} // namespace

TEST_CASE(
    "callers get ready VMs of their region, or of all regions if it has none")
{
    const auto fleet = fleet_of(
        {vm("a", "east", vm_state::alive, true),
         vm("b", "east", vm_state::leaving, false),
         vm("c", "west", vm_state::alive, true),
         vm("d", "west", vm_state::dead, true)});
    CHECK(fleet::entry_addresses_for(fleet, "east", 64) == addresses{"a"});
    CHECK(fleet::entry_addresses_for(fleet, "west", 64) == addresses{"c"});
    CHECK(
        fleet::entry_addresses_for(fleet, "north", 64) == addresses{"a", "c"});
    CHECK(fleet::entry_addresses_for(fleet, "north", 1).size() == 1);
}

TEST_CASE("a region whose last ready VM is leaving can still be reached")
{
    const auto fleet = fleet_of(
        {vm("a", "east", vm_state::leaving, false),
         vm("b", "east", vm_state::dead, false)});
    const auto found = fleet::relay_vms_of(fleet, "east");
    REQUIRE(found.size() == 1);
    CHECK(found[0]->id == "a");
    CHECK(fleet::relay_vms_of(fleet, "west").empty());
}
