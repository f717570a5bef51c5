#ifndef HYSSOPLOFT_LIBCONSENSUS_CONSENSUS_NODE_HPP
#define HYSSOPLOFT_LIBCONSENSUS_CONSENSUS_NODE_HPP

// One replica of the log as a pure state machine. The driver passes messages,
// times, proposals and storage completions in, and calls take_output() after
// each of them or after several.

#include <LibConsensus/log_storage.hpp>
#include <LibConsensus/memory_log.hpp>
#include <LibConsensus/messages.hpp>
#include <LibConsensus/peer_progress.hpp>

#include <LibCore/random_source.hpp>
#include <LibCore/time.hpp>

#include <absl/status/statusor.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssoploft::consensus {

struct node_options
{
    core::duration heartbeat = std::chrono::milliseconds(200);
    /// Timeouts are drawn from [min, max). A leader that has heard from no
    /// quorum for the minimum steps down, and nobody votes within the minimum
    /// after hearing from a leader.
    core::duration election_timeout_min = std::chrono::seconds(1);
    core::duration election_timeout_max = std::chrono::seconds(2);
    /// Replaces the minimum once, after a start: a replica that starts has not
    /// heard a leader yet, and if there is one, the others refuse its pre-vote.
    core::duration first_timeout_min = std::chrono::seconds(1);
    /// Larger commands are refused. With the other fields a message with one
    /// such entry stays below the 1 MiB of a frame.
    std::size_t max_command_bytes = 512U << 10;
    std::size_t max_append_bytes = 256U << 10;    ///< Entries of one message.
    std::size_t max_in_flight_bytes = 1U << 20;   ///< For each peer.
    std::size_t max_uncommitted_bytes = 4U << 20; ///< On the leader.
    std::size_t snapshot_part_bytes = 256U << 10;
    std::size_t max_snapshot_bytes = 256U << 20; ///< Accepted from a peer.
    std::size_t max_pending_reads = 1024;
};

enum class replica_role : std::uint8_t
{
    follower, ///< Learners and replicas that are no members too.
    pre_candidate,
    candidate,
    leader
};

inline constexpr core::enum_table<replica_role, 4> replica_role_names{
    {{replica_role::follower, "follower"},
     {replica_role::pre_candidate, "pre_candidate"},
     {replica_role::candidate, "candidate"},
     {replica_role::leader, "leader"}}};

struct role_change
{
    replica_role role = replica_role::follower;
    std::uint64_t term = 0;
    replica_id leader = 0; ///< 0 if it is not known.

    bool operator==(const role_change&) const = default;
};

struct read_result
{
    std::uint64_t id = 0;
    /// The read may be served once this index is applied. None if the node
    /// lost its leadership: the caller must ask again.
    std::optional<std::uint64_t> index;
};

/// What the driver must do. The parts are independent of each other except
/// that `install` comes before `committed`.
struct node_output
{
    std::vector<message> messages;
    /// To be made durable, then reported by persisted(). No other batch is
    /// given out before that. The driver may do it on another thread.
    std::optional<persist_batch> persist;
    std::optional<snapshot> install;  ///< Replaces the state machine.
    std::vector<log_entry> committed; ///< To apply, in this order.
    std::vector<role_change> roles;
    std::vector<read_result> reads;
};

class consensus_node
{
public:
    /// `random` must outlive the node. DATA_LOSS if `found` is inconsistent.
    static absl::StatusOr<std::unique_ptr<consensus_node>> create(
        const node_options& options, persisted_state found,
        core::random_source& random, core::time_point now);

    /// Declares the voters of a new cluster. Each of them must be given the
    /// same set, this replica included. FAILED_PRECONDITION if the replica
    /// has any history.
    absl::Status bootstrap(std::vector<replica_id> voters);

    void tick(core::time_point now);
    void receive(const message& it, core::time_point now);

    /// Reports that the batch with this sequence is durable. After a failed
    /// batch the driver must stop the replica instead.
    void persisted(std::uint64_t sequence, core::time_point now);

    /// Adds a command to the log. It is committed once an entry with exactly
    /// this position is given out as committed; another term at the index
    /// means that the command was dropped. UNAVAILABLE if the node is no
    /// leader or hands over, RESOURCE_EXHAUSTED above the uncommitted bytes,
    /// INVALID_ARGUMENT if the command is too large. After each of these the
    /// command is certain not to be in the log.
    absl::StatusOr<log_position> propose(std::string command);

    /// Asks for a read index; node_output::reads answers under `id`.
    /// UNAVAILABLE if the node is no leader, RESOURCE_EXHAUSTED if too many
    /// reads are pending.
    absl::Status read(std::uint64_t id);

    /// Starts a membership change. UNAVAILABLE if the node is no leader;
    /// FAILED_PRECONDITION while another change is not committed or a learner
    /// to promote has not synced every committed entry; INVALID_ARGUMENT if
    /// the change does not apply.
    absl::StatusOr<log_position>
    change_membership(const membership_change& change);

    /// Hands leadership to a voter. It is given up after the minimum election
    /// timeout. UNAVAILABLE if the node is no leader, INVALID_ARGUMENT if the
    /// target is no other voter.
    absl::Status transfer_leadership(replica_id target);

    /// Replaces the log up to `index` by a snapshot of the state machine after
    /// exactly that entry. A peer that lacks an entry dropped here receives
    /// the snapshot; a driver may wait for durable_everywhere() to avoid that.
    /// INVALID_ARGUMENT if the index was not yet given out as committed.
    absl::Status compact(std::uint64_t index, std::string bytes);

    node_output take_output();

    /// When tick() has work to do next.
    core::time_point next_deadline() const
    {
        return role_ == replica_role::leader ? next_heartbeat_
                                             : election_deadline_;
    }

    replica_id self() const
    {
        return self_;
    }

    replica_role role() const
    {
        return role_;
    }

    std::uint64_t term() const
    {
        return state_.term;
    }

    /// The leader of the current term; 0 if it is not known.
    replica_id leader() const
    {
        return leader_;
    }

    const membership& members() const
    {
        return members_.current();
    }

    std::uint64_t commit_index() const
    {
        return commit_index_;
    }

    log_position last() const
    {
        return log_.last();
    }

    log_position base() const
    {
        return log_.base();
    }

    /// On the leader: whether this learner may be promoted now.
    bool is_caught_up(replica_id learner) const;

    /// On the leader: the highest index that all members have synced.
    std::uint64_t durable_everywhere() const;

private:
    struct held_message
    {
        std::uint64_t sequence = 0; // Batch that holds the term and vote.
        message it;
    };
    struct batch_in_flight
    {
        std::uint64_t sequence = 0;
        std::uint64_t last_index = 0; // Durable once the batch is.
    };
    struct pending_read
    {
        std::uint64_t id = 0;
        std::uint64_t index = 0;
        std::uint64_t round = 0; // 0: waits for a commit of this term.
    };
    struct pending_transfer
    {
        replica_id target = 0;
        core::time_point deadline;
    };
    struct incoming_snapshot
    {
        std::uint64_t term = 0;
        log_position last;
        std::string bytes;
    };

    consensus_node(
        const node_options& options, persisted_state found,
        core::random_source& random, core::time_point now);

    // consensus_node.cpp
    absl::Status rebuild_members();
    void advance(core::time_point now);
    void send(replica_id to, message_body body);
    void send_when_durable(replica_id to, message_body body);
    void release_held();
    std::optional<persist_batch> next_batch();
    void give_out_committed();
    void append_local(entry_kind kind, std::string bytes);
    void truncate(std::uint64_t index);
    bool is_leader() const
    {
        return role_ == replica_role::leader;
    }

    // consensus_node_election.cpp
    void set_role(replica_role role, replica_id leader);
    void reset_election_deadline();
    void set_election_deadline(core::duration min);
    void become_follower(std::uint64_t term, replica_id leader);
    void start_pre_vote();
    void start_election(bool transfer);
    void become_leader();
    bool hears_leader() const;
    bool has_vote_quorum() const;
    void on(replica_id from, const vote_request& it);
    void on(replica_id from, const vote_response& it);
    void on(replica_id from, const transfer_request& it);
    bool hears_quorum() const;
    void tick_leader();
    void drop_leader_state();
    void advance_transfer();

    // consensus_node_replication.cpp
    void on(replica_id from, const append_request& it);
    void on(replica_id from, const append_response& it);
    void on_rejected(peer_progress& peer, const append_response& it);
    bool take_entries(const append_request& it);
    bool adopt_founding(const append_request& it);
    void respond(replica_id to, std::uint64_t read_round);
    void reject(replica_id to, const append_request& it);
    void replicate(replica_id to, peer_progress& peer, bool heartbeat);
    void send_append(replica_id to, peer_progress& peer, bool with_entries);
    void broadcast(bool heartbeat);
    void advance_commit();
    void follow_membership();
    void assign_waiting_reads();
    void answer_reads();
    std::uint64_t
    quorum_value(std::uint64_t own, std::uint64_t peer_progress::*member) const;

    // consensus_node_snapshot.cpp
    void on(replica_id from, const snapshot_part& it);
    void on(replica_id from, const snapshot_response& it);
    void install(const snapshot_part& it);
    void send_part(replica_id to, peer_progress& peer, bool heartbeat);

    node_options options_; // Fixed at creation, as is self_.
    core::random_source& random_;
    replica_id self_;
    core::time_point now_; // Never goes back.

    hard_state state_;
    replica_role role_ = replica_role::follower;
    replica_id leader_ = 0;
    memory_log log_;
    membership_history members_;
    snapshot base_; // Its position is that of log_.base().
    // False until bootstrap, the first append or the first snapshot.
    bool has_base_ = false;

    // base <= commit <= last; given_out <= commit.
    std::uint64_t commit_index_ = 0;
    std::uint64_t given_out_index_ = 0;
    // Up to here the log is known to equal that of the current leader.
    std::uint64_t verified_index_ = 0;

    // synced <= handed <= last: durable, and given out to be made durable.
    std::uint64_t synced_index_ = 0;
    std::uint64_t handed_index_ = 0;
    bool state_dirty_ = false;
    bool base_dirty_ = false;
    std::uint64_t handed_sequence_ = 0;
    std::uint64_t durable_sequence_ = 0;
    std::uint64_t state_sequence_ = 0; // Batch with the last change of state_.
    std::optional<batch_in_flight> in_flight_;
    std::vector<held_message> held_;

    core::time_point election_deadline_;
    core::time_point leader_contact_;
    std::set<replica_id> votes_;
    std::optional<incoming_snapshot> incoming_;

    std::uint64_t handed_commit_ = 0; // Commit index of the last batch.
    bool commit_due_ = false;         // A batch is due for it alone.

    // Used on the leader only.
    std::map<replica_id, peer_progress> peers_; // All members but this one.
    core::time_point next_heartbeat_;
    std::uint64_t first_index_of_term_ = 0;
    std::uint64_t read_round_ = 0;
    std::deque<pending_read> reads_; // Ascending by round, waiting ones last.
    bool round_wanted_ = false;
    bool entries_to_send_ = false;
    std::size_t uncommitted_bytes_ = 0;
    std::optional<pending_transfer> transfer_;

    node_output out_;
};

} // namespace hyssoploft::consensus

#endif
