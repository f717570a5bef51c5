// Guards against a second cluster bootstrapped by a VM that lost its disk, and
// against replica replacements that lose the quorum or never end.

#include <LibControl/replica_roster.hpp>

#include <doctest.h>

#include <chrono>
#include <set>

namespace hyssoploft::tests {

namespace {

using namespace std::chrono_literals;
using consensus::membership_change_kind;
using control::replica_hello;
using control::replica_roster;

core::time_point at(core::duration d)
{
    return core::time_point(d);
}

const std::vector<std::string> initial{"v1", "v2", "v3"};

replica_hello hello(const std::string& vm, std::uint64_t id)
{
    return {vm, id, false, initial};
}

using recorded_replicas = std::map<consensus::replica_id, std::string>;

bool none_caught_up(consensus::replica_id)
{
    return false;
}

bool all_caught_up(consensus::replica_id)
{
    return true;
}

} // namespace

TEST_CASE(
    "a cluster is bootstrapped only by VMs that agree and have no history")
{
    struct fault
    {
        const char* name;
        std::vector<replica_hello> hellos;
        core::duration age;
        bool bootstraps;
    };
    auto with_history = hello("v2", 2);
    with_history.has_history = true;
    auto other_set = hello("v2", 2);
    other_set.initial_voters = {"v1", "v2"};
    auto unsorted = hello("v2", 2);
    unsorted.initial_voters = {"v3", "v1", "v2"};
    const std::vector<fault> table{
        {"hellos of all", {hello("v2", 2), hello("v3", 3)}, 1s, true},
        {"one is missing", {hello("v2", 2)}, 1s, false},
        {"one hello is too old", {hello("v2", 2), hello("v3", 3)}, 6s, false},
        {"one has history: this VM lost its disk",
         {with_history, hello("v3", 3)},
         1s,
         false},
        {"one declares another set", {other_set, hello("v3", 3)}, 1s, false},
        {"one has no identity", {hello("v2", 0), hello("v3", 3)}, 1s, false},
        {"an undeclared VM instead of v3",
         {hello("v2", 2), hello("v4", 4)},
         1s,
         false},
        {"a hello in the name of this VM",
         {hello("v1", 2), hello("v3", 3)},
         1s,
         false},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        replica_roster roster(hello("v1", 1), at(0s));
        for (const auto& received : it.hellos)
        {
            roster.on_hello(received, at(0s));
        }
        const auto voters = roster.bootstrap_voters(at(it.age));
        CHECK(voters.has_value() == it.bootstraps);
        if (voters)
        {
            CHECK(*voters == std::vector<consensus::replica_id>{1, 2, 3});
        }
    }
}

TEST_CASE("the order of the initial voters does not matter")
{
    auto self = hello("v1", 1);
    self.initial_voters = {"v3", "v2", "v1"};
    replica_roster roster(self, at(0s));
    auto second = hello("v2", 2);
    // Hello messages carry the sorted list of the sender's roster.
    second.initial_voters =
        replica_roster({"v2", 2, false, {"v2", "v3", "v1"}}, at(0s))
            .self()
            .initial_voters;
    roster.on_hello(second, at(0s));
    roster.on_hello(hello("v3", 3), at(0s));
    CHECK(roster.bootstrap_voters(at(1s)).has_value());
}

TEST_CASE("a VM with history or outside the set bootstraps no cluster")
{
    replica_roster roster(hello("v1", 1), at(0s));
    roster.on_hello(hello("v2", 2), at(0s));
    roster.on_hello(hello("v3", 3), at(0s));
    roster.set_has_history(true);
    CHECK_FALSE(roster.bootstrap_voters(at(0s)));

    replica_roster outside(hello("v4", 4), at(0s));
    for (std::uint64_t n = 1; n <= 3; ++n)
    {
        outside.on_hello(hello("v" + std::to_string(n), n), at(0s));
    }
    CHECK_FALSE(outside.bootstrap_voters(at(0s)));
}

TEST_CASE(
    "a replacement is added as a learner, promoted, then the old is removed")
{
    // v3 lost its disk: replica 13 now runs there instead of replica 3.
    replica_roster roster(hello("v1", 1), at(0s));
    roster.on_hello(hello("v2", 2), at(0s));
    roster.on_hello(hello("v3", 13), at(0s));
    recorded_replicas recorded{{1, "v1"}, {2, "v2"}, {3, "v3"}};
    consensus::membership members{{1, 2, 3}, {}};

    // The replica is recorded first, so that a later leader knows which one
    // it replaces.
    CHECK_FALSE(roster.next_change(members, recorded, all_caught_up, at(1s)));
    const auto missing = roster.unrecorded(recorded, at(1s));
    REQUIRE(missing.size() == 1);
    CHECK(missing[0].replica == 13);
    recorded[13] = "v3";

    auto change = roster.next_change(members, recorded, none_caught_up, at(1s));
    REQUIRE(change);
    CHECK(change->kind == membership_change_kind::add_learner);
    CHECK(change->replica == 13);
    members = members.with(*change).value();

    CHECK_FALSE(roster.next_change(members, recorded, none_caught_up, at(1s)));
    change = roster.next_change(members, recorded, all_caught_up, at(1s));
    REQUIRE(change);
    CHECK(change->kind == membership_change_kind::promote);
    CHECK(change->replica == 13);
    members = members.with(*change).value();

    change = roster.next_change(members, recorded, all_caught_up, at(1s));
    REQUIRE(change);
    CHECK(change->kind == membership_change_kind::remove);
    CHECK(change->replica == 3);
    members = members.with(*change).value();
    CHECK_FALSE(roster.next_change(members, recorded, all_caught_up, at(1s)));
    CHECK(members.voters == std::vector<consensus::replica_id>{1, 2, 13});
}

TEST_CASE("two replacements happen one after the other")
{
    replica_roster roster(hello("v1", 1), at(0s));
    roster.on_hello(hello("v2", 12), at(0s));
    roster.on_hello(hello("v3", 13), at(0s));
    const recorded_replicas recorded{
        {1, "v1"}, {2, "v2"}, {3, "v3"}, {12, "v2"}, {13, "v3"}};
    consensus::membership members{{1, 2, 3}, {}};
    int steps = 0;
    while (const auto change =
               roster.next_change(members, recorded, all_caught_up, at(1s)))
    {
        REQUIRE(++steps <= 6);
        members = members.with(*change).value();
        // Both old and both new replicas never vote at the same time.
        CHECK(members.voters.size() <= 4);
    }
    CHECK(steps == 6);
    CHECK(members.voters == std::vector<consensus::replica_id>{1, 12, 13});
}

TEST_CASE("a silent VM keeps its vote")
{
    replica_roster roster(hello("v1", 1), at(0s));
    roster.on_hello(hello("v3", 13), at(0s));
    const recorded_replicas recorded{
        {1, "v1"}, {2, "v2"}, {3, "v3"}, {13, "v3"}};
    const consensus::membership members{{1, 2, 3, 13}, {}};
    CHECK(roster.next_change(members, recorded, all_caught_up, at(5s)));
    CHECK_FALSE(roster.next_change(members, recorded, all_caught_up, at(6s)));
}

// A learner whose VM lost its disk again was never removed; after several of
// them no learner could be added.
TEST_CASE("a learner whose VM has a newer replica is removed")
{
    replica_roster roster(hello("v1", 1), at(0s));
    roster.on_hello(hello("v3", 23), at(0s));
    const recorded_replicas recorded{
        {1, "v1"}, {3, "v3"}, {13, "v3"}, {23, "v3"}};
    const consensus::membership members{{1, 3}, {13}};
    const auto change =
        roster.next_change(members, recorded, none_caught_up, at(1s));
    REQUIRE(change);
    CHECK(change->kind == membership_change_kind::remove);
    CHECK(change->replica == 13);
}

// Guards against an eighth control VM being promoted to an eighth voter.
TEST_CASE("there are at most seven voters, except while one is replaced")
{
    replica_roster roster(hello("v1", 1), at(0s));
    recorded_replicas recorded{{1, "v1"}};
    consensus::membership members{{1}, {}};
    for (std::uint64_t n = 2; n <= 9; ++n)
    {
        const auto vm = "v" + std::to_string(n);
        roster.on_hello(hello(vm, n), at(0s));
        recorded[n] = vm;
    }
    for (int n = 0; n < 30; ++n)
    {
        const auto change =
            roster.next_change(members, recorded, all_caught_up, at(1s));
        if (!change)
        {
            break;
        }
        members = members.with(*change).value();
    }
    CHECK(members.voters.size() == control::roster_limits{}.max_voters);

    const auto lost = members.voters.back();
    const auto vm = recorded.at(lost);
    recorded[100] = vm;
    roster.on_hello(hello(vm, 100), at(1s));
    members.learners.push_back(100);
    auto change = roster.next_change(members, recorded, all_caught_up, at(1s));
    REQUIRE(change);
    CHECK(change->kind == membership_change_kind::promote);
    CHECK(change->replica == 100);
    members = members.with(*change).value();
    change = roster.next_change(members, recorded, all_caught_up, at(1s));
    REQUIRE(change);
    CHECK(change->kind == membership_change_kind::remove);
    CHECK(change->replica == lost);
}

// A control VM that is replaced by one at a new address never returns. Without
// a replacement its vote would be missing permanently.
TEST_CASE("a caught-up learner replaces a silent voter")
{
    replica_roster roster(hello("v1", 1), at(0s), {3, 2500ms});
    roster.on_hello(hello("v2", 2), at(10s));
    roster.on_hello(hello("v3", 3), at(7s));
    roster.on_hello(hello("v4", 4), at(10s));
    const recorded_replicas recorded{
        {1, "v1"}, {2, "v2"}, {3, "v3"}, {4, "v4"}};
    consensus::membership members{{1, 2, 3}, {4}};
    // Only after the silence timeout, and only with a caught-up learner.
    CHECK_FALSE(
        roster.next_change(members, recorded, all_caught_up, at(9500ms)));
    CHECK_FALSE(roster.next_change(members, recorded, none_caught_up, at(10s)));
    auto change = roster.next_change(members, recorded, all_caught_up, at(10s));
    REQUIRE(change);
    CHECK(change->kind == membership_change_kind::remove);
    CHECK(change->replica == 3);
    members = members.with(*change).value();
    change = roster.next_change(members, recorded, all_caught_up, at(10s));
    REQUIRE(change);
    CHECK(change->kind == membership_change_kind::promote);
    CHECK(change->replica == 4);
    members = members.with(*change).value();
    // The old voter returns and stays a learner: the maximum is reached.
    roster.on_hello(hello("v3", 3), at(11s));
    change = roster.next_change(members, recorded, all_caught_up, at(11s));
    REQUIRE(change);
    CHECK(change->kind == membership_change_kind::add_learner);
    members = members.with(*change).value();
    CHECK_FALSE(roster.next_change(members, recorded, all_caught_up, at(11s)));
}

TEST_CASE("a silent voter without a replacement keeps its vote")
{
    replica_roster roster(hello("v1", 1), at(0s), {3, 2500ms});
    roster.on_hello(hello("v2", 2), at(60s));
    const recorded_replicas recorded{{1, "v1"}, {2, "v2"}, {3, "v3"}};
    const consensus::membership members{{1, 2, 3}, {}};
    CHECK_FALSE(roster.next_change(members, recorded, all_caught_up, at(60s)));
}

TEST_CASE("the VM of a replica comes from its hello, else from the log")
{
    replica_roster roster(hello("v1", 1), at(0s));
    roster.on_hello(hello("v2", 2), at(0s));
    const recorded_replicas recorded{{2, "v9"}, {3, "v3"}};
    CHECK(roster.vm_of(1, recorded) == "v1");
    CHECK(roster.vm_of(2, recorded) == "v2");
    CHECK(roster.vm_of(3, recorded) == "v3");
    CHECK(roster.vm_of(4, recorded).empty());
}

} // namespace hyssoploft::tests
