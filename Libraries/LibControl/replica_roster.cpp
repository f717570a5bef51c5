// Decides on founding a cluster and on replacing replicas.

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
    by_vm_[self_.vm] = {self_, now};
}

void replica_roster::set_has_history(bool has_history)
{
    self_.has_history = has_history;
    by_vm_[self_.vm].hello = self_;
}

void replica_roster::on_hello(const replica_hello& it, core::time_point now)
{
    if (it.vm != self_.vm && it.replica != 0)
    {
        by_vm_[it.vm] = {it, now};
    }
}

bool replica_roster::is_fresh(const heard_hello& it, core::time_point now) const
{
    return it.hello.vm == self_.vm || now - it.at <= hello_lifetime;
}

std::optional<std::vector<consensus::replica_id>>
replica_roster::founding_voters(core::time_point now) const
{
    const auto& declared = self_.initial_voters;
    const bool member =
        std::binary_search(declared.begin(), declared.end(), self_.vm);
    if (self_.has_history || !member)
    {
        return std::nullopt;
    }
    std::vector<consensus::replica_id> out;
    for (const auto& vm : declared)
    {
        const auto found = by_vm_.find(vm);
        if (found == by_vm_.end() || !is_fresh(found->second, now))
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
    for (const auto& [vm, it] : by_vm_)
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
    for (const auto& [vm, it] : by_vm_)
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
    const auto current =
        vm == recorded.end() ? by_vm_.end() : by_vm_.find(vm->second);
    if (current == by_vm_.end() || !is_fresh(current->second, now))
    {
        return false;
    }
    const auto id = current->second.hello.replica;
    return id != old && (members.is_learner(old) || members.is_voter(id));
}

bool replica_roster::replaces_a_voter(
    const std::string& vm, const consensus::membership& members,
    const std::map<consensus::replica_id, std::string>& recorded) const
{
    return std::any_of(
        members.voters.begin(), members.voters.end(), [&](auto voter) {
            const auto found = recorded.find(voter);
            return found != recorded.end() && found->second == vm;
        });
}

bool replica_roster::is_gone(
    consensus::replica_id voter,
    const std::map<consensus::replica_id, std::string>& recorded,
    core::time_point now) const
{
    if (limits_.gone_after <= core::duration() || voter == self_.replica)
    {
        return false;
    }
    const auto vm = vm_of(voter, recorded);
    const auto found = by_vm_.find(vm);
    const auto heard = found == by_vm_.end() ? started_ : found->second.at;
    return now - heard > limits_.gone_after;
}

std::optional<consensus::replica_id> replica_roster::gone_voter_to_replace(
    const consensus::membership& members,
    const std::map<consensus::replica_id, std::string>& recorded,
    const std::function<bool(consensus::replica_id)>& is_caught_up,
    core::time_point now) const
{
    const bool successor = std::any_of(
        members.learners.begin(), members.learners.end(), [&](auto id) {
            const auto vm = vm_of(id, recorded);
            return !vm.empty() && !is_gone(id, recorded, now) &&
                   !replaces_a_voter(vm, members, recorded) && is_caught_up(id);
        });
    if (!successor || members.voters.size() < limits_.max_voters)
    {
        return std::nullopt;
    }
    for (const auto voter : members.voters)
    {
        if (is_gone(voter, recorded, now))
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
    for (const auto* list : {&members.voters, &members.learners})
    {
        for (const auto id : *list)
        {
            if (is_replaced(id, members, recorded, now))
            {
                return consensus::membership_change{
                    membership_change_kind::remove, id};
            }
        }
    }
    // The voter that is gone leaves before its successor votes, so that the
    // quorum does not grow while a voter is missing.
    if (const auto gone =
            gone_voter_to_replace(members, recorded, is_caught_up, now))
    {
        return consensus::membership_change{
            membership_change_kind::remove, *gone};
    }
    // Learners that can vote come before new ones.
    for (const auto& [vm, it] : by_vm_)
    {
        const auto id = it.hello.replica;
        // One more voter than the maximum is allowed while one is replaced.
        const bool room = members.voters.size() < limits_.max_voters ||
                          (members.voters.size() == limits_.max_voters &&
                           replaces_a_voter(vm, members, recorded));
        if (is_fresh(it, now) && members.is_learner(id) && room &&
            is_caught_up(id))
        {
            return consensus::membership_change{
                membership_change_kind::promote, id};
        }
    }
    for (const auto& [vm, it] : by_vm_)
    {
        const auto id = it.hello.replica;
        const bool known = members.is_voter(id) || members.is_learner(id);
        // A replica is recorded first, so that every later leader knows the
        // one that it replaces.
        if (!known && is_fresh(it, now) && !is_gone(id, recorded, now) &&
            recorded.contains(id))
        {
            return consensus::membership_change{
                membership_change_kind::add_learner, id};
        }
    }
    return std::nullopt;
}

} // namespace hyssoploft::control
