// Creation, storage batches, deferred messages and requests of the driver.

#include <LibConsensus/consensus_node.hpp>

#include <LibCore/text.hpp>

#include <glog/logging.h>

#include <algorithm>

namespace hyssoploft::consensus {

absl::StatusOr<std::unique_ptr<consensus_node>> consensus_node::create(
    const node_options& options, persisted_state stored,
    core::random_source& random, core::time_point now)
{
    if (stored.self == 0)
    {
        return absl::InvalidArgumentError("the replica identifier is 0");
    }
    log_position last = stored.base ? stored.base->last : log_position{};
    for (const auto& it : stored.entries)
    {
        if (it.position.index != last.index + 1 ||
            it.position.term < last.term ||
            it.position.term > stored.state.term)
        {
            return absl::DataLossError(core::concat(
                "entry ", it.position.index, " does not follow entry ",
                last.index));
        }
        last = it.position;
    }
    std::unique_ptr<consensus_node> it(
        new consensus_node(options, std::move(stored), random, now));
    if (auto status = it->rebuild_members(); !status.ok())
    {
        return status;
    }
    it->set_election_deadline(options.first_timeout_min);
    return it;
}

consensus_node::consensus_node(
    const node_options& options, persisted_state stored,
    core::random_source& random, core::time_point now)
    : options_(options), random_(random), self_(stored.self), now_(now),
      state_(stored.state), has_base_(stored.base.has_value())
{
    base_ = stored.base ? std::move(*stored.base)
                        : snapshot{{}, {}, std::make_shared<std::string>()};
    log_.reset(base_.last);
    for (auto& it : stored.entries)
    {
        log_.append(std::move(it));
    }
    // Committed entries can be applied before an election.
    commit_index_ =
        std::clamp(stored.committed_index, base_.last.index, log_.last().index);
    submitted_commit_index_ = commit_index_;
    synced_index_ = submitted_index_ = log_.last().index;
}

absl::Status consensus_node::rebuild_members()
{
    members_.reset(base_.last.index, base_.members);
    for (std::uint64_t i = base_.last.index + 1; i <= log_.last().index; ++i)
    {
        if (log_.at(i).kind != entry_kind::membership)
        {
            continue;
        }
        auto members = decode_membership(log_.at(i).bytes);
        if (!members.ok())
        {
            return members.status();
        }
        members_.append(i, std::move(*members));
    }
    return absl::OkStatus();
}

absl::Status consensus_node::bootstrap(std::vector<replica_id> voters)
{
    if (has_base_ || state_ != hard_state{} || log_.last().index != 0)
    {
        return absl::FailedPreconditionError(
            "the replica already has stored state");
    }
    std::sort(voters.begin(), voters.end());
    if (std::adjacent_find(voters.begin(), voters.end()) != voters.end() ||
        !std::binary_search(voters.begin(), voters.end(), self_) ||
        voters.front() == 0 || voters.size() > max_replicas)
    {
        return absl::InvalidArgumentError(
            "the voters must be distinct and contain this replica");
    }
    base_.members.voters = std::move(voters);
    members_.reset(0, base_.members);
    has_base_ = true;
    base_dirty_ = true;
    return absl::OkStatus();
}

void consensus_node::advance_time(core::time_point now)
{
    now_ = std::max(now_, now);
}

void consensus_node::tick(core::time_point now)
{
    advance_time(now);
    // Normally the commit index is written with the next entries; this writes
    // it when no entries follow.
    commit_index_write_due_ = commit_index_ > submitted_commit_index_;
    if (is_leader())
    {
        tick_leader();
    }
    else if (now_ >= election_deadline_ && storage_full_)
    {
        reset_election_deadline();
        become_follower(state_.term, 0);
    }
    else if (now_ >= election_deadline_)
    {
        start_pre_vote();
    }
}

void consensus_node::receive(const message& it, core::time_point now)
{
    advance_time(now);
    if (it.to != self_ || it.from == self_ || it.from == 0)
    {
        return;
    }
    std::visit(
        [&](const auto& body) {
            handle(it.from, body);
        },
        it.body);
}

void consensus_node::send(replica_id to, message_body body)
{
    out_.messages.push_back({self_, to, std::move(body)});
}

void consensus_node::send_when_durable(replica_id to, message_body body)
{
    const std::uint64_t sequence =
        state_dirty_ ? submitted_sequence_ + 1 : state_sequence_;
    if (storage_full_ &&
        deferred_messages_.size() >= options_.max_deferred_messages)
    {
        deferred_messages_.erase(deferred_messages_.begin());
    }
    deferred_messages_.push_back({sequence, {self_, to, std::move(body)}});
    if (sequence <= durable_sequence_)
    {
        release_deferred_messages();
    }
}

void consensus_node::release_deferred_messages()
{
    std::vector<deferred_message> ready;
    std::erase_if(deferred_messages_, [&](deferred_message& it) {
        if (it.sequence > durable_sequence_)
        {
            return false;
        }
        ready.push_back(std::move(it));
        return true;
    });
    for (auto& it : ready)
    {
        // Responses and requests of an earlier term are obsolete.
        if (term_of(it.it.body) != state_.term)
        {
            continue;
        }
        if (it.it.to != self_)
        {
            out_.messages.push_back(std::move(it.it));
        }
        else if (const auto* vote = std::get_if<vote_response>(&it.it.body))
        {
            handle(self_, *vote);
        }
    }
}

void consensus_node::append_local(entry_kind kind, std::string bytes)
{
    log_entry it{{log_.last().index + 1, state_.term}, kind, std::move(bytes)};
    uncommitted_bytes_ += it.size();
    log_.append(std::move(it));
    entries_to_send_ = true;
}

void consensus_node::truncate(std::uint64_t index)
{
    CHECK_GT(index, commit_index_) << "a committed entry would be truncated";
    log_.truncate(index);
    members_.truncate(index);
    submitted_index_ = std::min(submitted_index_, index - 1);
    synced_index_ = std::min(synced_index_, index - 1);
    if (in_flight_)
    {
        in_flight_->last_index = std::min(in_flight_->last_index, index - 1);
    }
}

std::optional<persist_batch> consensus_node::next_batch()
{
    const std::uint64_t last = log_.last().index;
    const bool nothing_new = !state_dirty_ && !base_dirty_ &&
                             submitted_index_ == last &&
                             !commit_index_write_due_;
    if (in_flight_ || nothing_new)
    {
        return std::nullopt;
    }
    persist_batch batch;
    batch.sequence = ++submitted_sequence_;
    batch.state = state_;
    if (state_dirty_)
    {
        state_sequence_ = batch.sequence;
    }
    if (base_dirty_)
    {
        batch.replacement = base_;
        submitted_index_ = log_.base().index;
    }
    batch.entries = log_.slice(submitted_index_ + 1, SIZE_MAX);
    submitted_index_ = last;
    batch.committed_index = submitted_commit_index_ =
        std::min(commit_index_, last);
    in_flight_ = {batch.sequence, last};
    state_dirty_ = base_dirty_ = commit_index_write_due_ = false;
    return batch;
}

void consensus_node::persisted(std::uint64_t sequence, core::time_point now)
{
    advance_time(now);
    CHECK(in_flight_ && in_flight_->sequence == sequence)
        << "completion of a batch that is not being written";
    const bool advanced = in_flight_->last_index > synced_index_;
    synced_index_ = in_flight_->last_index;
    durable_sequence_ = sequence;
    in_flight_.reset();
    release_deferred_messages();
    if (is_leader())
    {
        advance_commit();
    }
    else if (advanced && leader_ != 0)
    {
        respond(leader_, 0);
    }
}

void consensus_node::deliver_committed()
{
    const std::uint64_t limit = std::min(commit_index_, synced_index_);
    const std::uint64_t base = log_.base().index;
    if (delivered_index_ < base && limit >= base)
    {
        out_.install = base_;
        out_.committed.clear();
        delivered_index_ = base;
    }
    while (delivered_index_ >= base && delivered_index_ < limit)
    {
        out_.committed.push_back(log_.at(++delivered_index_));
    }
}

node_output consensus_node::take_output()
{
    if (is_leader() && (entries_to_send_ || read_round_requested_))
    {
        read_round_ += read_round_requested_ ? 1 : 0;
        broadcast(read_round_requested_);
        complete_reads();
    }
    entries_to_send_ = read_round_requested_ = false;
    deliver_committed();
    out_.persist = next_batch();
    node_output out;
    std::swap(out, out_);
    return out;
}

absl::StatusOr<log_position> consensus_node::propose(std::string command)
{
    if (!is_leader())
    {
        return absl::UnavailableError("this replica is not the leader");
    }
    if (transfer_)
    {
        return absl::UnavailableError("a leadership transfer is in progress");
    }
    if (storage_full_)
    {
        return absl::UnavailableError("the storage of this replica is full");
    }
    if (command.size() > options_.max_command_bytes)
    {
        return absl::InvalidArgumentError("the command is too large");
    }
    if (uncommitted_bytes_ + command.size() > options_.max_uncommitted_bytes)
    {
        return absl::ResourceExhaustedError("too many uncommitted bytes");
    }
    append_local(entry_kind::command, std::move(command));
    return log_.last();
}

absl::Status consensus_node::read(std::uint64_t id)
{
    if (!is_leader())
    {
        return absl::UnavailableError("this replica is not the leader");
    }
    if (reads_.size() >= options_.max_pending_reads)
    {
        return absl::ResourceExhaustedError("too many pending reads");
    }
    reads_.push_back({id, 0, 0});
    assign_read_rounds();
    return absl::OkStatus();
}

absl::StatusOr<log_position>
consensus_node::change_membership(const membership_change& change)
{
    if (!is_leader())
    {
        return absl::UnavailableError("this replica is not the leader");
    }
    // Until an entry of its own term is committed, the leader can't know
    // whether an earlier change is committed.
    if (commit_index_ < first_index_of_term_ ||
        commit_index_ < members_.current_index() || transfer_ || storage_full_)
    {
        return absl::FailedPreconditionError(
            "another membership change or a transfer is in progress, or the "
            "storage is full");
    }
    auto next = members().with(change);
    if (!next.ok())
    {
        return next.status();
    }
    if (change.kind == membership_change_kind::promote &&
        !is_caught_up(change.replica))
    {
        return absl::FailedPreconditionError(
            "the learner has not synced every committed entry");
    }
    append_local(entry_kind::membership, encode(*next));
    members_.append(log_.last().index, std::move(*next));
    update_peers();
    return log_.last();
}

bool consensus_node::is_caught_up(replica_id learner) const
{
    const auto it = peers_.find(learner);
    return is_leader() && it != peers_.end() &&
           it->second.durable_index >= commit_index_ &&
           now_ - it->second.last_contact < options_.election_timeout_min;
}

std::uint64_t consensus_node::durable_index_on_all_members() const
{
    std::uint64_t lowest = synced_index_;
    for (const auto& [id, peer] : peers_)
    {
        lowest = std::min(lowest, peer.durable_index);
    }
    return lowest;
}

} // namespace hyssoploft::consensus
