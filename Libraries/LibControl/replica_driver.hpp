#ifndef HYSSOPLOFT_LIBCONTROL_REPLICA_DRIVER_HPP
#define HYSSOPLOFT_LIBCONTROL_REPLICA_DRIVER_HPP

// Runs the replica of a control VM: drives the consensus node, syncs the log on
// a separate thread, applies committed entries and completes proposals. While
// the disk has no space, it repeats the refused write and takes no part in what
// needs a write. All functions are called on the control thread.

#include <LibConsensus/consensus_node.hpp>
#include <LibConsensus/file_log_storage.hpp>
#include <LibControl/compaction_rule.hpp>
#include <LibControl/control_messages.hpp>
#include <LibControl/control_state_machine.hpp>
#include <LibControl/disk_space.hpp>
#include <LibControl/replica_roster.hpp>
#include <LibCore/clock.hpp>
#include <LibLedger/log_clock.hpp>
#include <LibStorage/posix_file_system.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace hyssoploft::control {

struct replica_options
{
    std::string vm;
    std::string data_dir;
    std::vector<std::string> initial_voters; ///< VMs of a new cluster.
    roster_limits limits{};
    consensus::node_options consensus{};
    /// Must outlive the replica. Null: that of the operating system.
    storage::file_system* files = nullptr;
};

/// Callbacks of the replica_driver to its owner.
class replica_environment
{
public:
    virtual ~replica_environment() = default;

    virtual void
    send_consensus(const std::string& vm, const std::string& bytes) = 0;

    /// A committed entry changed the resources.
    virtual void resources_changed() = 0;

    /// A committed entry changed the manifest or the evacuations.
    virtual void manifest_changed() {}

    /// A committed entry recorded the departure of an upstream.
    virtual void departures_changed() {}

    virtual void role_changed(bool leader, std::uint64_t term) = 0;

    /// The disk ran out of space, or has space again.
    virtual void disk_full_changed(bool) {}

    /// The disk failed in another way: the process has to end.
    virtual void storage_failed(const absl::Status& status) = 0;
};

using propose_handler = std::function<void(propose_result)>;

/// The replica of this VM, to which commands can be proposed.
class local_replica
{
public:
    virtual ~local_replica() = default;

    virtual bool is_leader() const = 0;

    /// Empty if no leader is known. May be stale, for example on a learner that
    /// the current leader can't reach.
    virtual std::string leader_vm() const = 0;

    /// Proposes a command; `done` is called once.
    virtual void
    propose(command_kind kind, std::string body, propose_handler done) = 0;
};

class replica_driver final : public local_replica
{
public:
    /// Reads the data directory. Returns errors of file_log_storage::open()
    /// but lack of space, for which the replica waits.
    static absl::StatusOr<std::unique_ptr<replica_driver>> create(
        boost::asio::io_context& control, const replica_options& options,
        replica_environment& environment, core::clock& clock,
        core::random_source& random);

    /// Waits for a pending sync.
    ~replica_driver() override;

    /// Call at least every 50 ms.
    void tick();

    void on_message(const std::string& sender_vm, const std::string& bytes);
    void on_hello(const replica_hello& it);

    /// Whether other replicas may hear of this one. False until its identifier
    /// and what it read from its directory are durable.
    bool is_announceable() const
    {
        return is_durable_;
    }

    /// Whether the disk thread has work whose end is not yet processed.
    bool is_writing() const
    {
        return is_writing_;
    }

    bool is_disk_full() const
    {
        return space_.is_full();
    }

    const replica_hello& hello() const
    {
        return roster_.self();
    }

    void
    propose(command_kind kind, std::string body, propose_handler done) override;

    /// Transfers leadership to another voter once that is up to date, if this
    /// replica is the leader.
    void hand_over_leadership();

    bool is_leader() const override
    {
        return node_->role() == consensus::replica_role::leader;
    }

    std::string leader_vm() const override;

    const consensus::consensus_node& node() const
    {
        return *node_;
    }

    const control_state_machine& state() const
    {
        return state_;
    }

private:
    struct pending_proposal
    {
        std::uint64_t term = 0;
        propose_handler done;
    };

    replica_driver(
        boost::asio::io_context& control, const replica_options& options,
        replica_environment& environment, core::clock& clock);

    void process_node_output();
    /// Runs `write` on the disk thread and passes its result to on_written().
    void start_write(std::function<absl::Status()> write);
    void write_batch();
    void make_durable();
    void on_written(const absl::Status& status);
    void on_refused(const absl::Status& status);
    void repeat_refused_write(core::time_point now);
    void apply(const consensus::log_entry& entry);
    void handle_role_change(const consensus::role_change& change);
    void fail_pending(propose_status status);
    void bootstrap_cluster();
    void update_membership();
    void compact_if_large();
    void advance_log_time();

    boost::asio::io_context& control_io_;
    const replica_options options_;
    replica_environment& environment_;
    core::clock& clock_;
    storage::posix_file_system file_system_;
    // Used by the disk thread only, and by create() before it.
    std::unique_ptr<consensus::file_log_storage> storage_;
    disk_space space_;
    bool is_durable_ = false; // What was loaded is on the disk.
    bool is_writing_ = false; // The disk thread is at work.
    // Set from its emission by the node until it is durable, which is after
    // is_durable_ became true.
    std::shared_ptr<const consensus::persist_batch> batch_;
    std::unique_ptr<consensus::consensus_node> node_;
    control_state_machine state_;
    replica_roster roster_;
    std::map<std::uint64_t, pending_proposal> pending_; // By log index.
    std::optional<ledger::log_clock> log_clock_; // While this replica leads.
    std::uint64_t applied_index_ = 0;
    compaction_rule compaction_;     // Of the entries after the snapshot.
    std::uint64_t leading_term_ = 0; // 0: this replica does not lead.
    core::time_point next_membership_check_{};
    core::time_point next_log_tick_{};
    bool processing_output_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    boost::asio::thread_pool disk_pool_{1};
};

} // namespace hyssoploft::control

#endif
