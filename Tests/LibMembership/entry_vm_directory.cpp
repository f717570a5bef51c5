// Guards against directing callers to VMs that can't serve them, and against
// directing all callers to the same VM.

#include <LibMembership/entry_vm_directory.hpp>

#include <LibCore/text.hpp>

#include <doctest.h>

#include <map>

using namespace hyssoploft;
using membership::vm_state;

namespace {

membership::fleet_view view_of(std::size_t vms)
{
    membership::fleet_view view;
    view.self = "vm0";
    for (std::size_t n = 0; n < vms; ++n)
    {
        membership::vm_record it;
        it.id = core::concat("vm", n);
        it.region = core::concat("r", n % 3);
        it.data_center = core::concat("r", n % 3, "-", n / 3 % 2);
        it.http_address = core::concat("10.0.0.", n, ":80");
        view.vms.emplace(it.id, it);
    }
    return view;
}

} // namespace

TEST_CASE("VMs are ordered by distance from the caller")
{
    const auto list =
        membership::find_entry_vms(view_of(12), {"r1", "r1-0", "caller"});
    REQUIRE_EQ(list.vms.size(), 12);
    CHECK(list.lifetime > core::duration{});
    for (std::size_t n = 0; n < list.vms.size(); ++n)
    {
        CAPTURE(n);
        CHECK_EQ(list.vms[n].data_center == "r1-0", n < 2);
        CHECK_EQ(list.vms[n].region == "r1", n < 4);
    }
}

TEST_CASE("VMs that can't serve are not listed")
{
    struct row
    {
        const char* what;
        void (*apply)(membership::fleet_view&);
        bool listed;
    };
    const row rows[] = {
        {"alive", [](auto&) {}, true},
        {"suspect",
         [](auto& v) {
             v.vms["vm0"].state = vm_state::suspect;
         },
         false},
        {"dead",
         [](auto& v) {
             v.vms["vm0"].state = vm_state::dead;
         },
         false},
        {"leaving",
         [](auto& v) {
             v.vms["vm0"].state = vm_state::leaving;
         },
         false},
        {"overloaded",
         [](auto& v) {
             v.vms["vm0"].overloaded = true;
         },
         false},
        {"isolated",
         [](auto& v) {
             v.vms["vm0"].isolated = true;
         },
         false},
        {"this VM isolated",
         [](auto& v) {
             v.isolated = true;
         },
         false},
    };
    for (const auto& it : rows)
    {
        CAPTURE(it.what);
        auto view = view_of(1);
        it.apply(view);
        const auto list = membership::find_entry_vms(view, {"r0", "r0-0", "c"});
        CHECK_EQ(!list.vms.empty(), it.listed);
    }
}

TEST_CASE("callers spread evenly over equal VMs, and each keeps its VM")
{
    auto view = view_of(30);
    std::map<std::string, int> first;
    for (int n = 0; n < 5000; ++n)
    {
        const membership::directory_query query{
            "r0", "r0-0", core::concat("caller", n), 3};
        const auto list = membership::find_entry_vms(view, query);
        REQUIRE_EQ(list.vms.size(), 3);
        ++first[list.vms[0].id];
        if (list.vms[0].id != "vm0")
        {
            auto less = view;
            less.vms.erase("vm0");
            CHECK_EQ(
                membership::find_entry_vms(less, query).vms[0].id,
                list.vms[0].id);
        }
    }
    CHECK_EQ(first.size(), 5);
    for (const auto& [id, count] : first)
    {
        CHECK(count > 800);
        CHECK(count < 1200);
    }
}
