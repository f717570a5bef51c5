// Guards against live VMs and upstreams that vanish from the view because one
// control VM is partitioned or has just started.

#include <LibFleet/view_merger.hpp>

#include <doctest.h>

using namespace hyssoploft;
using fleet::view_merger;
using membership::upstream_state;
using membership::vm_state;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(100)};

fleet::upstream_row upstream(
    const char* id, std::uint64_t sequence,
    upstream_state state = upstream_state::serving, bool silent = false)
{
    fleet::upstream_row out;
    out.id = id;
    out.incarnation = 1;
    out.sequence = sequence;
    out.state = static_cast<std::uint8_t>(state);
    out.silent = silent;
    return out;
}

fleet::vm_row vm(const char* id, vm_state state)
{
    fleet::vm_row out;
    out.id = id;
    out.state = static_cast<std::uint8_t>(state);
    return out;
}

fleet::sync_reply answer(std::vector<fleet::upstream_row> upstreams)
{
    fleet::sync_reply out;
    out.epoch = 7;
    out.cursor = 1;
    out.is_snapshot = true;
    out.settled = true;
    out.upstreams = std::move(upstreams);
    return out;
}

membership::fleet_view build_view(view_merger& merger, core::time_point now)
{
    membership::fleet_view out;
    merger.build(out, now);
    return out;
}

} // namespace

TEST_CASE("a VM is dead only if no control VM lists it as alive")
{
    view_merger merger;
    auto one = answer({});
    one.vms = {vm("a", vm_state::dead), vm("b", vm_state::dead)};
    auto two = answer({});
    two.vms = {vm("a", vm_state::alive), vm("b", vm_state::dead)};
    merger.apply("c1", one, start);
    merger.apply("c2", two, start);
    const auto view = build_view(merger, start);
    CHECK(view.vms.at("a").state == vm_state::alive);
    CHECK(view.vms.at("b").state == vm_state::dead);
}

TEST_CASE("an upstream is silent only if all control VMs list it as silent")
{
    view_merger merger;
    merger.apply(
        "c1", answer({upstream("u", 3, upstream_state::serving, true)}), start);
    CHECK(build_view(merger, start).upstreams.at("u").silent);
    merger.apply("c2", answer({upstream("u", 2)}), start);
    CHECK_FALSE(build_view(merger, start).upstreams.at("u").silent);
}

TEST_CASE("a leave known to one control VM is applied")
{
    view_merger merger;
    merger.apply("c1", answer({upstream("u", 9)}), start);
    merger.apply(
        "c2", answer({upstream("u", 4, upstream_state::leaving)}), start);
    CHECK(
        build_view(merger, start).upstreams.at("u").state ==
        upstream_state::leaving);
}

TEST_CASE("control VMs that just started remove no rows")
{
    view_merger merger;
    merger.apply("c1", answer({upstream("u", 1)}), start);
    CHECK(build_view(merger, start).upstreams.contains("u"));
    auto unsettled = answer({});
    unsettled.settled = false;
    merger.apply("c1", unsettled, start + seconds(1));
    CHECK(build_view(merger, start + seconds(1)).upstreams.contains("u"));
    // Once it is settled, rows that it does not list are gone.
    merger.apply("c1", answer({}), start + seconds(5));
    CHECK_FALSE(build_view(merger, start + seconds(5)).upstreams.contains("u"));
}

TEST_CASE("without any control VM the last view is kept")
{
    view_merger merger;
    merger.apply("c1", answer({upstream("u", 1)}), start);
    CHECK(build_view(merger, start).upstreams.contains("u"));
    const auto later = start + view_merger::source_lifetime + seconds(20);
    CHECK(build_view(merger, later).upstreams.contains("u"));
    CHECK(merger.fresh_source_count(later) == 0);
}

// Guards against rows of a control VM with values that no enumeration has.
TEST_CASE("rows with a state out of range are left out of the view")
{
    for (const int state : {4, 7, 127, 255})
    {
        CAPTURE(state);
        view_merger merger;
        auto reply = answer(
            {upstream("sound", 1),
             upstream("odd", 1, static_cast<upstream_state>(state))});
        reply.vms = {
            vm("sound", vm_state::alive),
            vm("odd", static_cast<vm_state>(state))};
        merger.apply("c", reply, start);
        // A row that turns odd leaves the earlier one in place.
        auto later =
            answer({upstream("sound", 2, static_cast<upstream_state>(state))});
        later.is_snapshot = false;
        later.vms = {vm("sound", static_cast<vm_state>(state))};
        merger.apply("c", later, start);
        const auto view = build_view(merger, start);
        CHECK(view.upstreams.size() == 1);
        CHECK(view.vms.size() == 1);
        REQUIRE(view.upstreams.contains("sound"));
        CHECK(view.upstreams.at("sound").state == upstream_state::serving);
        REQUIRE(view.vms.contains("sound"));
        CHECK(view.vms.at("sound").state == vm_state::alive);
    }
}
