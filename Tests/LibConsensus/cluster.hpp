#ifndef HYSSOPLOFT_TESTS_LIBCONSENSUS_CLUSTER_HPP
#define HYSSOPLOFT_TESTS_LIBCONSENSUS_CLUSTER_HPP

// A handful of replicas on a fake network and fake disks, driven by a seeded
// schedule. It checks on every step that no index and no term is decided
// twice, and that accepted commands stay.

#include <LibConsensus/consensus_node.hpp>
#include <LibConsensus/file_log_storage.hpp>
#include <LibConsensus/replicated_state_machine.hpp>
#include <Support/fake_file_system.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hyssoploft::tests {

using consensus::replica_id;
using std::chrono::milliseconds;

/// Keeps the commands in the order in which they were applied.
class command_list final : public consensus::replicated_state_machine
{
public:
    std::string apply(std::uint64_t index, std::string_view command) override;
    std::string take_snapshot() override;
    absl::Status install_snapshot(std::string_view bytes) override;

    std::vector<std::string> commands;
};

struct network_faults
{
    double loss = 0;
    double repeat = 0;
    core::duration min_delay = milliseconds(2);
    core::duration max_delay = milliseconds(30); // Reorders within the range.
    core::duration max_sync = milliseconds(5);
};

class cluster
{
public:
    struct replica
    {
        replica_id id = 0;
        std::unique_ptr<fake_file_system> disk;
        std::unique_ptr<consensus::file_log_storage> storage;
        std::unique_ptr<consensus::consensus_node> node; // Null: down.
        command_list machine;
        std::uint64_t applied = 0;
        double clock_rate = 1; // Local time for each unit of true time.
        std::optional<consensus::persist_batch> writing;
        core::duration write_due{};
        std::map<std::uint64_t, std::optional<std::uint64_t>> reads;
    };

    /// Starts `voters` replicas at positions 0, 1, ...
    cluster(std::uint64_t seed, std::size_t voters);

    /// Starts a replica with an empty disk; returns its position.
    std::size_t add();
    void crash(std::size_t n);
    /// Starts a replica from what its disk holds; false if it refuses.
    bool restart(std::size_t n);
    /// Starts a replica with an empty disk in place of this one.
    void lose_disk(std::size_t n);
    void set_link(std::size_t from, std::size_t to, bool up);
    /// Cuts both ways between this replica and all others, or heals.
    void isolate(std::size_t n, bool isolated);

    void run(core::duration d);
    /// Runs until `done` or the bound; true if done.
    bool run_until(const std::function<bool()>& done, core::duration bound);

    /// The leader with the highest term among the running replicas.
    std::optional<std::size_t> leader() const;
    std::size_t wait_for_leader();
    /// Proposes on the leader; false if it was refused.
    bool propose(const std::string& command);
    /// Proposes the command and waits for its commit; proposes it again under
    /// another name when a new leader may have dropped it.
    bool commit(const std::string& command, core::duration bound);
    bool is_accepted(const std::string& command) const
    {
        return accepted.contains(command);
    }
    /// Starts a membership change and waits until it is committed.
    bool change(
        consensus::membership_change_kind kind, replica_id id,
        core::duration bound = std::chrono::seconds(20));
    void compact(std::size_t n);
    /// True once every running member has applied the same commands, among
    /// them each accepted one exactly once.
    bool is_converged() const;

    std::vector<replica> replicas;
    network_faults faults;
    consensus::node_options options;
    core::duration now{};
    core::seeded_random random;
    std::set<std::string> accepted; // Reported as committed to a proposer.
    std::size_t messages = 0;
    std::size_t largest_message = 0;
    std::size_t snapshot_parts = 0;

private:
    struct delivery
    {
        std::size_t from;
        replica_id to;
        std::string bytes;
    };

    core::time_point local_time(const replica& it) const;
    void step();
    void process(std::size_t n);
    void post(std::size_t from, const consensus::message& it);
    void apply(replica& it, const consensus::log_entry& entry);

    std::vector<replica_id> declared_; // Voters of the new cluster.
    std::multimap<core::duration, delivery> in_transit_;
    std::set<std::pair<std::size_t, std::size_t>> cut_;
    std::map<std::uint64_t, consensus::log_entry> decided_; // By index.
    std::map<std::uint64_t, replica_id> leaders_;           // By term.
    // Commands proposed, by the position the leader gave them.
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::string> proposed_;
};

} // namespace hyssoploft::tests

#endif
