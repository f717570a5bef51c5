// Guards against one replica that promises, counts or sends more than it may.
// The replica is fed by hand, so that each sync completes when the test says.

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

/// A replica of the voters 1, 2 and 3 with these entries on its disk.
class hand_fed
{
public:
    explicit hand_fed(std::vector<log_entry> entries, std::uint64_t term = 1)
        : random_(1)
    {
        persisted_state found;
        found.self = self;
        found.state = {term, 0};
        found.base =
            snapshot{{0, 0}, {{1, 2, 3}, {}}, std::make_shared<std::string>()};
        found.entries = std::move(entries);
        node = *consensus_node::create({}, std::move(found), random_, {});
    }

    void receive(replica_id from, message_body body)
    {
        node->receive({from, self, std::move(body)}, now);
        take();
    }

    void take()
    {
        out = node->take_output();
        batch = out.persist ? out.persist : batch;
        for (auto& it : out.messages)
        {
            sent.push_back(std::move(it));
        }
    }

    void complete()
    {
        REQUIRE(batch.has_value());
        node->persisted(std::exchange(batch, std::nullopt)->sequence, now);
        take();
    }

    /// The last message sent, which must be of this type.
    template <typename Body>
    Body last() const
    {
        REQUIRE_FALSE(sent.empty());
        return std::get<Body>(sent.back().body);
    }

    /// Wins the election of the next term; its no-op is not synced yet.
    void win()
    {
        now = node->next_deadline();
        node->tick(now);
        take();
        const std::uint64_t term = node->term() + 1;
        receive(2, vote_response{term, true, true});
        complete();
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

TEST_CASE("a vote is told only once it is durable, and given once")
{
    hand_fed it({entry(1, 1)});
    // The term is adopted although the candidate's log is too short.
    it.receive(3, vote_request{5, {0, 0}});
    it.complete();
    CHECK_FALSE(it.last<vote_response>().granted);
    it.sent.clear();
    it.receive(2, vote_request{5, {1, 1}});
    CHECK(it.sent.empty());
    REQUIRE(it.batch.has_value());
    CHECK(it.batch->state == hard_state{5, 2});
    it.complete();
    CHECK(it.last<vote_response>().granted);
    it.receive(3, vote_request{5, {9, 4}});
    CHECK_FALSE(it.last<vote_response>().granted);
}

TEST_CASE("entries are confirmed and applied only once they are synced")
{
    hand_fed it({});
    it.receive(2, append_request{1, {0, 0}, 1, 0, {entry(1, 1)}});
    CHECK_EQ(it.last<append_response>().durable_index, 0);
    CHECK(it.out.committed.empty());
    it.complete();
    CHECK_EQ(it.last<append_response>().durable_index, 1);
    CHECK_EQ(it.out.committed.size(), 1);
}

TEST_CASE("replaced entries don't count as synced")
{
    hand_fed it({entry(1, 1), entry(2, 1), entry(3, 1)}, 2);
    it.receive(2, append_request{2, {1, 1}, 0, 0, {entry(2, 2), entry(3, 2)}});
    CHECK_EQ(it.last<append_response>().matched_index, 3);
    CHECK_EQ(it.last<append_response>().durable_index, 1);
    // The entries are replaced again while the first ones are being written.
    it.receive(3, append_request{3, {1, 1}, 0, 0, {entry(2, 3)}});
    it.complete();
    it.complete();
    CHECK_EQ(it.last<append_response>().durable_index, 2);
}

TEST_CASE("a batch that completes late confirms no replaced entry")
{
    hand_fed it({entry(1, 1)});
    // While the term is written, an entry comes and then a newer term, so that
    // one batch holds both; the leader of that term replaces the entry.
    it.receive(2, append_request{2, {1, 1}, 0, 0, {}});
    it.receive(2, append_request{2, {1, 1}, 0, 0, {entry(2, 2)}});
    it.receive(3, vote_request{3, {2, 2}, false, true});
    it.complete();
    REQUIRE(it.batch.has_value());
    CHECK(it.batch->entries == std::vector{entry(2, 2)});
    it.receive(3, append_request{3, {1, 1}, 0, 0, {entry(2, 3)}});
    it.sent.clear();
    it.complete();
    CHECK_FALSE(it.sent.empty());
    for (const auto& sent : it.sent)
    {
        const auto* response = std::get_if<append_response>(&sent.body);
        CHECK((response == nullptr || response->durable_index <= 1));
    }
    it.complete();
    CHECK_EQ(it.last<append_response>().durable_index, 2);
}

TEST_CASE("a replaced membership entry is no longer in force")
{
    hand_fed it({}, 1);
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
    hand_fed it({});
    it.win();
    it.receive(2, accepted(2, 1));
    CHECK_EQ(it.node->commit_index(), 0);
    it.complete();
    CHECK_EQ(it.node->commit_index(), 1);
}

TEST_CASE("an entry of an earlier term is not committed by counting replicas")
{
    hand_fed it({entry(1, 1)});
    it.win();
    it.receive(2, accepted(2, 1));
    it.receive(3, accepted(2, 1));
    CHECK_EQ(it.node->commit_index(), 0);
    it.complete();
    it.receive(2, accepted(2, 2));
    CHECK_EQ(it.node->commit_index(), 2);
}

TEST_CASE("bytes in flight to a silent peer are bounded")
{
    const node_options defaults;
    hand_fed it({});
    it.win();
    it.receive(2, accepted(2, 0));
    it.sent.clear();
    const std::string large(100U << 10, 'x');
    for (int i = 0; i < 30; ++i)
    {
        REQUIRE(it.node->propose(large).ok());
        it.take();
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
    // An answer makes room for the same number of bytes.
    it.receive(2, accepted(2, 5));
    CHECK_GT(
        bytes_sent(), defaults.max_in_flight_bytes + defaults.max_append_bytes);
}

TEST_CASE("a read waits for a quorum that answered after it was asked for")
{
    hand_fed it({});
    it.win();
    it.complete();
    auto answer = accepted(2, 1);
    it.receive(2, answer);
    REQUIRE_EQ(it.node->commit_index(), 1);
    REQUIRE(it.node->read(7).ok());
    it.take();
    CHECK(it.out.reads.empty());
    it.receive(2, answer); // Sent before the read.
    CHECK(it.out.reads.empty());
    REQUIRE_FALSE(it.sent.empty());
    answer.read_round = it.last<append_request>().read_round;
    it.receive(2, answer);
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
        hand_fed it({entry(1, 1)});
        it.receive(2, append_request{1, {1, 1}, 9, 0, row});
        CHECK_EQ(it.node->last().index, 1);
        CHECK_EQ(it.node->commit_index(), 0);
    }
}
