// Guards against two leaders that serve at once, elections that disturb a live
// leader, and a cluster that elects no leader although it could.

#include <LibConsensus/cluster.hpp>

#include <doctest.h>

#include <algorithm>

using namespace hyssoploft;
using namespace std::chrono_literals;
using consensus::replica_role;
using tests::cluster;

namespace {

void check_commits(cluster& it, const std::string& command)
{
    CHECK(it.commit(command, 20s));
    CHECK(it.run_until(
        [&] {
            return it.is_converged();
        },
        20s));
}

} // namespace

TEST_CASE("a leader without a quorum steps down and the others elect one")
{
    cluster it(1, 3);
    const std::size_t old = it.wait_for_leader();
    REQUIRE(it.commit("before", 5s));
    it.isolate(old, true);
    const auto cut_at = it.now;
    const auto& node = *it.replicas[old].node;
    REQUIRE(it.run_until(
        [&] {
            return node.role() != replica_role::leader;
        },
        10s));
    // Leader leases rely on this limit; see section 10 of docs/design.md.
    CHECK_LE(it.now - cut_at, it.options.election_timeout_min + 250ms);
    CHECK_NE(it.wait_for_leader(), old);
    REQUIRE(it.commit("during", 5s));
    CHECK_FALSE(it.replicas[old].node->propose("refused").ok());
    it.isolate(old, false);
    check_commits(it, "after");
}

TEST_CASE("after one-way link failures one leader can serve")
{
    // Each row cuts some directions between the leader (0) and the others.
    struct cut_case
    {
        const char* name;
        std::vector<std::pair<int, int>> cut;
    };
    const cut_case cases[] = {
        {"one follower can't reach the leader", {{1, 0}}},
        {"no follower can reach the leader", {{1, 0}, {2, 0}}},
        {"the leader can't reach any follower", {{0, 1}, {0, 2}}},
        {"the leader can't reach one follower", {{0, 1}}},
        {"a ring of one-way links", {{0, 1}, {1, 2}, {2, 0}}},
        {"the followers can't reach each other", {{1, 2}, {2, 1}}},
    };
    std::uint64_t seed = 1;
    for (const auto& row : cases)
    {
        CAPTURE(row.name);
        cluster it(seed++, 3);
        const std::size_t old = it.wait_for_leader();
        REQUIRE(it.commit("before", 5s));
        for (const auto& [from, to] : row.cut)
        {
            it.set_link(
                (old + static_cast<std::size_t>(from)) % 3,
                (old + static_cast<std::size_t>(to)) % 3, false);
        }
        it.run(5s);
        // In the ring no replica receives from those that it sends to, so none
        // gets responses of a quorum.
        const bool can_serve = row.cut.size() != 3;
        CHECK_EQ(it.commit("during", 20s), can_serve);
        for (const auto& [from, to] : row.cut)
        {
            it.set_link(
                (old + static_cast<std::size_t>(from)) % 3,
                (old + static_cast<std::size_t>(to)) % 3, true);
        }
        check_commits(it, "after");
    }
}

TEST_CASE("a replica isolated for long rejoins without an election")
{
    for (const bool compacted : {false, true})
    {
        cluster it(7, 3);
        const std::size_t leader = it.wait_for_leader();
        const std::size_t isolated = (leader + 1) % 3;
        it.isolate(isolated, true);
        for (int i = 0; i < 50; ++i)
        {
            REQUIRE(it.commit("c" + std::to_string(i), 5s));
        }
        it.run(120s);
        if (compacted)
        {
            it.compact(leader);
        }
        const std::uint64_t term = it.replicas[leader].node->term();
        it.isolate(isolated, false);
        it.run(5s);
        CHECK_EQ(it.leader(), leader);
        CHECK_EQ(it.replicas[leader].node->term(), term);
        CHECK(it.is_converged());
        CHECK_EQ(it.snapshot_parts > 0, compacted);
    }
}

TEST_CASE("no replica votes while it has contact with a leader")
{
    cluster it(3, 3);
    const std::size_t leader = it.wait_for_leader();
    it.run(1s);
    auto& voter = it.replicas[(leader + 1) % 3];
    const auto before = voter.node->term();
    for (const bool pre_vote : {true, false})
    {
        const consensus::vote_request request{
            before + 5, {1000, before + 4}, pre_vote, false};
        voter.node->receive(
            {it.replicas[(leader + 2) % 3].id, voter.id, request},
            core::time_point(it.now));
        CHECK_EQ(voter.node->term(), before);
        CHECK(voter.node->take_output().messages.empty());
    }
}

TEST_CASE("clocks of different speed do not cause elections")
{
    const double rates[][3] = {
        {1.05, 1, 0.95}, {1.2, 1, 0.8}, {0.5, 1, 1}, {1, 1.5, 1}};
    std::uint64_t seed = 11;
    for (const auto& row : rates)
    {
        cluster it(seed++, 3);
        for (std::size_t n = 0; n < 3; ++n)
        {
            it.replicas[n].clock_rate = row[n];
        }
        it.wait_for_leader();
        check_commits(it, "a");
        const auto term = it.replicas[*it.leader()].node->term();
        it.run(60s);
        // Heartbeats of a leader at half speed still arrive within the timeout.
        CHECK_EQ(it.replicas[*it.leader()].node->term(), term);
        check_commits(it, "b");
    }
}

TEST_CASE("leadership transfer under load loses no command and is fast")
{
    cluster it(5, 3);
    std::size_t from = it.wait_for_leader();
    int n = 0;
    for (int round = 0; round < 5; ++round)
    {
        const std::size_t to = (from + 1) % 3;
        for (int i = 0; i < 20; ++i)
        {
            it.propose("c" + std::to_string(n++));
            it.run(2ms);
        }
        REQUIRE(it.replicas[from]
                    .node->transfer_leadership(it.replicas[to].id)
                    .ok());
        CHECK_FALSE(it.propose("refused" + std::to_string(round)));
        const auto start = it.now;
        REQUIRE(it.run_until(
            [&] {
                it.propose("c" + std::to_string(n++));
                return it.leader() == to;
            },
            1s));
        // An election without a transfer takes at least an election timeout.
        CHECK_LT(it.now - start, it.options.election_timeout_min);
        from = to;
    }
    check_commits(it, "after");
    CHECK_GE(it.accepted.size(), 100);
}

TEST_CASE("a transfer to a replica that is down is cancelled")
{
    cluster it(6, 3);
    const std::size_t leader = it.wait_for_leader();
    REQUIRE(it.commit("before", 5s));
    auto& node = *it.replicas[leader].node;
    it.crash((leader + 1) % 3);
    REQUIRE(it.commit("after", 5s)); // Now the target lags.
    REQUIRE(node.transfer_leadership(it.replicas[(leader + 1) % 3].id).ok());
    CHECK(absl::IsUnavailable(node.propose("refused").status()));
    CHECK(absl::IsInvalidArgument(node.transfer_leadership(node.self())));
    it.run(1500ms);
    CHECK_EQ(it.leader(), leader);
    CHECK(it.commit("again", 5s));
}

TEST_CASE("after a restart of all replicas the first election is faster")
{
    // The cluster serves nothing before this election, for example after all
    // VMs lost power.
    cluster it(3, 5);
    it.wait_for_leader();
    REQUIRE(it.commit("before", 5s));
    it.options.first_timeout_min = it.options.election_timeout_min / 4;
    for (std::size_t n = 0; n < 5; ++n)
    {
        it.crash(n);
    }
    for (std::size_t n = 0; n < 5; ++n)
    {
        REQUIRE(it.restart(n));
    }
    const auto start = it.now;
    it.wait_for_leader();
    CHECK_LT(it.now - start, it.options.election_timeout_min);
    check_commits(it, "after");
}

TEST_CASE("a replica that restarts does not disturb a live leader")
{
    cluster it(4, 5);
    const std::size_t leader = it.wait_for_leader();
    REQUIRE(it.commit("before", 5s));
    it.options.first_timeout_min = 1ms;
    const auto term = it.replicas[leader].node->term();
    const std::size_t other = (leader + 1) % 5;
    it.crash(other);
    REQUIRE(it.restart(other));
    it.run(5s);
    CHECK_EQ(it.replicas[leader].node->term(), term);
    CHECK(it.replicas[leader].node->role() == replica_role::leader);
    check_commits(it, "after");
}

TEST_CASE("a replica alone applies what it knew to be committed")
{
    // After a restart of all VMs the state is available before an election.
    cluster it(5, 3);
    it.wait_for_leader();
    REQUIRE(it.commit("kept", 5s));
    REQUIRE(it.run_until(
        [&] {
            return it.is_converged();
        },
        5s));
    it.run(1s); // The commit index becomes durable.
    for (std::size_t n = 0; n < 3; ++n)
    {
        it.crash(n);
    }
    REQUIRE(it.restart(1));
    CHECK(it.run_until(
        [&] {
            const auto& found = it.replicas[1].machine.commands;
            return std::find(found.begin(), found.end(), "kept") != found.end();
        },
        200ms));
    // This does not make it leader.
    it.run(3s);
    CHECK(it.replicas[1].node->role() != replica_role::leader);
}
