// Log compaction and snapshot transfer in parts.

#include <LibConsensus/consensus_node.hpp>

#include <glog/logging.h>

#include <algorithm>

namespace hyssoploft::consensus {

absl::Status consensus_node::compact(std::uint64_t index, std::string bytes)
{
    if (index > delivered_index_ || index < log_.base().index)
    {
        return absl::InvalidArgumentError(
            "the index is not between the last snapshot and the last "
            "delivered entry");
    }
    if (index == log_.base().index)
    {
        return absl::OkStatus();
    }
    base_ = {
        {index, *log_.term_at(index)},
        members_.at(index),
        std::make_shared<const std::string>(std::move(bytes))};
    log_.compact(base_.last);
    members_.compact(index);
    has_base_ = true;
    base_dirty_ = true;
    return absl::OkStatus();
}

void consensus_node::send_snapshot_part(
    replica_id to, peer_progress& peer, bool heartbeat)
{
    snapshot_part it;
    it.term = state_.term;
    it.last = peer.sent_snapshot.last;
    it.members = peer.sent_snapshot.members;
    it.read_round = read_round_;
    it.total_bytes = peer.sent_snapshot.bytes->size();
    it.offset = peer.snapshot_offset;
    // A heartbeat resends the part only after two intervals without progress,
    // so that a slow link does not carry each part several times.
    if (!heartbeat || now_ - peer.last_part_sent_at >= 2 * options_.heartbeat)
    {
        it.bytes = peer.sent_snapshot.bytes->substr(
            peer.snapshot_offset, options_.snapshot_part_bytes);
        peer.last_part_sent_at = now_;
    }
    send(to, std::move(it));
}

void consensus_node::handle(replica_id from, const snapshot_part& it)
{
    if (it.term < state_.term)
    {
        append_response response;
        response.term = state_.term;
        send_when_durable(from, std::move(response));
        return;
    }
    CHECK(it.term > state_.term || !is_leader()) << "two leaders in one term";
    become_follower(it.term, from);
    leader_contact_ = now_;
    reset_election_deadline();
    if (it.last.index <= commit_index_)
    {
        verified_index_ = std::max(verified_index_, it.last.index);
        respond(from, it.read_round);
        return;
    }
    if (it.total_bytes > options_.max_snapshot_bytes || it.last.term > it.term)
    {
        LOG(ERROR) << "rejected a snapshot of " << it.total_bytes << " bytes";
        return;
    }
    if (!incoming_snapshot_ || incoming_snapshot_->last != it.last ||
        incoming_snapshot_->term != it.term)
    {
        incoming_snapshot_ = incoming_snapshot{it.term, it.last, {}};
    }
    std::string& bytes = incoming_snapshot_->bytes;
    if (it.offset == bytes.size() &&
        it.bytes.size() <= it.total_bytes - bytes.size())
    {
        bytes += it.bytes;
    }
    const std::uint64_t next_offset = bytes.size();
    if (next_offset == it.total_bytes)
    {
        install_snapshot(it);
    }
    send_when_durable(
        from,
        snapshot_response{state_.term, it.last, next_offset, it.read_round});
}

void consensus_node::install_snapshot(const snapshot_part& it)
{
    const bool keeps_suffix = log_.term_at(it.last.index) == it.last.term;
    base_ = {
        it.last, it.members,
        std::make_shared<const std::string>(
            std::move(incoming_snapshot_->bytes))};
    incoming_snapshot_.reset();
    if (keeps_suffix)
    {
        log_.compact(it.last);
    }
    else
    {
        log_.reset(it.last);
        // Until the snapshot is durable, only the entries committed before are
        // certain to be on disk.
        submitted_index_ = it.last.index;
        synced_index_ = std::min(synced_index_, commit_index_);
        if (in_flight_)
        {
            in_flight_->last_index =
                std::min(in_flight_->last_index, commit_index_);
        }
    }
    const absl::Status rebuilt = rebuild_members();
    CHECK(rebuilt.ok()) << rebuilt.message();
    commit_index_ = it.last.index;
    verified_index_ = std::max(verified_index_, it.last.index);
    has_base_ = true;
    base_dirty_ = true;
}

void consensus_node::handle(replica_id from, const snapshot_response& it)
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
    if (peer.mode != peer_mode::snapshot ||
        it.last != peer.sent_snapshot.last ||
        it.next_offset > peer.sent_snapshot.bytes->size())
    {
        return;
    }
    if (it.next_offset == peer.sent_snapshot.bytes->size())
    {
        peer.start_probe(peer.sent_snapshot.last.index + 1);
        replicate(from, peer, false);
    }
    else if (it.next_offset != peer.snapshot_offset)
    {
        peer.snapshot_offset = it.next_offset;
        send_snapshot_part(from, peer, false);
    }
}

} // namespace hyssoploft::consensus
