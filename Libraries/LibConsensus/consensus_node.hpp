#ifndef HYSSOPLOFT_LIBCONSENSUS_CONSENSUS_NODE_HPP
#define HYSSOPLOFT_LIBCONSENSUS_CONSENSUS_NODE_HPP

// A Raft replica without I/O, clocks or threads. The driver passes in messages,
// times, proposals and storage completions, and calls take_output() after one
// or more of them.

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
    /// Election timeouts are random in [min, max). A leader without responses
    /// from a quorum for the minimum steps down, and no replica votes within
    /// the minimum after a message from the leader.
    core::duration election_timeout_min = std::chrono::seconds(1);
    core::duration election_timeout_max = std::chrono::seconds(2);
    /// Replaces the minimum for the first timeout after a start. A shorter one
    /// is safe: if there is a live leader, the others grant no pre-vote.
    core::duration first_timeout_min = std::chrono::seconds(1);
    /// Larger commands are rejected. A message with one entry of this size
    /// stays below the frame limit of 1 MiB.
    std::size_t max_command_bytes = 512U << 10;
    std::size_t max_append_bytes = 256U << 10;    ///< Entries per message.
    std::size_t max_in_flight_bytes = 1U << 20;   ///< Per peer.
    std::size_t max_uncommitted_bytes = 4U << 20; ///< On the leader.
    std::size_t snapshot_part_bytes = 256U << 10;
    std::size_t max_snapshot_bytes = 256U << 20; ///< Accepted from a peer.
    std::size_t max_pending_reads = 1024;
    /// Messages that wait for a disk without space; the oldest are dropped, as
    /// a network may drop them too.
    std::size_t max_deferred_messages = 64;
};

enum class replica_role : std::uint8_t
{
    follower, ///< Also learners and non-members.
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
    replica_id leader = 0; ///< 0 if unknown.

    bool operator==(const role_change&) const = default;
};

struct read_result
{
    std::uint64_t id = 0;
    /// The read may be served once this index is applied. None if the node
    /// lost leadership; the caller must retry.
    std::optional<std::uint64_t> index;
};

/// Work for the driver. The members are independent of each other, except that
/// `install` must be processed before `committed`.
struct node_output
{
    std::vector<message> messages;
    /// To make durable and then report with persisted(), which is when the next
    /// batch can follow. The driver may write it on another thread.
    std::optional<persist_batch> persist;
    std::optional<snapshot> install;  ///< Replaces the machine's state.
    std::vector<log_entry> committed; ///< To apply in this order.
    std::vector<role_change> roles;
    std::vector<read_result> reads;
};

class consensus_node
{
public:
    /// `random` must outlive the node. DATA_LOSS if `stored` is inconsistent.
    static absl::StatusOr<std::unique_ptr<consensus_node>> create(
        const node_options& options, persisted_state stored,
        core::random_source& random, core::time_point now);

    /// Sets the initial voters of a new cluster, which must include this
    /// replica and be the same on each voter. FAILED_PRECONDITION if the
    /// replica has any stored state.
    absl::Status bootstrap(std::vector<replica_id> voters);

    void tick(core::time_point now);
    void receive(const message& it, core::time_point now);

    /// Reports that the batch with this sequence is durable. If writing a batch
    /// failed, the driver must stop the replica instead, unless the disk has no
    /// space: then it repeats the same batch later.
    void persisted(std::uint64_t sequence, core::time_point now);

    /// Tells whether the storage refuses writes for lack of space. Meanwhile
    /// the replica hands over leadership, or steps down if no other voter takes
    /// it, starts no election, promises no vote and takes no proposal. What it
    /// could not write stays unacknowledged, as with a slow disk.
    void set_storage_full(bool full, core::time_point now);

    bool is_storage_full() const
    {
        return storage_full_;
    }

    /// Appends a command to the log. It is committed once an entry with exactly
    /// this position appears in node_output::committed; an entry of another
    /// term at the index means that the command was dropped. UNAVAILABLE if
    /// the node is not the leader, is transferring leadership or can't write,
    /// RESOURCE_EXHAUSTED above max_uncommitted_bytes, INVALID_ARGUMENT if the
    /// command is too large. After any of these errors the command is
    /// certainly not in the log.
    absl::StatusOr<log_position> propose(std::string command);

    /// Requests a read index, reported in node_output::reads under `id`.
    /// UNAVAILABLE if the node is not the leader, RESOURCE_EXHAUSTED if too
    /// many reads are pending.
    absl::Status read(std::uint64_t id);

    /// Starts a membership change. UNAVAILABLE if the node is not the leader;
    /// FAILED_PRECONDITION while another change is uncommitted or the learner
    /// to promote has not synced every committed entry; INVALID_ARGUMENT if
    /// the change does not apply.
    absl::StatusOr<log_position>
    change_membership(const membership_change& change);

    /// Transfers leadership to another voter. The transfer is cancelled after
    /// the minimum election timeout. UNAVAILABLE if the node is not the leader,
    /// INVALID_ARGUMENT if the target is not another voter.
    absl::Status transfer_leadership(replica_id target);

    /// Replaces the log up to `index` by a snapshot of the state machine after
    /// exactly that entry. A peer that lacks a dropped entry receives the
    /// snapshot; a driver can wait for durable_index_on_all_members() to avoid
    /// that. INVALID_ARGUMENT if the index was not yet in
    /// node_output::committed or is below the current snapshot.
    absl::Status compact(std::uint64_t index, std::string bytes);

    node_output take_output();

    /// When tick() must be called next.
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

    /// The leader of the current term; 0 if unknown.
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

    /// On the leader: whether the learner can be promoted now.
    bool is_caught_up(replica_id learner) const;

    /// On the leader: the highest index that all members have synced.
    std::uint64_t durable_index_on_all_members() const;

private:
    struct deferred_message
    {
        std::uint64_t sequence = 0; // Batch that must be durable first.
        message it;
    };
    struct batch_in_flight
    {
        std::uint64_t sequence = 0;
        std::uint64_t last_index = 0; // Last entry that it makes durable.
    };
    struct pending_read
    {
        std::uint64_t id = 0;
        std::uint64_t index = 0;
        std::uint64_t round = 0; // 0 until an entry of this term commits.
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
        const node_options& options, persisted_state stored,
        core::random_source& random, core::time_point now);

    // consensus_node.cpp
    absl::Status rebuild_members();
    void advance_time(core::time_point now);
    void send(replica_id to, message_body body);
    void send_when_durable(replica_id to, message_body body);
    void release_deferred_messages();
    std::optional<persist_batch> next_batch();
    void deliver_committed();
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
    bool has_leader_contact() const;
    bool has_vote_quorum() const;
    void handle(replica_id from, const vote_request& it);
    void handle(replica_id from, const vote_response& it);
    void handle(replica_id from, const transfer_request& it);
    bool has_quorum_contact() const;
    void tick_leader();
    void drop_leader_state();
    void advance_transfer();
    /// Gives up leadership because the storage is full.
    void give_up_leadership();
    std::optional<replica_id> best_successor() const;

    // consensus_node_replication.cpp
    void handle(replica_id from, const append_request& it);
    void handle(replica_id from, const append_response& it);
    void handle_rejection(peer_progress& peer, const append_response& it);
    bool append_entries(const append_request& it);
    bool adopt_initial_members(const append_request& it);
    void respond(replica_id to, std::uint64_t read_round);
    void reject(replica_id to, const append_request& it);
    void replicate(replica_id to, peer_progress& peer, bool heartbeat);
    void send_append(replica_id to, peer_progress& peer, bool with_entries);
    void broadcast(bool heartbeat);
    void advance_commit();
    void update_peers();
    void assign_read_rounds();
    void complete_reads();
    std::uint64_t
    quorum_value(std::uint64_t own, std::uint64_t peer_progress::*member) const;

    // consensus_node_snapshot.cpp
    void handle(replica_id from, const snapshot_part& it);
    void handle(replica_id from, const snapshot_response& it);
    void install_snapshot(const snapshot_part& it);
    void send_snapshot_part(replica_id to, peer_progress& peer, bool heartbeat);

    node_options options_; // Constant, as is self_.
    core::random_source& random_;
    replica_id self_;
    core::time_point now_; // Never decreases.

    hard_state state_;
    replica_role role_ = replica_role::follower;
    replica_id leader_ = 0;
    memory_log log_;
    membership_history members_;
    snapshot base_; // base_.last equals log_.base().
    // False until bootstrap, the first accepted append or the first snapshot.
    bool has_base_ = false;

    // base <= commit <= last; delivered <= commit. An entry is delivered once
    // it has been in node_output::committed.
    std::uint64_t commit_index_ = 0;
    std::uint64_t delivered_index_ = 0;
    // Up to here the log is known to match that of the current leader.
    std::uint64_t verified_index_ = 0;

    // synced <= submitted <= last. An entry is submitted once it is in a batch,
    // and synced once that batch is durable.
    std::uint64_t synced_index_ = 0;
    std::uint64_t submitted_index_ = 0;
    bool state_dirty_ = false;
    bool base_dirty_ = false;
    std::uint64_t submitted_sequence_ = 0;
    std::uint64_t durable_sequence_ = 0;
    std::uint64_t state_sequence_ = 0; // Batch with the latest state_.
    std::optional<batch_in_flight> in_flight_;
    // At most max_deferred_messages while storage_full_.
    std::vector<deferred_message> deferred_messages_;
    bool storage_full_ = false;
    bool handover_tried_ = false; // Since storage_full_ was set.

    core::time_point election_deadline_;
    core::time_point leader_contact_;
    std::set<replica_id> granted_votes_;
    std::optional<incoming_snapshot> incoming_snapshot_;

    std::uint64_t submitted_commit_index_ = 0; // In the last submitted batch.
    // Submit a batch even if only the commit index is new.
    bool commit_index_write_due_ = false;

    // Used only on the leader.
    std::map<replica_id, peer_progress> peers_; // All other members.
    core::time_point next_heartbeat_;
    std::uint64_t first_index_of_term_ = 0;
    std::uint64_t read_round_ = 0;
    std::deque<pending_read> reads_; // Ascending by round, round 0 last.
    bool read_round_requested_ = false;
    bool entries_to_send_ = false;
    std::size_t uncommitted_bytes_ = 0;
    std::optional<pending_transfer> transfer_;

    node_output out_;
};

} // namespace hyssoploft::consensus

#endif
