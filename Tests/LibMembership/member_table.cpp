// Guards against outdated updates that replace newer ones, a VM that doesn't
// refute false states, and tables that depend on the order of updates.

#include <LibMembership/member_table.hpp>

#include <LibCore/text.hpp>

#include <doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace hyssoploft;
using namespace std::chrono_literals;
using membership::vm_state;

namespace {

const core::time_point start{1h};

membership::vm_record self_record()
{
    membership::vm_record it;
    it.id = "self";
    it.region = "r";
    it.peer_address = "10.0.0.1:1";
    it.incarnation = 5;
    return it;
}

membership::member_update update(
    const std::string& id, std::uint64_t incarnation, vm_state state,
    bool full = true)
{
    membership::member_update it;
    it.id = id;
    it.incarnation = incarnation;
    it.state = state;
    if (full)
    {
        it.region = "r";
        it.peer_address = "10.0.0.2:1";
    }
    return it;
}

} // namespace

TEST_CASE("the higher incarnation wins, then the state of higher precedence")
{
    struct row
    {
        vm_state known;
        std::uint64_t incarnation;
        vm_state received;
        bool full;
        bool wins;
    };
    const row rows[] = {
        {vm_state::alive, 4, vm_state::dead, true, false},
        {vm_state::alive, 5, vm_state::alive, true, false},
        {vm_state::alive, 5, vm_state::suspect, false, true},
        {vm_state::alive, 5, vm_state::dead, false, true},
        {vm_state::alive, 6, vm_state::alive, true, true},
        {vm_state::alive, 6, vm_state::alive, false, false},
        {vm_state::suspect, 5, vm_state::alive, true, false},
        {vm_state::suspect, 6, vm_state::alive, true, true},
        {vm_state::suspect, 5, vm_state::leaving, false, true},
        {vm_state::leaving, 5, vm_state::suspect, false, false},
        {vm_state::leaving, 5, vm_state::dead, false, true},
        {vm_state::dead, 5, vm_state::alive, true, false},
        {vm_state::dead, 5, vm_state::leaving, true, false},
        {vm_state::dead, 6, vm_state::alive, true, true},
    };
    for (const auto& it : rows)
    {
        CAPTURE(core::name_of(membership::vm_state_names, it.known));
        CAPTURE(core::name_of(membership::vm_state_names, it.received));
        CAPTURE(it.incarnation);
        membership::member_table table(self_record(), 3s);
        table.apply(update("x", 5, vm_state::alive), start);
        table.apply(update("x", 5, it.known), start);
        CHECK_EQ(
            table.apply(
                update("x", it.incarnation, it.received, it.full), start),
            it.wins);
        CHECK(
            table.find("x")->record.state ==
            (it.wins ? it.received : it.known));
    }
}

TEST_CASE("a false state of this VM is refuted by a higher incarnation")
{
    struct row
    {
        std::uint64_t incarnation;
        vm_state state;
        std::uint64_t expected;
    };
    const row rows[] = {
        {4, vm_state::dead, 5},          {5, vm_state::alive, 5},
        {5, vm_state::suspect, 6},       {5, vm_state::dead, 6},
        {5, vm_state::leaving, 6},       {9, vm_state::alive, 10},
        {UINT64_MAX, vm_state::dead, 5},
    };
    for (const auto& it : rows)
    {
        membership::member_table table(self_record(), 3s);
        table.apply(update("self", it.incarnation, it.state), start);
        CHECK_EQ(table.self().incarnation, it.expected);
        CHECK(table.self().state == vm_state::alive);
    }
}

TEST_CASE("tombstones block outdated updates, expire, and are evicted if full")
{
    membership::member_table table(self_record(), 3s);
    table.apply(update("x", 5, vm_state::alive), start);
    table.apply(update("x", 5, vm_state::dead, false), start);
    CHECK_EQ(table.live_count(), 0);
    CHECK_FALSE(table.apply(update("x", 5, vm_state::alive), start + 1h));
    table.drop_tombstones(start + 1h);
    CHECK(table.find("x") != nullptr);
    table.drop_tombstones(start + 3h);
    CHECK(table.find("x") == nullptr);

    for (std::size_t n = 0; n < membership::member_table::max_members; ++n)
    {
        table.apply(update(core::concat("m", n), 1, vm_state::alive), start);
    }
    CHECK_FALSE(table.apply(update("new", 1, vm_state::alive), start));
    table.apply(update("m7", 1, vm_state::dead, false), start);
    CHECK(table.apply(update("new", 1, vm_state::alive), start));
    CHECK_EQ(table.members().size(), membership::member_table::max_members);
    CHECK(table.find("m7") == nullptr);
}

TEST_CASE("the order and repetition of updates make no difference")
{
    CHECK(rc::check("merge", [](std::vector<std::uint8_t> codes) {
        std::vector<membership::member_update> updates;
        for (const auto code : codes)
        {
            updates.push_back(update(
                core::concat("m", code % 3), 1 + code / 3 % 4,
                static_cast<vm_state>(code / 12 % 4)));
        }
        const auto run = [&](const auto& list) {
            membership::member_table table(self_record(), 3s);
            for (const auto* id : {"m0", "m1", "m2"})
            {
                table.apply(update(id, 0, vm_state::alive), start);
            }
            for (const auto& it : list)
            {
                table.apply(it, start);
            }
            return table.digests();
        };
        auto other = updates;
        std::reverse(other.begin(), other.end());
        other.insert(other.end(), updates.begin(), updates.end());
        RC_ASSERT(run(updates) == run(other));
    }));
}
