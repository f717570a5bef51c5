#ifndef HYSSOPLOFT_LIBCONTROL_REPLICA_ROSTER_HPP
#define HYSSOPLOFT_LIBCONTROL_REPLICA_ROSTER_HPP

// Which replica runs on which control VM, as their introductions say, and the
// two decisions that follow from it: whether a new cluster can be formed, and
// which membership change the leader makes next. Pure.

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
    /// A voter that was silent so long is removed once a caught-up learner on
    /// another VM can take its place; 0: never.
    core::duration gone_after{};
};

class replica_roster
{
public:
    /// `self` introduces this VM's own replica.
    replica_roster(
        replica_hello self, core::time_point now, roster_limits limits = {});

    void set_has_history(bool has_history);

    const replica_hello& self() const
    {
        return self_;
    }

    void on_hello(const replica_hello& it, core::time_point now);

    /// The voters of a new cluster, once every declared initial voter was
    /// heard of, all declare the same set, and none has any history. A VM
    /// that lost its disk therefore never founds a second cluster.
    std::optional<std::vector<consensus::replica_id>>
    founding_voters(core::time_point now) const;

    /// The VM of a replica: as it introduced itself last, else as `recorded`
    /// in the log. Empty if it is not known.
    std::string vm_of(
        consensus::replica_id id,
        const std::map<consensus::replica_id, std::string>& recorded) const;

    /// Replicas heard of within hello_lifetime that the log does not record.
    std::vector<replica_entry> unrecorded(
        const std::map<consensus::replica_id, std::string>& recorded,
        core::time_point now) const;

    /// The next change that the leader should make, if any: a new replica
    /// becomes a learner, one that caught up becomes a voter, and the replica
    /// that it replaces on the same VM is removed after that. A learner whose
    /// VM has a newer replica is removed at once: it has no vote.
    std::optional<consensus::membership_change> next_change(
        const consensus::membership& members,
        const std::map<consensus::replica_id, std::string>& recorded,
        const std::function<bool(consensus::replica_id)>& is_caught_up,
        core::time_point now) const;

    static constexpr std::chrono::seconds hello_lifetime{5};

private:
    struct heard_hello
    {
        replica_hello hello;
        core::time_point at{};
    };

    bool is_fresh(const heard_hello& it, core::time_point now) const;
    bool is_gone(
        consensus::replica_id voter,
        const std::map<consensus::replica_id, std::string>& recorded,
        core::time_point now) const;
    std::optional<consensus::replica_id> gone_voter_to_replace(
        const consensus::membership& members,
        const std::map<consensus::replica_id, std::string>& recorded,
        const std::function<bool(consensus::replica_id)>& is_caught_up,
        core::time_point now) const;
    bool is_replaced(
        consensus::replica_id old, const consensus::membership& members,
        const std::map<consensus::replica_id, std::string>& recorded,
        core::time_point now) const;
    bool replaces_a_voter(
        const std::string& vm, const consensus::membership& members,
        const std::map<consensus::replica_id, std::string>& recorded) const;

    replica_hello self_;
    roster_limits limits_;
    core::time_point started_;
    std::map<std::string, heard_hello> by_vm_; // This VM included.
};

} // namespace hyssoploft::control

#endif
