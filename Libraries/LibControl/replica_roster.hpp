#ifndef HYSSOPLOFT_LIBCONTROL_REPLICA_ROSTER_HPP
#define HYSSOPLOFT_LIBCONTROL_REPLICA_ROSTER_HPP

// Tracks which replica runs on which control VM, from their hello messages, and
// decides whether a new cluster can be bootstrapped and which membership change
// the leader makes next. Does no I/O.

#include <LibConsensus/membership.hpp>
#include <LibControl/control_messages.hpp>
#include <LibCore/time.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssoploft::control {

struct roster_limits
{
    std::size_t max_voters = 7;
    /// A voter without a hello for this time is removed once a caught-up
    /// learner on another VM can replace it; 0: never.
    core::duration voter_silence_timeout{};
};

class replica_roster
{
public:
    /// `self` describes the replica of this VM.
    replica_roster(
        replica_hello self, core::time_point now, roster_limits limits = {});

    void set_has_history(bool has_history);

    const replica_hello& self() const
    {
        return self_;
    }

    void on_hello(const replica_hello& it, core::time_point now);

    /// The voters of a new cluster, once every declared initial voter has sent
    /// a hello, all declare the same set and all logs are empty. A VM that
    /// lost its disk therefore never bootstraps a second cluster.
    std::optional<std::vector<consensus::replica_id>>
    bootstrap_voters(core::time_point now) const;

    /// The VM of a replica according to its last hello, else as `recorded` in
    /// the log. Empty if unknown.
    std::string vm_of(
        consensus::replica_id id,
        const std::map<consensus::replica_id, std::string>& recorded) const;

    /// Replicas with a hello within hello_lifetime that the log does not
    /// record.
    std::vector<replica_entry> unrecorded(
        const std::map<consensus::replica_id, std::string>& recorded,
        core::time_point now) const;

    /// The next change that the leader should make, if any: a new replica is
    /// added as a learner, promoted to voter when it has caught up, and then
    /// the replica that it replaces on the same VM is removed. A learner whose
    /// VM has a newer replica is removed at once, because it has no vote.
    std::optional<consensus::membership_change> next_change(
        const consensus::membership& members,
        const std::map<consensus::replica_id, std::string>& recorded,
        const std::function<bool(consensus::replica_id)>& is_caught_up,
        core::time_point now) const;

    static constexpr std::chrono::seconds hello_lifetime{5};

private:
    struct received_hello
    {
        replica_hello hello;
        core::time_point received_at{};
    };

    bool is_fresh(const received_hello& it, core::time_point now) const;
    bool is_silent(
        consensus::replica_id voter,
        const std::map<consensus::replica_id, std::string>& recorded,
        core::time_point now) const;
    std::optional<consensus::replica_id> silent_voter_to_replace(
        const consensus::membership& members,
        const std::map<consensus::replica_id, std::string>& recorded,
        const std::function<bool(consensus::replica_id)>& is_caught_up,
        core::time_point now) const;
    bool is_replaced(
        consensus::replica_id old, const consensus::membership& members,
        const std::map<consensus::replica_id, std::string>& recorded,
        core::time_point now) const;
    bool replaces_voter(
        const std::string& vm, const consensus::membership& members,
        const std::map<consensus::replica_id, std::string>& recorded) const;

    replica_hello self_;
    roster_limits limits_;
    core::time_point started_;
    std::map<std::string, received_hello> hellos_by_vm_; // Includes this VM.
};

} // namespace hyssoploft::control

#endif
