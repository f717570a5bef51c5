// Guards against a cluster that can't elect a leader after its first leader is
// lost, because only that leader was bootstrapped with the initial voters.

#include <LibConsensus/consensus_node.hpp>

#include <doctest.h>

#include <array>
#include <deque>
#include <memory>

using namespace hyssoploft;
using namespace std::chrono_literals;

namespace {

// Three replicas with instant messages and syncs.
struct three_replicas
{
    three_replicas()
    {
        for (std::size_t n = 0; n < nodes.size(); ++n)
        {
            consensus::persisted_state stored;
            stored.self = n + 1;
            auto node = consensus::consensus_node::create(
                {}, std::move(stored), random, now);
            REQUIRE(node.ok());
            nodes[n] = *std::move(node);
        }
    }

    void deliver()
    {
        std::deque<consensus::message> queue;
        for (bool has_work = true; has_work;)
        {
            has_work = false;
            for (auto& it : nodes)
            {
                if (!it)
                {
                    continue;
                }
                auto out = it->take_output();
                if (out.persist)
                {
                    it->persisted(out.persist->sequence, now);
                }
                has_work = has_work || out.persist || !out.messages.empty();
                queue.insert(
                    queue.end(), out.messages.begin(), out.messages.end());
            }
            for (; !queue.empty(); queue.pop_front())
            {
                auto& to = nodes[queue.front().to - 1];
                if (to)
                {
                    to->receive(queue.front(), now);
                }
            }
        }
    }

    // Runs for `d`; returns the leader, or nodes.size() without one.
    std::size_t run_and_find_leader(core::duration d)
    {
        for (const auto end = now + d; now < end; now += 50ms)
        {
            for (auto& it : nodes)
            {
                if (it)
                {
                    it->tick(now);
                }
            }
            deliver();
        }
        for (std::size_t n = 0; n < nodes.size(); ++n)
        {
            if (nodes[n] && nodes[n]->role() == consensus::replica_role::leader)
            {
                return n;
            }
        }
        return nodes.size();
    }

    core::seeded_random random{1};
    core::time_point now{};
    std::array<std::unique_ptr<consensus::consensus_node>, 3> nodes;
};

} // namespace

TEST_CASE("replicas without bootstrap adopt the initial voters of the leader")
{
    three_replicas it;
    REQUIRE(it.nodes[0]->bootstrap({1, 2, 3}).ok());
    REQUIRE_EQ(it.run_and_find_leader(5s), 0);
    for (const auto& node : it.nodes)
    {
        CHECK_EQ(node->members().voters.size(), 3);
    }
    it.nodes[0].reset();
    const auto next = it.run_and_find_leader(10s);
    REQUIRE_LT(next, it.nodes.size());
    CHECK(it.nodes[next]->propose("command").ok());
    it.deliver();
    CHECK_EQ(it.nodes[next]->commit_index(), it.nodes[next]->last().index);
}
