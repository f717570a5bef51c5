// Log replication, commit index and read-index confirmation.

#include <LibConsensus/consensus_node.hpp>

#include <glog/logging.h>

#include <algorithm>

namespace hyssoploft::consensus {

void consensus_node::handle(replica_id from, const append_request& it)
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
    if (!append_entries(it))
    {
        reject(from, it);
        return;
    }
    commit_index_ =
        std::max(commit_index_, std::min(it.commit_index, verified_index_));
    respond(from, it.read_round);
}

/// Returns false if the previous entry does not match or the request is
/// malformed.
bool consensus_node::append_entries(const append_request& it)
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
    // The log up to the base is committed, so it matches the leader's.
    const std::uint64_t base = log_.base().index;
    if (it.previous.index >= base &&
        log_.term_at(it.previous.index) != it.previous.term)
    {
        return false;
    }
    if (!has_base_ && !adopt_initial_members(it))
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

/// Without the initial voters a replica would store entries but never start an
/// election. Returns false if the request lacks them; the leader then retries
/// from the first entry, and that request has them.
bool consensus_node::adopt_initial_members(const append_request& it)
{
    const bool valid = it.previous.index == 0 &&
                       !it.initial_members.voters.empty() &&
                       it.initial_members.voters.size() <= max_replicas;
    if (!valid)
    {
        return false;
    }
    base_.members = it.initial_members;
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
    // The term must be durable. A replica that lost it in a crash could accept
    // entries of an older leader in place of those acknowledged here.
    send_when_durable(to, std::move(it));
}

void consensus_node::reject(replica_id to, const append_request& it)
{
    append_response response;
    response.term = state_.term;
    response.previous_index = it.previous.index;
    response.read_round = it.term == state_.term ? it.read_round : 0;
    // Skips all entries of terms that can't match.
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

void consensus_node::handle(replica_id from, const append_response& it)
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
    peer.last_contact = now_;
    peer.read_round = std::max(peer.read_round, it.read_round);
    complete_reads();
    if (!it.accepted)
    {
        handle_rejection(peer, it);
    }
    else
    {
        const std::uint64_t last = log_.last().index;
        peer.advance_durable_index(std::min(it.durable_index, last));
        if (peer.mode == peer_mode::probe)
        {
            peer.mode = peer_mode::pipeline;
            peer.next_index =
                std::max(std::min(it.matched_index, last), peer.durable_index) +
                1;
        }
        else if (
            peer.mode == peer_mode::snapshot &&
            peer.durable_index >= peer.sent_snapshot.last.index)
        {
            peer.start_probe(peer.durable_index + 1);
        }
    }
    // advance_commit() comes last: committing the leader's own removal ends
    // its leadership and destroys `peer`.
    if (peer.mode != peer_mode::snapshot)
    {
        replicate(from, peer, false);
    }
    advance_transfer();
    advance_commit();
}

void consensus_node::handle_rejection(
    peer_progress& peer, const append_response& it)
{
    // A delayed rejection must not undo what the peer has confirmed since.
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
            send_snapshot_part(to, peer, true);
        }
        return;
    }
    if (peer.next_index <= log_.base().index)
    {
        peer.start_probe(peer.next_index);
        peer.mode = peer_mode::snapshot;
        peer.sent_snapshot = base_;
        peer.snapshot_offset = 0;
        send_snapshot_part(to, peer, false);
        return;
    }
    if (peer.mode == peer_mode::probe)
    {
        // Probes carry no entries, as each rejected probe would resend them.
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
        it.initial_members = base_.members;
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
    // An entry of an earlier term can still be replaced although a quorum has
    // it. It is committed along with the first later entry of this term.
    if (index <= commit_index_ || log_.term_at(index) != state_.term)
    {
        return;
    }
    while (commit_index_ < index)
    {
        uncommitted_bytes_ -= log_.at(++commit_index_).size();
    }
    assign_read_rounds();
    if (!members().is_voter(self_) && commit_index_ >= members_.current_index())
    {
        become_follower(state_.term, 0);
    }
}

void consensus_node::update_peers()
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
            peer.last_contact = now_;
            peers_.emplace(id, std::move(peer));
        }
    }
}

void consensus_node::assign_read_rounds()
{
    // Until an entry of its own term is committed, the leader may not know all
    // entries that earlier leaders committed.
    if (commit_index_ < first_index_of_term_)
    {
        return;
    }
    for (auto it = reads_.rbegin(); it != reads_.rend() && it->round == 0; ++it)
    {
        it->index = commit_index_;
        it->round = read_round_ + 1;
        read_round_requested_ = true;
    }
}

void consensus_node::complete_reads()
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
