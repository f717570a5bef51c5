// Compaction, and transfer of snapshots in parts.

#include <LibConsensus/consensus_node.hpp>

#include <glog/logging.h>

#include <algorithm>

namespace hyssoploft::consensus {

absl::Status consensus_node::compact(std::uint64_t index, std::string bytes)
{
    if (index > given_out_index_ || index < log_.base().index)
    {
        return absl::InvalidArgumentError(
            "the index is not between the last snapshot and the last entry "
            "given out");
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

void consensus_node::send_part(
    replica_id to, peer_progress& peer, bool heartbeat)
{
    snapshot_part it;
    it.term = state_.term;
    it.last = peer.sending.last;
    it.members = peer.sending.members;
    it.read_round = read_round_;
    it.total_bytes = peer.sending.bytes->size();
    it.offset = peer.offset;
    // A heartbeat repeats the part only after two intervals without progress,
    // so that a slow link does not carry each part several times.
    if (!heartbeat || now_ - peer.part_sent >= 2 * options_.heartbeat)
    {
        it.bytes = peer.sending.bytes->substr(
            peer.offset, options_.snapshot_part_bytes);
        peer.part_sent = now_;
    }
    send(to, std::move(it));
}

void consensus_node::on(replica_id from, const snapshot_part& it)
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
        LOG(ERROR) << "a snapshot of " << it.total_bytes << " bytes is refused";
        return;
    }
    if (!incoming_ || incoming_->last != it.last || incoming_->term != it.term)
    {
        incoming_ = incoming_snapshot{it.term, it.last, {}};
    }
    std::string& bytes = incoming_->bytes;
    if (it.offset == bytes.size() &&
        it.bytes.size() <= it.total_bytes - bytes.size())
    {
        bytes += it.bytes;
    }
    const std::uint64_t next_offset = bytes.size();
    if (next_offset == it.total_bytes)
    {
        install(it);
    }
    send_when_durable(
        from,
        snapshot_response{state_.term, it.last, next_offset, it.read_round});
}

void consensus_node::install(const snapshot_part& it)
{
    const bool keeps_suffix = log_.term_at(it.last.index) == it.last.term;
    base_ = {
        it.last, it.members,
        std::make_shared<const std::string>(std::move(incoming_->bytes))};
    incoming_.reset();
    if (keeps_suffix)
    {
        log_.compact(it.last);
    }
    else
    {
        log_.reset(it.last);
        // Until the snapshot is durable, the disk holds for certain only what
        // was committed before.
        handed_index_ = it.last.index;
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

void consensus_node::on(replica_id from, const snapshot_response& it)
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
    if (peer.mode != peer_mode::snapshot || it.last != peer.sending.last ||
        it.next_offset > peer.sending.bytes->size())
    {
        return;
    }
    if (it.next_offset == peer.sending.bytes->size())
    {
        peer.start_probe(peer.sending.last.index + 1);
        replicate(from, peer, false);
    }
    else if (it.next_offset != peer.offset)
    {
        peer.offset = it.next_offset;
        send_part(from, peer, false);
    }
}

} // namespace hyssoploft::consensus
