// Sends probes, handles probe messages and publishes the view.

#include <LibMembership/fleet_member.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::membership {

namespace {

constexpr core::duration view_update_period = std::chrono::milliseconds(200);
constexpr core::duration load_update_period = std::chrono::milliseconds(500);
constexpr core::duration config_event_period = std::chrono::seconds(1);
// Fields of a ping or ack besides the two updates and the target.
constexpr std::size_t probe_header_bytes = 16;

} // namespace

absl::StatusOr<std::unique_ptr<fleet_member>>
fleet_member::create(member_options options, core::random_source& random)
{
    const auto& self = options.self;
    member_update update;
    update.id = self.id;
    update.region = self.region;
    update.data_center = self.data_center;
    update.http_address = self.http_address;
    update.peer_address = self.peer_address;
    ping sample;
    sample.self = update;
    if (!is_valid(sample) || self.region.empty() || self.peer_address.empty())
    {
        return absl::InvalidArgumentError(
            "identifier, region or peer address of the VM is missing or too "
            "long");
    }
    return std::unique_ptr<fleet_member>(
        new fleet_member(std::move(options), random));
}

fleet_member::fleet_member(member_options options, core::random_source& random)
    : options_(std::move(options)), random_(random),
      detector_(options_.self, options_.seeds, options_.timing, random),
      upstreams_(options_.self.region), withdrawals_(options_.is_committed)
{}

void fleet_member::tick(core::time_point now)
{
    for (const auto& it : detector_.tick(now))
    {
        send_probe(it, now);
    }
    upstreams_.tick(now);
    sync_requested_ = sync_requested_ || detector_.was_paused();
    update_isolation(now);
    if (now >= next_gossip_)
    {
        next_gossip_ = now + options_.gossip_period;
        send_gossip(now);
    }
    sync_periodically(now);
}

void fleet_member::update_isolation(core::time_point now)
{
    if (!isolated_ && detector_.is_cut_off_from_region(now))
    {
        isolated_ = true;
        detector_.table().update_self([](vm_record& it) {
            it.isolated = true;
        });
    }
    // Isolation ends with a completed exchange, so that this VM has the updates
    // that it missed.
    sync_requested_ = sync_requested_ || isolated_;
}

void fleet_member::send(
    const std::string& to, const std::string& address, message body)
{
    outgoing_.push_back({to, address, std::move(body)});
}

void fleet_member::send_probe(const probe_action& it, core::time_point now)
{
    const auto self = detector_.table().self_update();
    if (it.kind == probe_action::probe_kind::ping_request)
    {
        ping_request out{
            it.probe_number, it.target, it.target_address, self, {}};
        append_disputed_state(out.target_update, it.target);
        return send(it.to, it.address, std::move(out));
    }
    ping out{it.probe_number, it.to, self, {}};
    if (it.kind == probe_action::probe_kind::confirm)
    {
        append_disputed_state(out.updates.members, it.to);
    }
    else
    {
        fill_piggyback(
            out.updates, encoded_size(self) + it.to.size() + probe_header_bytes,
            it.to, now);
    }
    send(it.to, it.address, std::move(out));
}

void fleet_member::send_gossip(core::time_point now)
{
    const auto& region = options_.self.region;
    const auto to =
        detector_.table().pick_random(1, random_, [&](const member& m) {
            return m.record.state == vm_state::alive &&
                   m.record.region == region;
        });
    if (to.empty())
    {
        return;
    }
    const auto& receiver = to.front()->record;
    ping out{0, receiver.id, detector_.table().self_update(), {}};
    fill_piggyback(
        out.updates,
        encoded_size(out.self) + receiver.id.size() + probe_header_bytes,
        receiver.id, now);
    send(receiver.id, receiver.peer_address, std::move(out));
}

void fleet_member::on_message(
    const std::string& sender, const message& it, core::time_point now)
{
    const auto& self = std::visit(
        [](const auto& m) -> const member_update& {
            return m.self;
        },
        it);
    if (!is_valid(it) || self.id != sender || self.region.empty() ||
        self.peer_address.empty() || sender == options_.self.id)
    {
        ++counters_.invalid_messages;
        return;
    }
    record_sender(self, now);
    std::visit(
        [&](const auto& m) {
            handle(m, now);
        },
        it);
}

void fleet_member::record_sender(
    const member_update& sender, core::time_point now)
{
    detector_.table().apply_self_report(sender, now);
    const auto own_version = detector_.table().self().config_version;
    if (sender.config_version > own_version &&
        (sender.config_version > last_config_event_version_ ||
         now - last_config_event_ >= config_event_period))
    {
        last_config_event_version_ = sender.config_version;
        last_config_event_ = now;
        events_.emplace_back(config_newer{
            sender.id, sender.peer_address, sender.config_version});
    }
}

void fleet_member::handle(const ping& it, core::time_point now)
{
    apply_piggyback(it.updates, it.self, now);
    if (it.probe_number == 0)
    {
        return;
    }
    ack out{it.probe_number, detector_.table().self_update(), {}, {}};
    // A confirmation probe carries at most one update, about this VM. Its ack
    // stays small, because every VM may probe the same suspect.
    if (it.updates.renewals.empty() && it.updates.members.size() == 1 &&
        it.updates.members.front().id == options_.self.id)
    {
        return send(it.self.id, it.self.peer_address, std::move(out));
    }
    fill_piggyback(
        out.updates, encoded_size(out.self) + probe_header_bytes, it.self.id,
        now);
    send(it.self.id, it.self.peer_address, std::move(out));
}

void fleet_member::handle(const ack& it, core::time_point now)
{
    apply_piggyback(it.updates, it.self, now);
    for (const auto& m : it.probed_member)
    {
        detector_.table().apply(m, now);
    }
    const auto& responder =
        it.probed_member.empty() ? it.self.id : it.probed_member.front().id;
    const auto forward_to = detector_.on_ack(it.probe_number, responder);
    if (forward_to)
    {
        ack out{
            forward_to->probe_number, detector_.table().self_update(), {}, {}};
        out.probed_member.push_back(it.self);
        send(
            forward_to->requester, forward_to->requester_address,
            std::move(out));
    }
}

void fleet_member::handle(const ping_request& it, core::time_point now)
{
    for (const auto& m : it.target_update)
    {
        detector_.table().apply(m, now);
    }
    const auto action =
        detector_.start_relay(it.self.id, it.self.peer_address, it, now);
    if (action)
    {
        send_probe(*action, now);
    }
}

std::vector<outgoing_message> fleet_member::take_outgoing()
{
    return std::exchange(outgoing_, {});
}

std::vector<member_event> fleet_member::take_events()
{
    return std::exchange(events_, {});
}

absl::Status
fleet_member::announce(const upstream_record& it, core::time_point now)
{
    return upstreams_.announce(it, now);
}

absl::Status fleet_member::leave(
    const std::string& id, std::uint64_t incarnation, core::time_point now)
{
    return upstreams_.leave(id, incarnation, now);
}

absl::Status fleet_member::report_load(
    const std::string& id, const load_report& load, core::time_point now)
{
    loads_changed_ = true;
    return upstreams_.report_load(id, load, now);
}

absl::Status fleet_member::withdraw(const key_digest& it)
{
    return withdrawals_.add(it).status();
}

void fleet_member::set_config_version(std::uint64_t version)
{
    detector_.table().set_config_version(version);
    withdrawals_.drop_committed();
}

void fleet_member::set_overloaded(bool overloaded)
{
    if (detector_.table().self().overloaded != overloaded)
    {
        detector_.table().update_self([&](vm_record& it) {
            it.overloaded = overloaded;
        });
    }
}

void fleet_member::begin_leaving()
{
    if (detector_.table().self().state != vm_state::leaving)
    {
        detector_.table().update_self([](vm_record& it) {
            it.state = vm_state::leaving;
        });
    }
}

std::shared_ptr<const fleet_view> fleet_member::publish(core::time_point now)
{
    const auto changes = detector_.table().changes() + upstreams_.changes();
    const auto age = now - view_built_;
    const bool due = (changes != view_changes_ && age >= view_update_period) ||
                     (loads_changed_ && age >= load_update_period);
    if (view_ && !due)
    {
        return view_;
    }
    auto next = std::make_shared<fleet_view>();
    const auto& table = detector_.table();
    next->self = table.self().id;
    next->isolated = isolated_;
    next->vms.emplace(table.self().id, table.self());
    for (const auto& [id, it] : table.members())
    {
        next->vms.emplace_hint(next->vms.end(), id, it.record);
    }
    for (const auto& [id, it] : upstreams_.entries())
    {
        next->upstreams.emplace_hint(next->upstreams.end(), id, it.record);
    }
    next->regions = regions_;
    view_ = std::move(next);
    view_built_ = now;
    view_changes_ = changes;
    loads_changed_ = false;
    return view_;
}

} // namespace hyssoploft::membership
