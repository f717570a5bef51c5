// Guards against callers that are directed to stopping VMs, or to another
// region although their own has ready VMs.

#include <LibFleet/entry_directory.hpp>

#include <doctest.h>

#include <map>
#include <string>

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

// Guards against calls to another region that find no open connection because
// each goes to another VM there.
TEST_CASE("each VM keeps to a few VMs of another region, and they share")
{
    membership::fleet_view fleet;
    for (int n = 0; n < 40; ++n)
    {
        auto it = vm(std::to_string(n).c_str(), "east", vm_state::alive, true);
        fleet.vms[it.id] = it;
    }
    std::map<std::string, int> chosen;
    for (int n = 0; n < 100; ++n)
    {
        fleet.self = "west-" + std::to_string(n);
        const auto found = fleet::preferred_relay_vms(fleet, "east", 3);
        REQUIRE_EQ(found.size(), 3);
        CHECK_EQ(fleet::preferred_relay_vms(fleet, "east", 3), found);
        for (const auto* it : found)
        {
            ++chosen[it->id];
        }
    }
    // 7.5 each on average.
    CHECK_EQ(chosen.size(), 40);
    for (const auto& it : chosen)
    {
        CAPTURE(it.first);
        CHECK(it.second <= 20);
    }
    CHECK_EQ(fleet::preferred_relay_vms(fleet, "east", 99).size(), 40);
    CHECK(fleet::preferred_relay_vms(fleet, "north", 3).empty());
}
