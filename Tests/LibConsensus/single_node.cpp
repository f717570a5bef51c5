// Guards against a replica that acknowledges, counts or sends more than it may,
// such as entries or votes that are not durable. The test passes each message
// to a single replica and completes each sync itself.

#include <LibConsensus/consensus_node.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::consensus;
using namespace std::chrono_literals;

namespace {

constexpr replica_id self = 1;

log_entry entry(std::uint64_t index, std::uint64_t term)
{
    return {{index, term}, entry_kind::command, "x"};
}

/// Replica 1 of the voters 1, 2 and 3, started with these durable entries.
class manual_replica
{
public:
    explicit manual_replica(
        std::vector<log_entry> entries, std::uint64_t term = 1)
        : random_(1)
    {
        persisted_state stored;
        stored.self = self;
        stored.state = {term, 0};
        stored.base =
            snapshot{{0, 0}, {{1, 2, 3}, {}}, std::make_shared<std::string>()};
        stored.entries = std::move(entries);
        node = *consensus_node::create({}, std::move(stored), random_, {});
    }

    void receive(replica_id from, message_body body)
    {
        node->receive({from, self, std::move(body)}, now);
        take_output();
    }

    void take_output()
    {
        out = node->take_output();
        batch = out.persist ? out.persist : batch;
        for (auto& it : out.messages)
        {
            sent.push_back(std::move(it));
        }
    }

    void complete_batch()
    {
        REQUIRE(batch.has_value());
        node->persisted(std::exchange(batch, std::nullopt)->sequence, now);
        take_output();
    }

    /// The last sent message, which must be of this type.
    template <typename Body>
    Body last() const
    {
        REQUIRE_FALSE(sent.empty());
        return std::get<Body>(sent.back().body);
    }

    /// Makes the replica leader of the next term. Its no-op is not synced.
    void win_election()
    {
        now = node->next_deadline();
        node->tick(now);
        take_output();
        const std::uint64_t term = node->term() + 1;
        receive(2, vote_response{term, true, true});
        complete_batch();
        receive(2, vote_response{term, false, true});
        REQUIRE(node->role() == replica_role::leader);
    }

    std::unique_ptr<consensus_node> node;
    core::time_point now{};
    node_output out;
    std::optional<persist_batch> batch; // Not completed yet.
    std::vector<message> sent;

private:
    core::seeded_random random_;
};

append_response accepted(std::uint64_t term, std::uint64_t index)
{
    return {term, true, index, index, 0, {}, 0};
}

} // namespace

TEST_CASE("a vote is sent only once it is durable, and once per term")
{
    manual_replica it({entry(1, 1)});
    // The replica adopts the term but rejects the shorter log.
    it.receive(3, vote_request{5, {0, 0}});
    it.complete_batch();
    CHECK_FALSE(it.last<vote_response>().granted);
    it.sent.clear();
    it.receive(2, vote_request{5, {1, 1}});
    CHECK(it.sent.empty());
    REQUIRE(it.batch.has_value());
    CHECK(it.batch->state == hard_state{5, 2});
    it.complete_batch();
    CHECK(it.last<vote_response>().granted);
    it.receive(3, vote_request{5, {9, 4}});
    CHECK_FALSE(it.last<vote_response>().granted);
}

TEST_CASE("entries are acknowledged and applied only once they are synced")
{
    manual_replica it({});
    it.receive(2, append_request{1, {0, 0}, 1, 0, {entry(1, 1)}});
    CHECK_EQ(it.last<append_response>().durable_index, 0);
    CHECK(it.out.committed.empty());
    it.complete_batch();
    CHECK_EQ(it.last<append_response>().durable_index, 1);
    CHECK_EQ(it.out.committed.size(), 1);
}

TEST_CASE("replaced entries do not count as synced")
{
    manual_replica it({entry(1, 1), entry(2, 1), entry(3, 1)}, 2);
    it.receive(2, append_request{2, {1, 1}, 0, 0, {entry(2, 2), entry(3, 2)}});
    CHECK_EQ(it.last<append_response>().matched_index, 3);
    CHECK_EQ(it.last<append_response>().durable_index, 1);
    // The entries are replaced again while the batch is being written.
    it.receive(3, append_request{3, {1, 1}, 0, 0, {entry(2, 3)}});
    it.complete_batch();
    it.complete_batch();
    CHECK_EQ(it.last<append_response>().durable_index, 2);
}

TEST_CASE("a batch that completes late acknowledges no replaced entry")
{
    manual_replica it({entry(1, 1)});
    // While term 2 is being written, an entry and then term 3 arrive, so that
    // the next batch has both. The leader of term 3 then replaces the entry.
    it.receive(2, append_request{2, {1, 1}, 0, 0, {}});
    it.receive(2, append_request{2, {1, 1}, 0, 0, {entry(2, 2)}});
    it.receive(3, vote_request{3, {2, 2}, false, true});
    it.complete_batch();
    REQUIRE(it.batch.has_value());
    CHECK(it.batch->entries == std::vector{entry(2, 2)});
    it.receive(3, append_request{3, {1, 1}, 0, 0, {entry(2, 3)}});
    it.sent.clear();
    it.complete_batch();
    CHECK_FALSE(it.sent.empty());
    for (const auto& sent : it.sent)
    {
        const auto* response = std::get_if<append_response>(&sent.body);
        CHECK((response == nullptr || response->durable_index <= 1));
    }
    it.complete_batch();
    CHECK_EQ(it.last<append_response>().durable_index, 2);
}

TEST_CASE("a replaced membership entry is no longer in effect")
{
    manual_replica it({}, 1);
    const membership larger{{1, 2, 3}, {4}};
    it.receive(
        2, append_request{
               1,
               {0, 0},
               0,
               0,
               {{{1, 1}, entry_kind::membership, encode(larger)}}});
    CHECK(it.node->members() == larger);
    it.receive(3, append_request{2, {0, 0}, 0, 0, {entry(1, 2)}});
    CHECK(it.node->members().learners.empty());
}

TEST_CASE("a leader counts its own entries only once they are synced")
{
    manual_replica it({});
    it.win_election();
    it.receive(2, accepted(2, 1));
    CHECK_EQ(it.node->commit_index(), 0);
    it.complete_batch();
    CHECK_EQ(it.node->commit_index(), 1);
}

TEST_CASE("an entry of an earlier term is not committed by counting replicas")
{
    manual_replica it({entry(1, 1)});
    it.win_election();
    it.receive(2, accepted(2, 1));
    it.receive(3, accepted(2, 1));
    CHECK_EQ(it.node->commit_index(), 0);
    it.complete_batch();
    it.receive(2, accepted(2, 2));
    CHECK_EQ(it.node->commit_index(), 2);
}

TEST_CASE("bytes in flight to an unresponsive peer are bounded")
{
    const node_options defaults;
    manual_replica it({});
    it.win_election();
    it.receive(2, accepted(2, 0));
    it.sent.clear();
    const std::string large(100U << 10, 'x');
    for (int i = 0; i < 30; ++i)
    {
        REQUIRE(it.node->propose(large).ok());
        it.take_output();
    }
    const auto bytes_sent = [&] {
        std::size_t bytes = 0;
        for (const auto& sent : it.sent)
        {
            const auto* body = std::get_if<append_request>(&sent.body);
            for (std::size_t i = 0; body && i < body->entries.size(); ++i)
            {
                bytes += sent.to == 2 ? body->entries[i].size() : 0;
            }
        }
        return bytes;
    };
    CHECK_GE(bytes_sent(), defaults.max_in_flight_bytes);
    CHECK_LE(
        bytes_sent(), defaults.max_in_flight_bytes + defaults.max_append_bytes);
    // A response frees the bytes that it acknowledges.
    it.receive(2, accepted(2, 5));
    CHECK_GT(
        bytes_sent(), defaults.max_in_flight_bytes + defaults.max_append_bytes);
}

TEST_CASE("a read waits for responses of a quorum sent after its request")
{
    manual_replica it({});
    it.win_election();
    it.complete_batch();
    auto response = accepted(2, 1);
    it.receive(2, response);
    REQUIRE_EQ(it.node->commit_index(), 1);
    REQUIRE(it.node->read(7).ok());
    it.take_output();
    CHECK(it.out.reads.empty());
    it.receive(2, response); // Sent before the read.
    CHECK(it.out.reads.empty());
    REQUIRE_FALSE(it.sent.empty());
    response.read_round = it.last<append_request>().read_round;
    it.receive(2, response);
    REQUIRE_EQ(it.out.reads.size(), 1);
    CHECK_EQ(it.out.reads[0].id, 7);
    CHECK_EQ(it.out.reads[0].index, 1);
}

TEST_CASE("malformed appends change nothing")
{
    const std::vector<log_entry> malformed[] = {
        {entry(3, 1)},                          // A gap.
        {entry(2, 1), entry(2, 1)},             // A repeat.
        {entry(2, 9)},                          // A term not reached yet.
        {{{2, 1}, entry_kind::membership, "?"}} // Not a membership.
    };
    for (const auto& row : malformed)
    {
        manual_replica it({entry(1, 1)});
        it.receive(2, append_request{1, {1, 1}, 9, 0, row});
        CHECK_EQ(it.node->last().index, 1);
        CHECK_EQ(it.node->commit_index(), 0);
    }
}

// Guards against memory that grows with the time for which a disk stays full.
TEST_CASE("messages that wait for a full disk are bounded")
{
    manual_replica it({entry(1, 1)});
    append_request heartbeat;
    heartbeat.term = 2;
    heartbeat.previous = {1, 1};
    it.receive(2, heartbeat);
    REQUIRE(it.batch.has_value());
    it.node->set_storage_full(true, it.now);
    for (std::uint64_t round = 1; round <= 1000; ++round)
    {
        heartbeat.read_round = round;
        it.receive(2, heartbeat);
    }
    CHECK(it.sent.empty());
    it.node->set_storage_full(false, it.now);
    it.complete_batch();
    CHECK_LE(it.sent.size(), node_options{}.max_deferred_messages + 1);
    // The newest answer is among them.
    CHECK(it.last<append_response>().accepted);
    CHECK_EQ(it.sent.back().to, 2);
}

// Guards against a candidate that disturbs a later leader with requests for
// votes which a full disk held back.
TEST_CASE("a candidate on a full disk drops its requests for votes")
{
    manual_replica it({entry(1, 1)});
    it.now = it.node->next_deadline();
    it.node->tick(it.now);
    it.take_output();
    it.receive(2, vote_response{2, true, true});
    REQUIRE(it.node->role() == replica_role::candidate);
    it.sent.clear();
    it.node->set_storage_full(true, it.now);
    CHECK(it.node->role() == replica_role::follower);
    it.node->set_storage_full(false, it.now);
    it.complete_batch();
    CHECK(it.sent.empty());
    CHECK(it.node->role() == replica_role::follower);
}
