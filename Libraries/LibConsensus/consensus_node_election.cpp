// Roles, elections, the leader's quorum check and leadership transfer.

#include <LibConsensus/consensus_node.hpp>

#include <LibCore/log_line.hpp>

#include <glog/logging.h>

namespace hyssoploft::consensus {

void consensus_node::set_role(replica_role role, replica_id leader)
{
    const bool changed = role != role_ || leader != leader_;
    role_ = role;
    leader_ = leader;
    if (changed)
    {
        out_.roles.push_back({role, state_.term, leader});
    }
}

void consensus_node::reset_election_deadline()
{
    set_election_deadline(options_.election_timeout_min);
}

void consensus_node::set_election_deadline(core::duration min)
{
    const auto span = static_cast<std::uint64_t>(
        (options_.election_timeout_max - options_.election_timeout_min)
            .count());
    const auto extra = span > 0 ? random_.below(span) : 0;
    election_deadline_ =
        now_ + min + core::duration(static_cast<core::duration::rep>(extra));
}

void consensus_node::become_follower(std::uint64_t term, replica_id leader)
{
    CHECK_GE(term, state_.term);
    if (term > state_.term)
    {
        state_ = {term, 0};
        state_dirty_ = true;
        verified_index_ = 0;
        incoming_snapshot_.reset();
        leader_ = 0;
    }
    if (is_leader())
    {
        drop_leader_state();
    }
    if (role_ != replica_role::follower)
    {
        reset_election_deadline();
    }
    granted_votes_.clear();
    set_role(replica_role::follower, leader);
}

void consensus_node::drop_leader_state()
{
    for (const auto& it : reads_)
    {
        out_.reads.push_back({it.id, std::nullopt});
    }
    reads_.clear();
    peers_.clear();
    transfer_.reset();
    read_round_requested_ = false;
    entries_to_send_ = false;
    uncommitted_bytes_ = 0;
}

void consensus_node::start_pre_vote()
{
    reset_election_deadline();
    if (!members().is_voter(self_))
    {
        return;
    }
    set_role(replica_role::pre_candidate, 0);
    granted_votes_ = {self_};
    if (has_vote_quorum())
    {
        start_election(false);
        return;
    }
    for (const auto it : members().voters)
    {
        if (it != self_)
        {
            send(it, vote_request{state_.term + 1, log_.last(), true, false});
        }
    }
}

void consensus_node::start_election(bool transfer)
{
    state_ = {state_.term + 1, self_};
    state_dirty_ = true;
    verified_index_ = 0;
    incoming_snapshot_.reset();
    granted_votes_.clear();
    reset_election_deadline();
    set_role(replica_role::candidate, 0);
    for (const auto it : members().voters)
    {
        if (it == self_)
        {
            // The replica's own vote counts only once it is durable.
            send_when_durable(it, vote_response{state_.term, false, true});
        }
        else
        {
            send_when_durable(
                it, vote_request{state_.term, log_.last(), false, transfer});
        }
    }
}

void consensus_node::become_leader()
{
    set_role(replica_role::leader, self_);
    granted_votes_.clear();
    read_round_ = 0;
    uncommitted_bytes_ = log_.bytes_after(commit_index_);
    update_peers();
    append_local(entry_kind::no_op, {});
    first_index_of_term_ = log_.last().index;
    next_heartbeat_ = now_ + options_.heartbeat;
    LOG(INFO) << core::log_line("leader_elected")
                     .with("replica", self_)
                     .with("term", state_.term);
}

bool consensus_node::has_leader_contact() const
{
    return is_leader() || (leader_ != 0 && now_ - leader_contact_ <
                                               options_.election_timeout_min);
}

bool consensus_node::has_vote_quorum() const
{
    std::size_t n = 0;
    for (const auto it : members().voters)
    {
        n += granted_votes_.count(it);
    }
    return n >= members().quorum();
}

void consensus_node::handle(replica_id from, const vote_request& it)
{
    if (has_leader_contact() && !it.transfer)
    {
        return;
    }
    if (!it.pre_vote && it.term > state_.term)
    {
        become_follower(it.term, 0);
    }
    const log_position last = log_.last();
    const bool up_to_date =
        it.last.term > last.term ||
        (it.last.term == last.term && it.last.index >= last.index);
    if (it.pre_vote)
    {
        // A replica that can't store its vote would only delay the election.
        const bool granted =
            up_to_date && it.term > state_.term && !storage_full_;
        send(
            from,
            vote_response{granted ? it.term : state_.term, true, granted});
        return;
    }
    const bool granted = up_to_date && it.term == state_.term &&
                         (state_.voted_for == 0 || state_.voted_for == from);
    if (granted)
    {
        state_dirty_ = state_dirty_ || state_.voted_for == 0;
        state_.voted_for = from;
        reset_election_deadline();
    }
    send_when_durable(from, vote_response{state_.term, false, granted});
}

void consensus_node::handle(replica_id from, const vote_response& it)
{
    if (it.term > state_.term && !(it.pre_vote && it.granted))
    {
        become_follower(it.term, 0);
        return;
    }
    const bool awaited =
        it.pre_vote
            ? role_ == replica_role::pre_candidate && it.term == state_.term + 1
            : role_ == replica_role::candidate && it.term == state_.term;
    if (!awaited || !it.granted || !members().is_voter(from))
    {
        return;
    }
    granted_votes_.insert(from);
    if (!has_vote_quorum())
    {
        return;
    }
    if (it.pre_vote)
    {
        start_election(false);
    }
    else
    {
        become_leader();
    }
}

void consensus_node::handle(replica_id from, const transfer_request& it)
{
    if (it.term == state_.term && from == leader_ &&
        members().is_voter(self_) && !storage_full_)
    {
        start_election(true);
    }
}

bool consensus_node::has_quorum_contact() const
{
    std::size_t n = members().is_voter(self_) ? 1 : 0;
    for (const auto& [id, peer] : peers_)
    {
        if (members().is_voter(id) &&
            now_ - peer.last_contact < options_.election_timeout_min)
        {
            ++n;
        }
    }
    return n >= members().quorum();
}

void consensus_node::tick_leader()
{
    if (!has_quorum_contact())
    {
        LOG(WARNING) << core::log_line("leader_lost_quorum")
                            .with("replica", self_)
                            .with("term", state_.term);
        become_follower(state_.term, 0);
        return;
    }
    if (transfer_ && now_ >= transfer_->deadline)
    {
        transfer_.reset();
    }
    if (storage_full_ && !transfer_)
    {
        give_up_leadership();
        if (!is_leader())
        {
            return;
        }
    }
    if (now_ >= next_heartbeat_)
    {
        next_heartbeat_ = now_ + options_.heartbeat;
        broadcast(true);
        advance_transfer();
    }
}

void consensus_node::set_storage_full(bool full, core::time_point now)
{
    advance_time(now);
    if (storage_full_ == full)
    {
        return;
    }
    storage_full_ = full;
    handover_tried_ = false;
    if (is_leader())
    {
        if (full && !transfer_)
        {
            give_up_leadership();
        }
        return;
    }
    // With space again, the leader of the others has the time of one timeout
    // to be heard before this replica starts an election.
    reset_election_deadline();
    if (!full)
    {
        return;
    }
    // The requests for votes of a candidate would disturb a later leader.
    std::erase_if(deferred_messages_, [this](const deferred_message& it) {
        return it.it.to == self_ ||
               std::holds_alternative<vote_request>(it.it.body);
    });
    if (role_ != replica_role::follower)
    {
        become_follower(state_.term, 0);
    }
}

std::optional<replica_id> consensus_node::best_successor() const
{
    std::optional<replica_id> best;
    std::uint64_t best_index = 0;
    for (const auto& [id, peer] : peers_)
    {
        const bool is_reachable =
            now_ - peer.last_contact < options_.election_timeout_min;
        if (members().is_voter(id) && is_reachable &&
            (!best || peer.durable_index > best_index))
        {
            best = id;
            best_index = peer.durable_index;
        }
    }
    return best;
}

void consensus_node::give_up_leadership()
{
    const auto successor = best_successor();
    if (!handover_tried_ && successor)
    {
        handover_tried_ = true;
        if (transfer_leadership(*successor).ok())
        {
            return;
        }
    }
    LOG(WARNING) << core::log_line("leader_without_space")
                        .with("replica", self_)
                        .with("term", state_.term);
    become_follower(state_.term, 0);
}

absl::Status consensus_node::transfer_leadership(replica_id target)
{
    if (!is_leader())
    {
        return absl::UnavailableError("this replica is not the leader");
    }
    if (target == self_ || !members().is_voter(target))
    {
        return absl::InvalidArgumentError("the target is not another voter");
    }
    transfer_ = {target, now_ + options_.election_timeout_min};
    advance_transfer();
    return absl::OkStatus();
}

void consensus_node::advance_transfer()
{
    if (!transfer_)
    {
        return;
    }
    const auto it = peers_.find(transfer_->target);
    if (it == peers_.end())
    {
        transfer_.reset();
    }
    else if (it->second.durable_index == log_.last().index)
    {
        send(it->first, transfer_request{state_.term});
    }
}

} // namespace hyssoploft::consensus
