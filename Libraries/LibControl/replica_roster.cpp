// Decides on bootstrapping a cluster and on replacing replicas.

#include <LibControl/replica_roster.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::control {

namespace {

using consensus::membership_change_kind;

} // namespace

replica_roster::replica_roster(
    replica_hello self, core::time_point now, roster_limits limits)
    : self_(std::move(self)), limits_(limits), started_(now)
{
    std::sort(self_.initial_voters.begin(), self_.initial_voters.end());
    hellos_by_vm_[self_.vm] = {self_, now};
}

void replica_roster::set_has_history(bool has_history)
{
    self_.has_history = has_history;
    hellos_by_vm_[self_.vm].hello = self_;
}

void replica_roster::on_hello(const replica_hello& it, core::time_point now)
{
    if (it.vm != self_.vm && it.replica != 0)
    {
        hellos_by_vm_[it.vm] = {it, now};
    }
}

bool replica_roster::is_fresh(
    const received_hello& it, core::time_point now) const
{
    return it.hello.vm == self_.vm || now - it.received_at <= hello_lifetime;
}

std::optional<std::vector<consensus::replica_id>>
replica_roster::bootstrap_voters(core::time_point now) const
{
    const auto& declared = self_.initial_voters;
    const bool is_declared =
        std::binary_search(declared.begin(), declared.end(), self_.vm);
    if (self_.has_history || !is_declared)
    {
        return std::nullopt;
    }
    std::vector<consensus::replica_id> out;
    for (const auto& vm : declared)
    {
        const auto found = hellos_by_vm_.find(vm);
        if (found == hellos_by_vm_.end() || !is_fresh(found->second, now))
        {
            return std::nullopt;
        }
        const auto& hello = found->second.hello;
        if (hello.has_history || hello.initial_voters != declared)
        {
            return std::nullopt;
        }
        out.push_back(hello.replica);
    }
    std::sort(out.begin(), out.end());
    return out;
}

std::string replica_roster::vm_of(
    consensus::replica_id id,
    const std::map<consensus::replica_id, std::string>& recorded) const
{
    for (const auto& [vm, it] : hellos_by_vm_)
    {
        if (it.hello.replica == id)
        {
            return vm;
        }
    }
    const auto found = recorded.find(id);
    return found == recorded.end() ? std::string() : found->second;
}

std::vector<replica_entry> replica_roster::unrecorded(
    const std::map<consensus::replica_id, std::string>& recorded,
    core::time_point now) const
{
    std::vector<replica_entry> out;
    for (const auto& [vm, it] : hellos_by_vm_)
    {
        if (is_fresh(it, now) && !recorded.contains(it.hello.replica))
        {
            out.push_back({it.hello.replica, vm});
        }
    }
    return out;
}

bool replica_roster::is_replaced(
    consensus::replica_id old, const consensus::membership& members,
    const std::map<consensus::replica_id, std::string>& recorded,
    core::time_point now) const
{
    const auto vm = recorded.find(old);
    const auto current = vm == recorded.end() ? hellos_by_vm_.end()
                                              : hellos_by_vm_.find(vm->second);
    if (current == hellos_by_vm_.end() || !is_fresh(current->second, now))
    {
        return false;
    }
    const auto id = current->second.hello.replica;
    return id != old && (members.is_learner(old) || members.is_voter(id));
}

bool replica_roster::replaces_voter(
    const std::string& vm, const consensus::membership& members,
    const std::map<consensus::replica_id, std::string>& recorded) const
{
    return std::any_of(
        members.voters.begin(), members.voters.end(), [&](auto voter) {
            const auto found = recorded.find(voter);
            return found != recorded.end() && found->second == vm;
        });
}

bool replica_roster::is_silent(
    consensus::replica_id voter,
    const std::map<consensus::replica_id, std::string>& recorded,
    core::time_point now) const
{
    if (limits_.voter_silence_timeout <= core::duration() ||
        voter == self_.replica)
    {
        return false;
    }
    const auto vm = vm_of(voter, recorded);
    const auto found = hellos_by_vm_.find(vm);
    const auto last_received =
        found == hellos_by_vm_.end() ? started_ : found->second.received_at;
    return now - last_received > limits_.voter_silence_timeout;
}

std::optional<consensus::replica_id> replica_roster::silent_voter_to_replace(
    const consensus::membership& members,
    const std::map<consensus::replica_id, std::string>& recorded,
    const std::function<bool(consensus::replica_id)>& is_caught_up,
    core::time_point now) const
{
    const bool successor = std::any_of(
        members.learners.begin(), members.learners.end(), [&](auto id) {
            const auto vm = vm_of(id, recorded);
            return !vm.empty() && !is_silent(id, recorded, now) &&
                   !replaces_voter(vm, members, recorded) && is_caught_up(id);
        });
    if (!successor || members.voters.size() < limits_.max_voters)
    {
        return std::nullopt;
    }
    for (const auto voter : members.voters)
    {
        if (is_silent(voter, recorded, now))
        {
            return voter;
        }
    }
    return std::nullopt;
}

std::optional<consensus::membership_change> replica_roster::next_change(
    const consensus::membership& members,
    const std::map<consensus::replica_id, std::string>& recorded,
    const std::function<bool(consensus::replica_id)>& is_caught_up,
    core::time_point now) const
{
    for (const auto* replicas : {&members.voters, &members.learners})
    {
        for (const auto id : *replicas)
        {
            if (is_replaced(id, members, recorded, now))
            {
                return consensus::membership_change{
                    membership_change_kind::remove, id};
            }
        }
    }
    // A silent voter is removed before its successor is promoted, so that the
    // quorum does not grow while a voter is unavailable.
    if (const auto silent_voter =
            silent_voter_to_replace(members, recorded, is_caught_up, now))
    {
        return consensus::membership_change{
            membership_change_kind::remove, *silent_voter};
    }
    // Promotions come before new learners.
    for (const auto& [vm, it] : hellos_by_vm_)
    {
        const auto id = it.hello.replica;
        // Allows one voter above the maximum while one is replaced.
        const bool has_room = members.voters.size() < limits_.max_voters ||
                              (members.voters.size() == limits_.max_voters &&
                               replaces_voter(vm, members, recorded));
        if (is_fresh(it, now) && members.is_learner(id) && has_room &&
            is_caught_up(id))
        {
            return consensus::membership_change{
                membership_change_kind::promote, id};
        }
    }
    for (const auto& [vm, it] : hellos_by_vm_)
    {
        const auto id = it.hello.replica;
        const bool known = members.is_voter(id) || members.is_learner(id);
        // A replica is recorded in the log first, so that every later leader
        // knows which one it replaces.
        if (!known && is_fresh(it, now) && !is_silent(id, recorded, now) &&
            recorded.contains(id))
        {
            return consensus::membership_change{
                membership_change_kind::add_learner, id};
        }
    }
    return std::nullopt;
}

} // namespace hyssoploft::control
