// Guards against errors that only combined faults cause. Under random schedules
// of crashes, torn writes, network partitions, message loss, compaction,
// leadership transfers and clock drift the replicas must agree, keep every
// accepted command, and commit again once the faults end.

#include <LibConsensus/cluster.hpp>
#include <Support/check_property.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace std::chrono_literals;
using tests::cluster;

namespace {

void end_faults(cluster& it)
{
    for (std::size_t n = 0; n < it.replicas.size(); ++n)
    {
        it.isolate(n, false);
        it.replicas[n].disk->crash_at = 0;
        if (!it.replicas[n].node)
        {
            REQUIRE(it.restart(n));
        }
    }
    it.faults = {};
}

/// Applies one random fault, repair or operation.
void apply_action(cluster& it, std::uint64_t action, std::uint64_t argument)
{
    const std::size_t count = it.replicas.size();
    const std::size_t n = argument % count;
    auto& replica = it.replicas[n];
    switch (action)
    {
    case 0:
        it.crash(n);
        return;
    case 1:
        // The replica may crash again while it starts.
        (void)(replica.node || it.restart(n));
        return;
    case 2:
        replica.disk->crash_at =
            replica.disk->operations + 1 + argument / count % 12;
        return;
    case 3:
        it.isolate(n, true);
        return;
    case 4:
        it.isolate(n, false);
        return;
    case 5:
        it.set_link(n, argument / count % count, argument % 2 == 0);
        return;
    case 6:
        if (replica.node && replica.applied > replica.node->base().index)
        {
            it.compact(n);
        }
        return;
    case 7:
        if (const auto leader = it.leader())
        {
            (void)it.replicas[*leader].node->transfer_leadership(replica.id);
        }
        return;
    case 8:
        it.faults.loss = static_cast<double>(argument % 30) / 100;
        it.faults.repeat = static_cast<double>(argument % 50) / 100;
        it.faults.max_delay = 20ms + argument % 200 * 1ms;
        return;
    default:
        return;
    }
}

} // namespace

TEST_CASE("property: random schedules keep every accepted command")
{
    tests::check_property(30, 300, [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto voters = *rc::gen::element<std::size_t>(3, 5);
        // At the nominal size the first cases are as diverse as the last.
        const auto actions = *rc::gen::resize(
            rc::kNominalSize,
            rc::gen::container<
                std::vector<std::pair<std::uint64_t, std::uint64_t>>>(
                60, rc::gen::pair(
                        rc::gen::inRange<std::uint64_t>(0, 12),
                        rc::gen::inRange<std::uint64_t>(0, 1000))));
        cluster it(seed, voters);
        for (std::size_t n = 0; n < voters; ++n)
        {
            it.replicas[n].clock_rate = 0.9 + 0.05 * static_cast<double>(n);
        }
        int command = 0;
        for (const auto& [action, argument] : actions)
        {
            apply_action(it, action, argument);
            for (int i = 0; i < 4; ++i)
            {
                it.propose("c" + std::to_string(command++));
                it.run(1ms * static_cast<int>(argument));
            }
        }
        end_faults(it);
        RC_ASSERT(it.commit("end", 60s));
        RC_ASSERT(it.run_until(
            [&] {
                return it.is_converged();
            },
            60s));
    });
}

TEST_CASE("property: replicas can be replaced one by one under load")
{
    tests::check_property(31, 60, [] {
        cluster it(*rc::gen::arbitrary<std::uint64_t>(), 3);
        it.faults.loss = 0.05;
        int command = 0;
        for (int round = 0; round < 4; ++round)
        {
            const auto n = *rc::gen::inRange<std::size_t>(0, 3);
            const auto lost = it.replicas[n].id;
            RC_ASSERT(it.commit("a" + std::to_string(round), 60s));
            it.lose_disk(n);
            const auto joined = it.replicas[n].id;
            const std::pair<consensus::membership_change_kind, std::uint64_t>
                changes[] = {
                    {consensus::membership_change_kind::remove, lost},
                    {consensus::membership_change_kind::add_learner, joined},
                    {consensus::membership_change_kind::promote, joined}};
            for (const auto& [kind, id] : changes)
            {
                it.propose("c" + std::to_string(command++));
                RC_ASSERT(it.change(kind, id, 60s));
            }
            if (round % 2 == 1)
            {
                it.compact(it.wait_for_leader());
            }
        }
        RC_ASSERT(it.run_until(
            [&] {
                return it.is_converged();
            },
            60s));
    });
}
