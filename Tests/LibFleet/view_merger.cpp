// Guards against a control VM that is cut off, or that has just started, and
// makes others believe that VMs and upstreams are gone.

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

fleet::sync_answer answer(std::vector<fleet::upstream_row> upstreams)
{
    fleet::sync_answer out;
    out.epoch = 7;
    out.cursor = 1;
    out.whole = true;
    out.settled = true;
    out.upstreams = std::move(upstreams);
    return out;
}

membership::fleet_view built(view_merger& merger, core::time_point now)
{
    membership::fleet_view out;
    merger.build(out, now);
    return out;
}

} // namespace

TEST_CASE("a VM is dead only if no control VM hears it")
{
    view_merger merger;
    auto one = answer({});
    one.vms = {vm("a", vm_state::dead), vm("b", vm_state::dead)};
    auto two = answer({});
    two.vms = {vm("a", vm_state::alive), vm("b", vm_state::dead)};
    merger.apply("c1", one, start);
    merger.apply("c2", two, start);
    const auto view = built(merger, start);
    CHECK(view.vms.at("a").state == vm_state::alive);
    CHECK(view.vms.at("b").state == vm_state::dead);
}

TEST_CASE("an upstream is silent only if no control VM hears it")
{
    view_merger merger;
    merger.apply(
        "c1", answer({upstream("u", 3, upstream_state::serving, true)}), start);
    CHECK(built(merger, start).upstreams.at("u").silent);
    merger.apply("c2", answer({upstream("u", 2)}), start);
    CHECK_FALSE(built(merger, start).upstreams.at("u").silent);
}

TEST_CASE("a leave that one control VM knows counts")
{
    view_merger merger;
    merger.apply("c1", answer({upstream("u", 9)}), start);
    merger.apply(
        "c2", answer({upstream("u", 4, upstream_state::leaving)}), start);
    CHECK(
        built(merger, start).upstreams.at("u").state ==
        upstream_state::leaving);
}

TEST_CASE("control VMs that just started take nothing away")
{
    view_merger merger;
    merger.apply("c1", answer({upstream("u", 1)}), start);
    CHECK(built(merger, start).upstreams.contains("u"));
    auto fresh = answer({});
    fresh.settled = false;
    merger.apply("c1", fresh, start + seconds(1));
    CHECK(built(merger, start + seconds(1)).upstreams.contains("u"));
    // Once it has run for some time, what it does not list is gone.
    merger.apply("c1", answer({}), start + seconds(5));
    CHECK_FALSE(built(merger, start + seconds(5)).upstreams.contains("u"));
}

TEST_CASE("without any control VM the last view stays")
{
    view_merger merger;
    merger.apply("c1", answer({upstream("u", 1)}), start);
    CHECK(built(merger, start).upstreams.contains("u"));
    const auto later = start + view_merger::source_life + seconds(20);
    CHECK(built(merger, later).upstreams.contains("u"));
    CHECK(merger.fresh_sources(later) == 0);
}
