// State exchange between VMs and control VMs.

#include <LibControl/fleet_control.hpp>
#include <LibControl/manifest_delivery.hpp>

#include <LibCore/log_line.hpp>
#include <LibCore/text.hpp>
#include <LibFleet/load_sources.hpp>
#include <LibFleet/row_checks.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace hyssoploft::control {

namespace {

using wire::message_type;

/// Changes reach every VM within this interval and a round trip, well below the
/// strictest limit on propagation, 3 s.
constexpr std::chrono::milliseconds sync_interval{400};
/// Interval with control VMs of other regions while one of the VM's own region
/// replies: changes in other regions arrive through it, and leases of rates
/// last longer.
constexpr std::chrono::milliseconds remote_sync_interval{800};
/// Covers a round trip between regions and a scheduling delay.
constexpr std::chrono::milliseconds sync_timeout{900};
/// Delay before the next request to a control VM that did not answer.
constexpr std::chrono::milliseconds sync_retry_delay{300};
/// Time after a start until a control VM has the announcements of all
/// upstreams: two announcement periods.
constexpr std::chrono::seconds startup_settle_time{4};
/// Age up to which announcements are forwarded between control VMs.
constexpr std::chrono::seconds announcement_forward_window{2};

struct fleet_notice
{
    std::uint64_t manifest_version = 0;
    std::uint64_t evacuation_revision = 0;
    bool upstreams = false; ///< An upstream's row changed.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(manifest_version, evacuation_revision, upstreams);
    }
};

} // namespace

fleet::vm_row fleet_control::own_vm_row() const
{
    fleet::vm_row out;
    out.id = options_.vm;
    out.region = options_.region;
    out.data_center = options_.data_center;
    out.entry_address = options_.entry_address;
    out.relay_address = options_.relay_address;
    out.control_address = options_.control_address;
    out.peer_address = options_.peer_address;
    out.incarnation = options_.incarnation;
    out.state = static_cast<std::uint8_t>(
        leaving_ ? membership::vm_state::leaving : membership::vm_state::alive);
    out.control = replica_ != nullptr;
    out.ready = ready_ && !leaving_;
    return out;
}

std::set<std::string> fleet_control::control_vms() const
{
    std::set<std::string> out(seeds_.begin(), seeds_.end());
    for (const auto& [id, it] : fleet_->vms)
    {
        if (it.control)
        {
            out.insert(id);
        }
    }
    out.erase(options_.vm);
    return out;
}

std::string fleet_control::peer_address_of(const std::string& vm) const
{
    const auto found = fleet_->vms.find(vm);
    if (found != fleet_->vms.end() && !found->second.peer_address.empty())
    {
        return found->second.peer_address;
    }
    // A VM's identifier is its IP address; all use the same peer port.
    const auto& own = options_.peer_address;
    return vm + own.substr(own.rfind(':'));
}

void fleet_control::sync_peers()
{
    const auto now = clock_->now();
    const auto targets = control_vms();
    std::erase_if(peers_, [&](const auto& it) {
        return !targets.contains(it.first) && !it.second.request_pending;
    });
    for (const auto& vm : targets)
    {
        const auto& it = peers_[vm];
        if (!it.request_pending && now >= it.next_sync)
        {
            sync_with(vm);
        }
    }
}

fleet::sync_request fleet_control::make_sync_request(const std::string& vm)
{
    fleet::sync_request out;
    out.self = own_vm_row();
    const auto position = merger_.position_at(vm);
    out.epoch = position.epoch;
    out.cursor = position.cursor;
    out.manifest_version = manifest_version_;
    out.evacuation_revision = evacuation_revision_;
    if (!options_.entry_address.empty())
    {
        out.shares = share_holder_->build_request(vm, clock_->now());
        const std::lock_guard lock(published_mutex_);
        out.loads = own_loads_;
    }
    return out;
}

core::duration fleet_control::sync_interval_with(const std::string& vm) const
{
    const auto found = fleet_->vms.find(vm);
    const bool is_remote = !replica_ && found != fleet_->vms.end() &&
                           found->second.region != options_.region;
    const bool has_near_control_vm =
        !fleet::load_aggregators(*fleet_, options_.region).empty();
    return is_remote && has_near_control_vm ? remote_sync_interval
                                            : sync_interval;
}

void fleet_control::sync_with(const std::string& vm)
{
    auto& peer = peers_[vm];
    if (peer.request_pending)
    {
        peer.resync_requested = true;
        return;
    }
    peer.request_pending = true;
    peer.resync_requested = false;
    const auto requested_at = clock_->now();
    peer.next_sync = requested_at + sync_interval_with(vm);
    transport_->request(
        peer_address_of(vm), message_type::fleet_sync,
        wire::encode(make_sync_request(vm)), sync_timeout,
        [this, vm,
         requested_at](absl::StatusOr<wire::incoming_message> answer) {
            auto& it = peers_[vm];
            it.request_pending = false;
            const auto decoded =
                answer.ok() ? wire::decode<fleet::sync_reply>(answer->payload)
                            : answer.status();
            if (!decoded.ok())
            {
                it.next_sync = clock_->now() + sync_retry_delay;
                return;
            }
            on_sync_answer(vm, *decoded, requested_at);
            if (it.resync_requested)
            {
                sync_with(vm);
            }
        });
}

void fleet_control::on_sync_answer(
    const std::string& vm, const fleet::sync_reply& it,
    core::time_point requested_at)
{
    const auto now = clock_->now();
    if (resumed_at_ && requested_at >= *resumed_at_)
    {
        resumed_at_.reset();
        view_changed_ = true;
    }
    const bool has_changes = it.is_snapshot || !it.vms.empty() ||
                             !it.upstreams.empty() ||
                             !it.removed_upstreams.empty();
    merger_.apply(vm, it, now);
    silent_grantors_.answered(vm);
    view_changed_ |= has_changes;
    if (replica_)
    {
        aggregation_->record_contact(vm, now);
        for (const auto& row : it.upstreams)
        {
            (void)upstreams_.merge(row, now);
        }
        for (const auto& row : it.announcements)
        {
            upstreams_.merge_announcement(row, now);
        }
    }
    if (it.manifest_version > manifest_version_ && !it.manifest.empty())
    {
        install_manifest(it.manifest_version, it.manifest);
    }
    install_evacuations(it.evacuation_revision, it.evacuated);
    if (!options_.entry_address.empty() && it.shares.sequence != 0)
    {
        (void)share_holder_->apply(vm, it.shares, now);
    }
    if (view_changed_)
    {
        rebuild_view();
        publish();
    }
}

fleet::sync_reply fleet_control::make_sync_answer(
    const fleet::sync_request& it, core::time_point now)
{
    fleet::sync_reply out;
    const bool known = it.epoch == epoch_;
    const auto cursor = known ? it.cursor : 0;
    out.epoch = epoch_;
    out.cursor = change_counter_;
    out.settled = now - started_ >= startup_settle_time;
    out.is_snapshot = !known;
    out.vms = vms_.changed_since(cursor);
    out.upstreams = upstreams_.changed_since(cursor, now);
    out.removed_upstreams =
        known ? upstreams_.removed_since(cursor) : std::vector<std::string>();
    if (it.self.control)
    {
        out.announcements =
            upstreams_.announcements_within(announcement_forward_window, now);
    }
    out.manifest_version = manifest_version_;
    if (is_manifest_due(
            manifest_version_, now - manifest_installed_at_,
            it.manifest_version, it.self.control))
    {
        out.manifest = packed_manifest_;
    }
    out.evacuation_revision = evacuation_revision_;
    if (evacuation_revision_ > it.evacuation_revision)
    {
        out.evacuated = evacuated_;
    }
    if (aggregation_->is_complete(now) &&
        fleet::sends_loads_to(*fleet_, options_.vm, it.self.region))
    {
        out.loads = loads_.sums_excluding(it.self.id, now);
    }
    return out;
}

void fleet_control::serve_sync(const wire::incoming_message& it)
{
    const auto request = wire::decode<fleet::sync_request>(it.payload);
    const bool is_usable = request.ok() && request->self.id == it.sender &&
                           fleet::has_known_state(request->self);
    if (!replica_ || !is_usable)
    {
        return;
    }
    const auto now = clock_->now();
    if (request->self.control)
    {
        aggregation_->record_contact(it.sender, now);
    }
    if (vms_.apply_report(request->self, now))
    {
        view_changed_ = true;
        LOG(INFO) << core::log_line("vm_reported")
                         .with("vm", request->self.id)
                         .with("region", request->self.region)
                         .with("control", request->self.control ? 1 : 0)
                         .with("ready", request->self.ready ? 1 : 0)
                         .with("state", request->self.state);
    }
    auto answer = make_sync_answer(*request, now);
    if (!request->self.entry_address.empty())
    {
        loads_.set_report(request->self.id, request->loads, now);
        if (const auto grantors = update_grantor_count(now); grantors > 0)
        {
            answer.shares = allocator_->handle(
                request->self.id, request->self.incarnation, request->shares,
                grantors, now);
            return_credit(*request, answer.shares, now);
        }
    }
    (void)transport_->respond(
        it.reply, message_type::fleet_sync_answer, wire::encode(answer));
}

void fleet_control::send_fleet_notices(bool upstreams)
{
    const auto payload = wire::encode(
        fleet_notice{manifest_version_, evacuation_revision_, upstreams});
    for (const auto& [id, it] : vms_.entries())
    {
        const bool reachable = id != options_.vm &&
                               it.row.state != static_cast<std::uint8_t>(
                                                   membership::vm_state::dead);
        if (reachable)
        {
            (void)transport_->send(
                it.row.peer_address, message_type::fleet_notice, payload);
        }
    }
}

void fleet_control::on_fleet_notice(const wire::incoming_message& it)
{
    const auto notice = wire::decode<fleet_notice>(it.payload);
    if (!notice.ok())
    {
        return;
    }
    const bool has_changes = notice->upstreams ||
                             notice->manifest_version > manifest_version_ ||
                             notice->evacuation_revision > evacuation_revision_;
    if (has_changes)
    {
        sync_with(it.sender);
    }
}

} // namespace hyssoploft::control
