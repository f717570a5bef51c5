// Guards against lost, repeated or diverging commands, stale reads, and
// messages or queues above their limits.

#include <LibConsensus/cluster.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace std::chrono_literals;
using tests::cluster;

namespace {

void check_converges(cluster& it)
{
    CHECK(it.run_until(
        [&] {
            return it.is_converged();
        },
        30s));
}

} // namespace

TEST_CASE("commands are committed and applied by all voters")
{
    cluster it(1, 3);
    it.wait_for_leader();
    for (int i = 0; i < 100; ++i)
    {
        REQUIRE(it.commit("c" + std::to_string(i), 5s));
    }
    check_converges(it);
    CHECK_EQ(it.replicas[0].machine.commands.size(), 100);
}

TEST_CASE("network faults delay commands but neither lose nor repeat them")
{
    const tests::network_faults table[] = {
        {0.2, 0, 2ms, 30ms, 5ms},    // Loss.
        {0, 0.5, 2ms, 30ms, 5ms},    // Repeats.
        {0, 0, 1ms, 300ms, 5ms},     // Reordering.
        {0.1, 0.3, 1ms, 150ms, 5ms}, // All of them.
        {0, 0, 2ms, 30ms, 300ms},    // Slow disks.
    };
    std::uint64_t seed = 21;
    for (const auto& row : table)
    {
        CAPTURE(seed);
        cluster it(seed++, 3);
        it.faults = row;
        for (int i = 0; i < 60; ++i)
        {
            REQUIRE(it.commit("c" + std::to_string(i), 60s));
        }
        it.faults = {};
        check_converges(it);
    }
}

TEST_CASE("pipelined appends send a burst in messages of bounded size")
{
    cluster it(2, 3);
    it.wait_for_leader();
    const std::string large(100U << 10, 'x');
    int refused = 0;
    for (int i = 0; i < 100; ++i)
    {
        refused += it.propose(std::to_string(i) + large) ? 0 : 1;
    }
    // 4 MiB of uncommitted bytes hold 40 of these commands.
    CHECK_EQ(refused, 60);
    CHECK(it.run_until(
        [&] {
            return it.accepted.size() == 40;
        },
        2s));
    CHECK_LE(it.largest_message, 1U << 20);
    const auto& node = it.replicas[*it.leader()].node;
    CHECK(absl::IsInvalidArgument(
        node->propose(std::string(it.options.max_command_bytes + 1, 'x'))
            .status()));
    CHECK(it.propose(std::string(it.options.max_command_bytes, 'y')));
    check_converges(it);
    CHECK_LE(it.largest_message, 1U << 20);
}

TEST_CASE("a lagging replica receives a snapshot in parts despite loss")
{
    cluster it(4, 3);
    it.options.snapshot_part_bytes = 1000;
    const std::size_t leader = it.wait_for_leader();
    const std::size_t lagging = (leader + 1) % 3;
    it.crash(lagging);
    // The current leader was created with the default part size; this one is
    // restarted with the small one and becomes leader below.
    const std::size_t other = (leader + 2) % 3;
    it.crash(other);
    REQUIRE(it.restart(other));
    for (int i = 0; i < 50; ++i)
    {
        REQUIRE(it.commit(std::to_string(i) + std::string(1000, 'x'), 20s));
    }
    REQUIRE(
        it.replicas[*it.leader()]
            .node->transfer_leadership(it.replicas[other].id)
            .ok() == (*it.leader() != other));
    REQUIRE(it.run_until(
        [&] {
            return it.leader() == other;
        },
        5s));
    REQUIRE(it.commit("last", 5s));
    it.compact(other);
    it.faults.loss = 0.1;
    it.faults.repeat = 0.2;
    REQUIRE(it.restart(lagging));
    check_converges(it);
    CHECK_GE(it.snapshot_parts, 50);
    CHECK_EQ(
        it.replicas[lagging].node->base().index,
        it.replicas[other].node->base().index);
    // The installed snapshot must be durable.
    it.crash(lagging);
    REQUIRE(it.restart(lagging));
    CHECK_GT(it.replicas[lagging].node->base().index, 50);
    CHECK(
        it.replicas[lagging].node->members() ==
        it.replicas[other].node->members());
    check_converges(it);
}

TEST_CASE("only a leader with a quorum returns a read index")
{
    cluster it(5, 3);
    const std::size_t old = it.wait_for_leader();
    REQUIRE(it.commit("a", 5s));
    auto& reader = it.replicas[old];
    CHECK(reader.node->read(1).ok());
    REQUIRE(it.run_until(
        [&] {
            return reader.reads.contains(1);
        },
        1s));
    CHECK_GE(*reader.reads[1], reader.applied);
    CHECK(absl::IsUnavailable(it.replicas[(old + 1) % 3].node->read(1)));

    // The isolated replica is still leader in its own view, while another
    // leader may commit.
    it.isolate(old, true);
    CHECK(reader.node->read(2).ok());
    REQUIRE(it.run_until(
        [&] {
            return reader.reads.contains(2);
        },
        5s));
    CHECK_FALSE(reader.reads[2].has_value());
    it.isolate(old, false);

    const std::size_t next = it.wait_for_leader();
    for (std::size_t i = 0; i < it.options.max_pending_reads; ++i)
    {
        REQUIRE(it.replicas[next].node->read(10 + i).ok());
    }
    CHECK(absl::IsResourceExhausted(it.replicas[next].node->read(9)));
}

TEST_CASE("a new leader returns no read index before its first commit")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        cluster it(seed, 3);
        const std::size_t old = it.wait_for_leader();
        REQUIRE(it.commit("a", 5s));
        const std::uint64_t index = it.replicas[old].node->commit_index();
        it.crash(old);
        const std::size_t next = it.wait_for_leader();
        auto& reader = it.replicas[next];
        REQUIRE(reader.node->read(1).ok());
        REQUIRE(it.run_until(
            [&] {
                return reader.reads.contains(1);
            },
            10s));
        CHECK_GE(reader.reads[1].value_or(0), index);
    }
}
