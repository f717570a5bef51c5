// Guards against a leader that keeps leadership without a disk,
// acknowledgements of what a full disk refused, and replicas that stay behind
// after they have space again.

#include <LibConsensus/cluster.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace std::chrono_literals;
using std::chrono::milliseconds;
using tests::cluster;

namespace {

/// The lowest index that the disk of the replica holds for certain.
std::uint64_t durable_last_index(cluster& it, std::size_t n)
{
    consensus::persisted_state found;
    core::seeded_random random(1);
    REQUIRE(consensus::file_log_storage::load(
                *it.replicas[n].disk, "data", random, found)
                .ok());
    return found.entries.empty() ? found.base->last.index
                                 : found.entries.back().position.index;
}

} // namespace

TEST_CASE("a leader with a full disk hands over before callers give up")
{
    for (const std::size_t voters : {3U, 5U})
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            CAPTURE(voters);
            CAPTURE(seed);
            cluster it(seed, voters);
            const auto leader = it.wait_for_leader();
            REQUIRE(it.commit("a", 5s));
            it.run(1s);
            it.set_full(leader, true);
            // The limit of operators' calls on the users' platform.
            REQUIRE(it.commit("b", 4s));
            const auto successor = it.leader();
            REQUIRE(successor);
            CHECK_NE(*successor, leader);
            CHECK(it.replicas[leader].node);
            REQUIRE(it.commit("c", 2s));
            // What its disk lacks is not applied by it.
            CHECK_LE(
                it.replicas[leader].applied, durable_last_index(it, leader));
            it.set_full(leader, false);
            REQUIRE(it.run_until(
                [&] {
                    return it.is_converged();
                },
                5s));
            CHECK_EQ(it.leader(), successor);
        }
    }
}

TEST_CASE("a leader with a full disk steps down if the hand-over is lost")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        cluster it(seed, 5);
        const auto leader = it.wait_for_leader();
        REQUIRE(it.commit("a", 5s));
        it.run(1s);
        // All voters are equally far, and the leader takes the first of them.
        const auto chosen = [&] {
            std::size_t best = leader == 0 ? 1 : 0;
            for (std::size_t n = 0; n < 5; ++n)
            {
                if (n != leader && it.replicas[n].id < it.replicas[best].id)
                {
                    best = n;
                }
            }
            return best;
        }();
        it.set_full(leader, true);
        it.set_link(leader, chosen, false);
        REQUIRE(it.commit("b", 4s));
        REQUIRE(it.commit("c", 4s));
        CHECK_NE(it.leader(), std::optional(leader));
        it.set_full(leader, false);
        it.set_link(leader, chosen, true);
        REQUIRE(it.run_until(
            [&] {
                return it.is_converged();
            },
            10s));
    }
}

TEST_CASE("a voter with a full disk acknowledges and votes nothing")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        cluster it(seed, 3);
        const auto leader = it.wait_for_leader();
        REQUIRE(it.commit("a", 5s));
        const auto full = (leader + 1) % 3;
        const auto other = (leader + 2) % 3;
        it.set_full(full, true);
        REQUIRE(it.commit("b", 2s));
        // Without the other voter only the full one could acknowledge.
        it.crash(other);
        it.propose("c");
        it.run(3s);
        CHECK_FALSE(it.is_accepted("c"));
        // Without the leader only the full one could vote.
        it.crash(leader);
        REQUIRE(it.restart(other));
        it.run(5s);
        CHECK_FALSE(it.leader());
        CHECK(it.replicas[full].node->is_storage_full());
        it.set_full(full, false);
        REQUIRE(it.commit("d", 10s));
        REQUIRE(it.restart(leader));
        REQUIRE(it.run_until(
            [&] {
                return it.is_converged();
            },
            10s));
    }
}

// Guards against a promised vote that is never stored: each such promise would
// raise the term of the replica that asked, without end.
TEST_CASE("a voter with a full disk promises no vote")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        cluster it(seed, 3);
        const auto leader = it.wait_for_leader();
        const auto full = (leader + 1) % 3;
        const auto other = (leader + 2) % 3;
        it.set_full(full, true);
        REQUIRE(it.commit("a", 5s));
        it.run(1s);
        it.crash(leader);
        const auto term = it.replicas[other].node->term();
        it.run(10s);
        CHECK_FALSE(it.leader());
        CHECK_EQ(it.replicas[other].node->term(), term);
        it.set_full(full, false);
        REQUIRE(it.commit("b", 10s));
    }
}

TEST_CASE("a replica that starts on a full disk joins once it has space")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        cluster it(seed, 3);
        it.wait_for_leader();
        REQUIRE(it.commit("a", 5s));
        const auto n = seed % 3;
        it.crash(n);
        it.set_full(n, true);
        REQUIRE(it.restart(n));
        REQUIRE(it.commit("b", 5s));
        CHECK_FALSE(it.replicas[n].is_loaded);
        it.set_full(n, false);
        REQUIRE(it.run_until(
            [&] {
                return it.is_converged();
            },
            5s));
        CHECK(it.replicas[n].is_loaded);
    }
}

// All disks are on one kind of volume and can fill together.
TEST_CASE("nothing is accepted while all disks are full")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        cluster it(seed, 3);
        it.wait_for_leader();
        REQUIRE(it.commit("a", 5s));
        for (std::size_t n = 0; n < 3; ++n)
        {
            it.set_full(n, true);
        }
        CHECK_FALSE(it.commit("b", 6s));
        for (std::size_t n = 0; n < 3; ++n)
        {
            it.set_full(n, false);
        }
        REQUIRE(it.commit("c", 10s));
        REQUIRE(it.run_until(
            [&] {
                return it.is_converged();
            },
            10s));
    }
}

TEST_CASE("disks fill, processes end and power is lost in any order")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        CAPTURE(seed);
        cluster it(seed, 5);
        it.faults.loss = 0.05;
        it.wait_for_leader();
        core::seeded_random random(seed);
        for (int round = 0; round < 40; ++round)
        {
            const auto n = random.below(5);
            switch (random.below(4))
            {
            case 0:
                it.set_full(n, true);
                break;
            case 1:
                it.set_full(n, false);
                break;
            case 2:
                it.crash(n);
                REQUIRE(it.restart(n));
                break;
            default:
                if (const auto leader = it.leader(); leader && round % 8 == 0)
                {
                    it.compact(*leader);
                }
            }
            it.propose(std::to_string(round));
            it.run(milliseconds(random.below(600)));
        }
        for (std::size_t n = 0; n < 5; ++n)
        {
            it.set_full(n, false);
        }
        it.faults.loss = 0;
        REQUIRE(it.commit("last", 20s));
        REQUIRE(it.run_until(
            [&] {
                return it.is_converged();
            },
            20s));
    }
}
