// Guards against loss of accepted commands when replicas join, are removed,
// lose their disks or fail during a membership change.

#include <LibConsensus/cluster.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace std::chrono_literals;
using consensus::membership_change_kind;
using tests::cluster;

namespace {

void commit_some(cluster& it, const std::string& prefix, int n)
{
    for (int i = 0; i < n; ++i)
    {
        REQUIRE(it.commit(prefix + std::to_string(i), 20s));
    }
}

void check_converges(cluster& it)
{
    CHECK(it.run_until(
        [&] {
            return it.is_converged();
        },
        30s));
}

/// Adds the replica as a learner and promotes it once it has caught up.
bool join(cluster& it, consensus::replica_id id)
{
    return it.change(membership_change_kind::add_learner, id) &&
           it.change(membership_change_kind::promote, id);
}

} // namespace

TEST_CASE("a replica that lost its disk rejoins under a new identifier")
{
    for (const bool compacted : {false, true})
    {
        cluster it(1, 3);
        const std::size_t leader = it.wait_for_leader();
        commit_some(it, "a", 20);
        if (compacted)
        {
            it.compact(leader);
        }
        const std::size_t lost = (leader + 1) % 3;
        const auto old_id = it.replicas[lost].id;
        it.lose_disk(lost);
        CHECK_NE(it.replicas[lost].id, old_id);
        // It neither votes under its old identifier nor starts an election.
        it.run(10s);
        CHECK_EQ(it.replicas[lost].node->term(), 0);
        CHECK(absl::IsInvalidArgument(it.replicas[lost].node->bootstrap(
            {old_id, it.replicas[leader].id})));
        REQUIRE(it.change(membership_change_kind::remove, old_id));
        REQUIRE(join(it, it.replicas[lost].id));
        check_converges(it);
        CHECK(it.replicas[lost].node->members().is_voter(it.replicas[lost].id));
        CHECK(absl::IsFailedPrecondition(
            it.replicas[lost].node->bootstrap({it.replicas[lost].id})));
    }
}

TEST_CASE("no command is lost if a second replica fails after a repair")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        cluster it(seed, 3);
        const std::size_t leader = it.wait_for_leader();
        commit_some(it, "a", 20);
        const std::size_t first = (leader + 1) % 3;
        const std::size_t second = (leader + 2) % 3;
        const auto first_id = it.replicas[first].id;
        it.lose_disk(first);
        REQUIRE(it.change(membership_change_kind::remove, first_id));
        REQUIRE(join(it, it.replicas[first].id));
        // The repaired replica restarts from its disk while one of the two
        // others stays down; the remaining two must hold every accepted
        // command.
        it.crash(first);
        it.crash(seed % 2 == 0 ? leader : second);
        REQUIRE(it.restart(first));
        commit_some(it, "b", 5);
        check_converges(it);
    }
}

TEST_CASE("a learner is promoted only once it has synced the committed entries")
{
    cluster it(2, 3);
    const std::size_t leader = it.wait_for_leader();
    commit_some(it, "a", 10);
    const std::size_t learner = it.add();
    const auto id = it.replicas[learner].id;
    auto& node = *it.replicas[leader].node;
    REQUIRE(it.change(membership_change_kind::add_learner, id));
    it.crash(learner);
    commit_some(it, "b", 1);
    CHECK(absl::IsFailedPrecondition(
        node.change_membership({membership_change_kind::promote, id})
            .status()));
    // Its disk hangs: it receives all entries but syncs none.
    REQUIRE(it.restart(learner));
    it.faults.max_sync = 1h;
    it.run(50ms);
    CHECK_FALSE(node.is_caught_up(id));
    it.faults.max_sync = 5ms;
    for (auto& replica : it.replicas)
    {
        replica.write_due = it.now;
    }
    REQUIRE(it.change(membership_change_kind::promote, id));
    check_converges(it);
}

TEST_CASE("only one membership change can be in progress")
{
    cluster it(3, 3);
    const std::size_t leader = it.wait_for_leader();
    auto& node = *it.replicas[leader].node;
    // Until it has committed an entry of its term, a leader can't know whether
    // an earlier change is committed.
    CHECK(absl::IsFailedPrecondition(
        node.change_membership({membership_change_kind::add_learner, 9})
            .status()));
    commit_some(it, "a", 1);
    CHECK(
        node.change_membership({membership_change_kind::add_learner, 9}).ok());
    CHECK(absl::IsFailedPrecondition(
        node.change_membership({membership_change_kind::add_learner, 10})
            .status()));
    it.run(1s);
    const consensus::membership_change rejected_changes[] = {
        {membership_change_kind::add_learner, 9},
        {membership_change_kind::add_learner, 0},
        {membership_change_kind::promote, 10},
        {membership_change_kind::promote, node.self()},
        {membership_change_kind::remove, 10}};
    for (const auto& row : rejected_changes)
    {
        CHECK(absl::IsInvalidArgument(node.change_membership(row).status()));
    }
    CHECK(absl::IsUnavailable(
        it.replicas[(leader + 1) % 3]
            .node->change_membership({membership_change_kind::remove, 9})
            .status()));
}

TEST_CASE("a membership change survives a failure of the leader")
{
    // The leader crashes 1 to 40 ms after it has started the change.
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        CAPTURE(seed);
        // Five voters: a quorum remains without the leader and the removed one.
        cluster it(seed, 5);
        const std::size_t leader = it.wait_for_leader();
        commit_some(it, "a", 5);
        const std::size_t learner = it.add();
        const auto id = it.replicas[learner].id;
        REQUIRE(it.change(membership_change_kind::add_learner, id));
        auto& node = *it.replicas[leader].node;
        it.run_until(
            [&] {
                return node.is_caught_up(id);
            },
            5s);
        const bool removes = seed % 2 == 0;
        REQUIRE(node.change_membership(
                        removes ? consensus::membership_change{
                                      membership_change_kind::remove,
                                      it.replicas[(leader + 1) % 5].id}
                                : consensus::membership_change{
                                      membership_change_kind::promote, id})
                    .ok());
        it.propose("doubtful");
        it.run(std::chrono::milliseconds(seed));
        it.crash(leader);
        commit_some(it, "b", 5);
        REQUIRE(it.restart(leader));
        commit_some(it, "c", 5);
        check_converges(it);
    }
}

TEST_CASE("a leader that removes itself steps down after the commit")
{
    cluster it(4, 3);
    const std::size_t leader = it.wait_for_leader();
    commit_some(it, "a", 3);
    const auto id = it.replicas[leader].id;
    REQUIRE(it.change(membership_change_kind::remove, id));
    CHECK_NE(it.wait_for_leader(), leader);
    commit_some(it, "b", 3);
    it.run(10s); // The removed replica must not disturb the leader.
    CHECK_NE(it.leader(), leader);
    CHECK_EQ(it.replicas[*it.leader()].node->members().voters.size(), 2);
    check_converges(it);
}

TEST_CASE("the quorum follows the number of voters")
{
    cluster it(5, 1);
    commit_some(it, "a", 3);
    for (int i = 0; i < 4; ++i)
    {
        REQUIRE(join(it, it.replicas[it.add()].id));
    }
    commit_some(it, "b", 3);
    CHECK_EQ(it.replicas[0].node->members().quorum(), 3);
    it.crash((*it.leader() + 1) % 5);
    it.crash((*it.leader() + 2) % 5);
    commit_some(it, "c", 3);
    const std::size_t leader = *it.leader();
    it.crash((leader + 3) % 5);
    CHECK_FALSE(it.commit("no quorum", 10s));
}
