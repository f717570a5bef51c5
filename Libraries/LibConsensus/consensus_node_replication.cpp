// Appends, commit index and confirmation of reads.

#include <LibConsensus/consensus_node.hpp>

#include <glog/logging.h>

#include <algorithm>

namespace hyssoploft::consensus {

void consensus_node::on(replica_id from, const append_request& it)
{
    if (it.term < state_.term)
    {
        reject(from, it);
        return;
    }
    CHECK(it.term > state_.term || !is_leader()) << "two leaders in one term";
    become_follower(it.term, from);
    leader_contact_ = now_;
    reset_election_deadline();
    if (!take_entries(it))
    {
        reject(from, it);
        return;
    }
    commit_index_ =
        std::max(commit_index_, std::min(it.commit_index, verified_index_));
    respond(from, it.read_round);
}

/// False if the previous entry differs or the request is malformed.
bool consensus_node::take_entries(const append_request& it)
{
    log_position last = it.previous;
    std::vector<std::pair<std::uint64_t, membership>> found;
    for (const auto& entry : it.entries)
    {
        if (entry.position.index != last.index + 1 ||
            entry.position.term < last.term || entry.position.term > it.term)
        {
            return false;
        }
        last = entry.position;
        if (entry.kind == entry_kind::membership)
        {
            auto members = decode_membership(entry.bytes);
            if (!members.ok())
            {
                return false;
            }
            found.emplace_back(last.index, std::move(*members));
        }
    }
    // The log up to the base is committed, so it equals the leader's.
    const std::uint64_t base = log_.base().index;
    if (it.previous.index >= base &&
        log_.term_at(it.previous.index) != it.previous.term)
    {
        return false;
    }
    if (!has_base_ && !adopt_founding(it))
    {
        return false;
    }
    auto members = found.begin();
    for (const auto& entry : it.entries)
    {
        const std::uint64_t index = entry.position.index;
        const bool has_members = entry.kind == entry_kind::membership;
        const auto term = log_.term_at(index);
        if (index > base && term != entry.position.term)
        {
            if (term)
            {
                truncate(index);
            }
            log_.append(entry);
            if (has_members)
            {
                members_.append(index, std::move(members->second));
            }
        }
        members += has_members ? 1 : 0;
    }
    verified_index_ = std::max(verified_index_, last.index);
    return true;
}

/// Without the declared voters a replica would take entries and never stand
/// for election. False if the request does not hold them: the leader then goes
/// back to the first entry.
bool consensus_node::adopt_founding(const append_request& it)
{
    const bool valid = it.previous.index == 0 && !it.founding.voters.empty() &&
                       it.founding.voters.size() <= max_replicas;
    if (!valid)
    {
        return false;
    }
    base_.members = it.founding;
    members_.reset(0, base_.members);
    has_base_ = true;
    base_dirty_ = true;
    return true;
}

void consensus_node::respond(replica_id to, std::uint64_t read_round)
{
    append_response it;
    it.term = state_.term;
    it.accepted = true;
    it.matched_index = verified_index_;
    it.durable_index = std::min(verified_index_, synced_index_);
    it.read_round = read_round;
    // The term must be durable: a replica that forgot it after a crash could
    // take entries of an older leader in place of those reported here.
    send_when_durable(to, std::move(it));
}

void consensus_node::reject(replica_id to, const append_request& it)
{
    append_response response;
    response.term = state_.term;
    response.previous_index = it.previous.index;
    response.read_round = it.term == state_.term ? it.read_round : 0;
    // Skips the whole of each term that can't match in one step.
    std::uint64_t index = log_.last().index;
    if (it.previous.index > 0)
    {
        index = std::min(index, it.previous.index - 1);
    }
    index = std::max(index, log_.base().index);
    while (index > log_.base().index && *log_.term_at(index) > it.previous.term)
    {
        --index;
    }
    response.hint = {index, *log_.term_at(index)};
    send_when_durable(to, std::move(response));
}

void consensus_node::on(replica_id from, const append_response& it)
{
    if (it.term > state_.term)
    {
        become_follower(it.term, 0);
        return;
    }
    const auto found = peers_.find(from);
    if (!is_leader() || it.term < state_.term || found == peers_.end())
    {
        return;
    }
    peer_progress& peer = found->second;
    peer.contact = now_;
    peer.read_round = std::max(peer.read_round, it.read_round);
    answer_reads();
    if (!it.accepted)
    {
        on_rejected(peer, it);
    }
    else
    {
        const std::uint64_t last = log_.last().index;
        peer.set_durable(std::min(it.durable_index, last));
        if (peer.mode == peer_mode::probe)
        {
            peer.mode = peer_mode::pipeline;
            peer.next_index =
                std::max(std::min(it.matched_index, last), peer.durable_index) +
                1;
        }
        else if (
            peer.mode == peer_mode::snapshot &&
            peer.durable_index >= peer.sending.last.index)
        {
            peer.start_probe(peer.durable_index + 1);
        }
    }
    // The commit may end the leadership and with it `peer`.
    if (peer.mode != peer_mode::snapshot)
    {
        replicate(from, peer, false);
    }
    advance_transfer();
    advance_commit();
}

void consensus_node::on_rejected(peer_progress& peer, const append_response& it)
{
    // Late answers must not undo what the peer has confirmed since.
    if (peer.mode == peer_mode::snapshot ||
        it.previous_index <= peer.durable_index ||
        it.previous_index >= peer.next_index ||
        (peer.mode == peer_mode::probe &&
         it.previous_index + 1 != peer.next_index))
    {
        return;
    }
    std::uint64_t index = std::min(it.hint.index, it.previous_index - 1);
    index = std::min(index, log_.last().index);
    while (index > log_.base().index && *log_.term_at(index) > it.hint.term)
    {
        --index;
    }
    peer.start_probe(std::max(index, peer.durable_index) + 1);
}

void consensus_node::broadcast(bool heartbeat)
{
    for (auto& [id, peer] : peers_)
    {
        replicate(id, peer, heartbeat);
    }
}

void consensus_node::replicate(
    replica_id to, peer_progress& peer, bool heartbeat)
{
    if (peer.mode == peer_mode::snapshot)
    {
        if (heartbeat)
        {
            send_part(to, peer, true);
        }
        return;
    }
    if (peer.next_index <= log_.base().index)
    {
        peer.start_probe(peer.next_index);
        peer.mode = peer_mode::snapshot;
        peer.sending = base_;
        peer.offset = 0;
        send_part(to, peer, false);
        return;
    }
    if (peer.mode == peer_mode::probe)
    {
        // Without entries, because they would be sent again for each guess.
        if (!peer.probe_sent || heartbeat)
        {
            peer.probe_sent = true;
            send_append(to, peer, false);
        }
        return;
    }
    bool sent = false;
    while (peer.next_index <= log_.last().index &&
           peer.in_flight_bytes < options_.max_in_flight_bytes)
    {
        send_append(to, peer, true);
        sent = true;
    }
    if (heartbeat && !sent)
    {
        send_append(to, peer, false);
    }
}

void consensus_node::send_append(
    replica_id to, peer_progress& peer, bool with_entries)
{
    append_request it;
    it.term = state_.term;
    it.previous = {peer.next_index - 1, *log_.term_at(peer.next_index - 1)};
    it.commit_index = commit_index_;
    it.read_round = read_round_;
    if (it.previous.index == 0)
    {
        it.founding = base_.members;
    }
    if (with_entries)
    {
        it.entries = log_.slice(peer.next_index, options_.max_append_bytes);
        std::size_t bytes = 0;
        for (const auto& entry : it.entries)
        {
            bytes += entry.size();
        }
        peer.next_index = it.entries.back().position.index + 1;
        peer.in_flight.push_back({peer.next_index - 1, bytes});
        peer.in_flight_bytes += bytes;
    }
    send(to, std::move(it));
}

std::uint64_t consensus_node::quorum_value(
    std::uint64_t own, std::uint64_t peer_progress::*member) const
{
    std::vector<std::uint64_t> values;
    for (const auto it : members().voters)
    {
        const auto peer = peers_.find(it);
        values.push_back(
            it == self_            ? own
            : peer != peers_.end() ? peer->second.*member
                                   : 0);
    }
    std::sort(values.rbegin(), values.rend());
    return values[members().quorum() - 1];
}

void consensus_node::advance_commit()
{
    if (!is_leader())
    {
        return;
    }
    const std::uint64_t index =
        quorum_value(synced_index_, &peer_progress::durable_index);
    // An entry of an earlier term may still be replaced, although a quorum
    // has it; an entry of this term after it settles both.
    if (index <= commit_index_ || log_.term_at(index) != state_.term)
    {
        return;
    }
    while (commit_index_ < index)
    {
        uncommitted_bytes_ -= log_.at(++commit_index_).size();
    }
    assign_waiting_reads();
    if (!members().is_voter(self_) && commit_index_ >= members_.current_index())
    {
        become_follower(state_.term, 0);
    }
}

void consensus_node::follow_membership()
{
    if (!is_leader())
    {
        return;
    }
    std::erase_if(peers_, [&](const auto& it) {
        return !members().is_voter(it.first) && !members().is_learner(it.first);
    });
    for (const auto* ids : {&members().voters, &members().learners})
    {
        for (const auto id : *ids)
        {
            if (id == self_ || peers_.contains(id))
            {
                continue;
            }
            peer_progress peer;
            peer.next_index = log_.last().index + 1;
            peer.contact = now_;
            peers_.emplace(id, std::move(peer));
        }
    }
}

void consensus_node::assign_waiting_reads()
{
    // Before a commit of its own term the leader may not know every entry
    // that an earlier leader committed.
    if (commit_index_ < first_index_of_term_)
    {
        return;
    }
    for (auto it = reads_.rbegin(); it != reads_.rend() && it->round == 0; ++it)
    {
        it->index = commit_index_;
        it->round = read_round_ + 1;
        round_wanted_ = true;
    }
}

void consensus_node::answer_reads()
{
    const std::uint64_t confirmed =
        quorum_value(read_round_, &peer_progress::read_round);
    while (!reads_.empty() && reads_.front().round != 0 &&
           reads_.front().round <= confirmed)
    {
        out_.reads.push_back({reads_.front().id, reads_.front().index});
        reads_.pop_front();
    }
}

} // namespace hyssoploft::consensus
