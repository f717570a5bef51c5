#ifndef HYSSOPLOFT_TESTS_LIBCONSENSUS_CLUSTER_HPP
#define HYSSOPLOFT_TESTS_LIBCONSENSUS_CLUSTER_HPP

// Simulated cluster: replicas on a fake network and fake disks in simulated
// time, deterministic for a seed. Each step checks that all replicas apply the
// same entry at each index and that each term has at most one leader. The
// loss of accepted commands is checked by is_converged().

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

/// State machine that records the commands in the order of application.
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
    // Random delays in this range reorder messages.
    core::duration max_delay = milliseconds(30);
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
        std::unique_ptr<consensus::consensus_node> node; // Null while stopped.
        command_list machine;
        std::uint64_t applied = 0;
        double clock_rate = 1; // Local time per unit of simulated time.
        std::optional<consensus::persist_batch> writing;
        bool is_loaded = true; // False until its directory is durable.
        core::duration write_due{};
        std::map<std::uint64_t, std::optional<std::uint64_t>> reads;
    };

    /// Starts replicas 0 to `voters` - 1 as the initial voters.
    cluster(std::uint64_t seed, std::size_t voters);

    /// Starts a replica with an empty disk; returns its number.
    std::size_t add();
    void crash(std::size_t n);
    /// Starts a replica from its disk; false if its storage can't be opened.
    /// On a full disk it waits for space before it takes part.
    bool restart(std::size_t n);
    /// The disk refuses every write, or accepts them again.
    void set_full(std::size_t n, bool full);
    /// Replaces the replica by a new one with an empty disk.
    void lose_disk(std::size_t n);
    void set_link(std::size_t from, std::size_t to, bool up);
    /// Cuts or restores both directions between this replica and all others.
    void isolate(std::size_t n, bool isolated);

    void run(core::duration d);
    /// Runs until `done` returns true, for at most `bound`; whether it did.
    bool run_until(const std::function<bool()>& done, core::duration bound);

    /// The leader with the highest term among the running replicas.
    std::optional<std::size_t> leader() const;
    std::size_t wait_for_leader();
    /// Proposes on the leader; false without a leader or if it rejects it.
    bool propose(const std::string& command);
    /// Proposes the command and waits for its commit. Proposes it again with a
    /// suffix if a new leader may have dropped it.
    bool commit(const std::string& command, core::duration bound);
    bool is_accepted(const std::string& command) const
    {
        return accepted.contains(command);
    }
    /// Makes a membership change and waits until it is committed.
    bool change(
        consensus::membership_change_kind kind, replica_id id,
        core::duration bound = std::chrono::seconds(20));
    void compact(std::size_t n);
    /// True if all running members have applied the same commands, which
    /// contain each accepted command exactly once.
    bool is_converged() const;

    std::vector<replica> replicas;
    network_faults faults;
    consensus::node_options options;
    core::duration now{};
    core::seeded_random random;
    std::set<std::string> accepted; // Committed at the position proposed.
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
    void finish_write(std::size_t n);
    bool is_running(const replica& it) const
    {
        return it.node && it.is_loaded;
    }
    void step();
    void process_output(std::size_t n);
    void send(std::size_t from, const consensus::message& it);
    void apply(replica& it, const consensus::log_entry& entry);

    std::vector<replica_id> initial_voters_; // Passed to bootstrap().
    std::multimap<core::duration, delivery> in_transit_;
    std::set<std::pair<std::size_t, std::size_t>> cut_links_;
    std::map<std::uint64_t, consensus::log_entry> applied_entries_; // By index.
    std::map<std::uint64_t, replica_id> leaders_by_term_;           // By term.
    // Proposed commands by the position that the leader assigned.
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::string>
        proposed_commands_;
};

} // namespace hyssoploft::tests

#endif
