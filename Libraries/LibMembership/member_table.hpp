#ifndef HYSSOPLOFT_LIBMEMBERSHIP_MEMBER_TABLE_HPP
#define HYSSOPLOFT_LIBMEMBERSHIP_MEMBER_TABLE_HPP

// Table of the VMs known to this VM. Merging updates gives the same result in
// any order.

#include <LibCore/random_source.hpp>
#include <LibCore/time.hpp>
#include <LibMembership/broadcast_queue.hpp>
#include <LibMembership/messages.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hyssoploft::membership {

struct member
{
    vm_record record;
    std::uint64_t id_hash = 0;
    core::time_point last_heard{};        ///< Last message from the VM itself.
    core::time_point state_changed{};     ///< Last change of state.
    core::time_point suspect_until{};     ///< Valid while suspect.
    core::time_point next_confirmation{}; ///< Valid while suspect.
    bool left_gracefully = false; ///< Dead after announcing that it leaves.
};

class member_table
{
public:
    /// Twice the largest supported fleet, so that tombstones of replaced VMs
    /// fit.
    static constexpr std::size_t max_members = 1024;

    /// Time for which a dead VM is kept and outdated updates about it are
    /// rejected. Partitions of up to an hour are expected; both sides must
    /// still know each other's addresses afterwards.
    static constexpr core::duration tombstone_retention = std::chrono::hours(2);

    member_table(vm_record self, core::duration suspicion_timeout)
        : self_(std::move(self)), suspicion_timeout_(suspicion_timeout),
          queue_(max_members)
    {
        queue_.push(self_.id);
    }

    /// Merges an update. The higher incarnation wins; within one incarnation
    /// the precedence is alive, suspect, leaving, dead. A false state of this
    /// VM is refuted by a higher incarnation. True if the table changed.
    bool apply(const member_update& it, core::time_point now);

    /// Merges the record that a VM sent about itself in its own message.
    bool apply_self_report(const member_update& it, core::time_point now);

    /// Sets a state that this VM detected itself.
    void declare(member& it, vm_state state, core::time_point now);

    void drop_tombstones(core::time_point now);

    const vm_record& self() const
    {
        return self_;
    }

    /// Changes this VM's record and broadcasts it under a new incarnation.
    void update_self(const std::function<void(vm_record&)>& change);

    /// Version in force at this VM; only its own messages carry it.
    void set_config_version(std::uint64_t version)
    {
        self_.config_version = version;
        ++changes_;
    }

    /// Counts the changes that are visible in a fleet_view.
    std::uint64_t changes() const
    {
        return changes_;
    }

    member_update self_update() const;
    member_update update_of(const member& it, bool state_only) const;

    member* find(const std::string& id);
    const member* find(const std::string& id) const;

    std::map<std::string, member>& members()
    {
        return members_;
    }

    const std::map<std::string, member>& members() const
    {
        return members_;
    }

    /// Number of members that aren't dead, without this VM.
    std::size_t live_count() const
    {
        return live_count_;
    }

    /// Up to `n` random members that satisfy the predicate.
    std::vector<const member*> pick_random(
        std::size_t n, core::random_source& random,
        const std::function<bool(const member&)>& accept) const;

    /// Covers live members and this VM; alive and suspect count as equal.
    bucket_digests digests() const;

    /// Appends the rows of a bucket, including tombstones and this VM.
    void append_rows(std::size_t bucket, std::vector<table_row>& out) const;

    broadcast_queue<std::string>& queue()
    {
        return queue_;
    }

private:
    void refute(const member_update& it);
    void set_state(member& it, vm_state state, core::time_point now);

    vm_record self_;
    core::duration suspicion_timeout_;
    std::map<std::string, member>
        members_; // Without self; at most max_members.
    std::uint64_t changes_ = 0;
    std::size_t live_count_ = 0; // Members that aren't dead.
    broadcast_queue<std::string> queue_;
};

/// True if (incarnation, state) of a takes precedence over that of b.
bool is_newer(
    std::uint64_t incarnation_a, vm_state a, std::uint64_t incarnation_b,
    vm_state b);

} // namespace hyssoploft::membership

#endif
