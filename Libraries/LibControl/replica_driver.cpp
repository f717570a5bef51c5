// Drives the consensus node of a control VM.

#include <LibControl/replica_driver.hpp>

#include <LibCore/log_line.hpp>

#include <boost/asio/post.hpp>
#include <glog/logging.h>

#include <utility>

namespace hyssoploft::control {

namespace {

using consensus::entry_kind;
using consensus::replica_role;

/// Replacing a replica takes about five checks.
constexpr std::chrono::milliseconds membership_check_interval{200};
/// Order records and departures expire by log time, which advances at this
/// interval when there is no traffic.
constexpr std::chrono::seconds log_tick_interval{30};
constexpr std::size_t max_pending_proposals = 8192;

} // namespace

absl::StatusOr<std::unique_ptr<replica_driver>> replica_driver::create(
    boost::asio::io_context& control, const replica_options& options,
    replica_environment& environment, core::clock& clock,
    core::random_source& random)
{
    std::unique_ptr<replica_driver> it(
        new replica_driver(control, options, environment, clock));
    consensus::persisted_state found;
    storage::file_system& files =
        options.files ? *options.files : it->file_system_;
    auto loaded = consensus::file_log_storage::load(
        files, options.data_dir, random, found);
    if (!loaded.ok())
    {
        return loaded.status();
    }
    it->storage_ = *std::move(loaded);
    const auto durable = it->storage_->make_durable();
    if (!durable.ok() && !absl::IsResourceExhausted(durable))
    {
        return durable;
    }
    it->is_durable_ = durable.ok();
    const bool has_history = found.base.has_value();
    const replica_hello self{
        options.vm, found.self, has_history, options.initial_voters};
    it->roster_ = replica_roster(self, clock.now(), options.limits);
    if (has_history)
    {
        const auto status = it->state_.install_snapshot(*found.base->bytes);
        if (!status.ok())
        {
            return status;
        }
        it->applied_index_ = found.base->last.index;
        it->compaction_.compacted(found.base->bytes->size());
    }
    auto node = consensus::consensus_node::create(
        options.consensus, std::move(found), random, clock.now());
    if (!node.ok())
    {
        return node.status();
    }
    it->node_ = *std::move(node);
    LOG(INFO) << core::log_line("replica_opened")
                     .with("replica", it->node_->self())
                     .with("term", it->node_->term())
                     .with("last_index", it->node_->last().index);
    if (!it->is_durable_)
    {
        it->on_refused(durable);
    }
    return it;
}

replica_driver::replica_driver(
    boost::asio::io_context& control, const replica_options& options,
    replica_environment& environment, core::clock& clock)
    : control_io_(control), options_(options), environment_(environment),
      clock_(clock), roster_({}, clock.now())
{}

replica_driver::~replica_driver()
{
    *alive_ = false;
    disk_pool_.join();
}

void replica_driver::tick()
{
    const auto now = clock_.now();
    repeat_refused_write(now);
    if (!is_durable_)
    {
        // What is committed can be served although this replica waits.
        process_node_output();
        return;
    }
    node_->tick(now);
    process_node_output();
    if (now >= next_membership_check_)
    {
        next_membership_check_ = now + membership_check_interval;
        bootstrap_cluster();
        update_membership();
    }
    advance_log_time();
    compact_if_large();
}

void replica_driver::on_message(
    const std::string& sender_vm, const std::string& bytes)
{
    const auto decoded = wire::decode<consensus::message>(bytes);
    if (!is_durable_ || !decoded.ok() || decoded->to != node_->self())
    {
        return;
    }
    // A VM may only send messages of the replica that runs on it.
    const auto vm = roster_.vm_of(decoded->from, state_.replicas());
    if (!vm.empty() && vm != sender_vm)
    {
        LOG(WARNING) << core::log_line("consensus_message_rejected")
                            .with("sender", sender_vm)
                            .with("replica_vm", vm);
        return;
    }
    node_->receive(*decoded, clock_.now());
    process_node_output();
}

void replica_driver::on_hello(const replica_hello& it)
{
    roster_.on_hello(it, clock_.now());
}

void replica_driver::propose(
    command_kind kind, std::string body, propose_handler done)
{
    // Some commands need log time, which a new leader has only once it has
    // applied the entries of earlier terms.
    const bool needs_time =
        kind == command_kind::ledger || kind == command_kind::departure;
    const bool ready = !needs_time || log_clock_.has_value();
    if (!is_leader() || !ready)
    {
        done(
            {static_cast<std::uint8_t>(propose_status::not_leader), leader_vm(),
             ""});
        return;
    }
    if (space_.is_full())
    {
        done({static_cast<std::uint8_t>(propose_status::disk_full), "", ""});
        return;
    }
    if (pending_.size() >= max_pending_proposals)
    {
        done(
            {static_cast<std::uint8_t>(propose_status::overloaded), options_.vm,
             ""});
        return;
    }
    if (kind == command_kind::ledger)
    {
        body = ledger::stamp(std::move(body), log_clock_->at(clock_.now()));
    }
    else if (kind == command_kind::departure)
    {
        body = stamp_departure(std::move(body), log_clock_->at(clock_.now()));
    }
    const auto position = node_->propose(wire::encode(
        log_command{static_cast<std::uint8_t>(kind), std::move(body)}));
    if (!position.ok())
    {
        const auto status = absl::IsResourceExhausted(position.status())
                                ? propose_status::overloaded
                                : propose_status::not_leader;
        done({static_cast<std::uint8_t>(status), "", ""});
        return;
    }
    pending_[position->index] = {position->term, std::move(done)};
    process_node_output();
}

void replica_driver::hand_over_leadership()
{
    if (!is_leader())
    {
        return;
    }
    // Takes the first other voter. The node hands over once that voter has
    // synced the whole log, which then takes one round trip.
    for (const auto voter : node_->members().voters)
    {
        if (voter != node_->self() && node_->transfer_leadership(voter).ok())
        {
            break;
        }
    }
    process_node_output();
}

std::string replica_driver::leader_vm() const
{
    return node_->leader() == 0
               ? std::string()
               : roster_.vm_of(node_->leader(), state_.replicas());
}

void replica_driver::process_node_output()
{
    // Handlers may propose again; the outer call processes their output.
    if (std::exchange(processing_output_, true))
    {
        return;
    }
    for (;;)
    {
        auto out = node_->take_output();
        const bool idle = out.messages.empty() && !out.persist &&
                          !out.install && out.committed.empty() &&
                          out.roles.empty();
        if (idle)
        {
            break;
        }
        if (out.install)
        {
            const auto status = state_.install_snapshot(*out.install->bytes);
            if (!status.ok())
            {
                environment_.storage_failed(status);
                break;
            }
            applied_index_ = out.install->last.index;
            compaction_.compacted(out.install->bytes->size());
            environment_.resources_changed();
            environment_.manifest_changed();
            environment_.departures_changed();
        }
        if (out.persist)
        {
            roster_.set_has_history(!node_->members().voters.empty());
            batch_ = std::make_shared<const consensus::persist_batch>(
                *std::move(out.persist));
            write_batch();
        }
        for (const auto& it : out.messages)
        {
            const auto vm = roster_.vm_of(it.to, state_.replicas());
            if (!vm.empty())
            {
                environment_.send_consensus(vm, wire::encode(it));
            }
        }
        for (const auto& it : out.roles)
        {
            handle_role_change(it);
        }
        for (const auto& it : out.committed)
        {
            apply(it);
        }
    }
    processing_output_ = false;
}

void replica_driver::start_write(std::function<absl::Status()> write)
{
    is_writing_ = true;
    boost::asio::post(
        disk_pool_, [this, alive = alive_, write = std::move(write)]() {
            auto status = write();
            boost::asio::post(
                control_io_, [this, alive, status = std::move(status)] {
                    if (*alive)
                    {
                        is_writing_ = false;
                        on_written(status);
                    }
                });
        });
}

void replica_driver::write_batch()
{
    CHECK(is_durable_) << "a batch before the replica takes part";
    start_write([this, batch = batch_] {
        return storage_->persist(*batch);
    });
}

void replica_driver::make_durable()
{
    start_write([this] {
        return storage_->make_durable();
    });
}

void replica_driver::repeat_refused_write(core::time_point now)
{
    if (is_writing_ || !space_.is_probe_due(now))
    {
        return;
    }
    if (is_durable_)
    {
        write_batch();
    }
    else
    {
        make_durable();
    }
}

void replica_driver::on_written(const absl::Status& status)
{
    if (absl::IsResourceExhausted(status))
    {
        on_refused(status);
        process_node_output();
        return;
    }
    if (!status.ok())
    {
        environment_.storage_failed(status);
        return;
    }
    const auto now = clock_.now();
    if (const auto lasted = space_.accepted(now))
    {
        LOG(INFO) << core::log_line("disk_has_space")
                         .with("replica", node_->self())
                         .with("seconds", core::to_seconds(*lasted));
        node_->set_storage_full(false, now);
        environment_.disk_full_changed(false);
    }
    // The first write makes durable what was loaded; it is no batch.
    if (std::exchange(is_durable_, true))
    {
        node_->persisted(batch_->sequence, now);
        batch_.reset();
    }
    process_node_output();
}

void replica_driver::on_refused(const absl::Status& status)
{
    const auto now = clock_.now();
    if (!space_.refused(now))
    {
        return;
    }
    LOG(WARNING) << core::log_line("disk_full")
                        .with("replica", node_->self())
                        .with("leader", is_leader() ? 1 : 0)
                        .with("error", status.ToString());
    node_->set_storage_full(true, now);
    environment_.disk_full_changed(true);
}

void replica_driver::apply(const consensus::log_entry& entry)
{
    std::string result;
    if (entry.kind == entry_kind::command)
    {
        const auto before = state_.resources().version();
        const auto manifest = state_.manifests().status();
        const auto departure = state_.departures().items().last_number();
        result = state_.apply(entry.position.index, entry.bytes);
        if (state_.resources().version() != before)
        {
            environment_.resources_changed();
        }
        if (state_.manifests().status() != manifest)
        {
            environment_.manifest_changed();
        }
        if (state_.departures().items().last_number() != departure)
        {
            environment_.departures_changed();
        }
    }
    applied_index_ = entry.position.index;
    compaction_.add_entry(entry.bytes.size());
    // First entry of this replica's term: all earlier entries are applied.
    if (entry.position.term == leading_term_ && !log_clock_)
    {
        log_clock_.emplace(state_.time(), clock_.now());
    }
    const auto found = pending_.find(entry.position.index);
    if (found == pending_.end())
    {
        return;
    }
    const auto proposal = std::move(found->second);
    pending_.erase(found);
    const bool is_own = proposal.term == entry.position.term;
    proposal.done(
        {static_cast<std::uint8_t>(
             is_own ? propose_status::committed : propose_status::not_leader),
         leader_vm(), is_own ? std::move(result) : std::string()});
}

void replica_driver::handle_role_change(const consensus::role_change& change)
{
    const bool leads = change.role == replica_role::leader;
    if (leads)
    {
        leading_term_ = change.term;
    }
    else if (leading_term_ != 0)
    {
        leading_term_ = 0;
        fail_pending(propose_status::lost);
    }
    log_clock_.reset();
    LOG(INFO) << core::log_line("role_changed")
                     .with(
                         "role",
                         std::string(core::name_of(
                             consensus::replica_role_names, change.role)))
                     .with("term", change.term);
    environment_.role_changed(leads, change.term);
}

void replica_driver::fail_pending(propose_status status)
{
    auto pending = std::exchange(pending_, {});
    for (auto& [index, it] : pending)
    {
        it.done({static_cast<std::uint8_t>(status), "", ""});
    }
}

void replica_driver::bootstrap_cluster()
{
    const auto voters = roster_.bootstrap_voters(clock_.now());
    if (!voters)
    {
        return;
    }
    const auto status = node_->bootstrap(*voters);
    LOG(INFO) << core::log_line("cluster_founded")
                     .with("voters", voters->size())
                     .with("status", status.ToString());
    process_node_output();
}

void replica_driver::update_membership()
{
    if (leading_term_ == 0 || !log_clock_)
    {
        return;
    }
    const auto now = clock_.now();
    for (const auto& it : roster_.unrecorded(state_.replicas(), now))
    {
        propose(command_kind::replica, wire::encode(it), [](const auto&) {});
    }
    const auto change = roster_.next_change(
        node_->members(), state_.replicas(),
        [this](consensus::replica_id id) {
            return node_->is_caught_up(id);
        },
        now);
    if (!change)
    {
        return;
    }
    const auto position = node_->change_membership(*change);
    if (position.ok())
    {
        LOG(INFO) << core::log_line("membership_change")
                         .with(
                             "kind", std::string(core::name_of(
                                         consensus::membership_change_names,
                                         change->kind)))
                         .with("replica", change->replica);
        process_node_output();
    }
}

void replica_driver::advance_log_time()
{
    const auto now = clock_.now();
    if (!log_clock_ || now < next_log_tick_)
    {
        return;
    }
    next_log_tick_ = now + log_tick_interval;
    if (state_.has_expiries())
    {
        propose(
            command_kind::ledger,
            ledger::encode_command(ledger::tick_command{}), [](const auto&) {});
    }
}

void replica_driver::compact_if_large()
{
    // A snapshot needs more space than the entries that it replaces.
    if (space_.is_full() || !compaction_.is_due())
    {
        return;
    }
    auto snapshot = state_.take_snapshot();
    const auto bytes = snapshot.size();
    const auto status = node_->compact(applied_index_, std::move(snapshot));
    if (!status.ok())
    {
        LOG(ERROR) << "compaction_failed error=\"" << status.ToString() << "\"";
        return;
    }
    compaction_.compacted(bytes);
    process_node_output();
}

} // namespace hyssoploft::control
