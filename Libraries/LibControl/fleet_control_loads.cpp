// Notices of loads within a region: entry VMs tell one control VM, the hub,
// which tells them the sums.

#include <LibControl/fleet_control.hpp>

#include <LibCore/log_line.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace hyssoploft::control {

namespace {

/// Shorter than the time to read one long prompt.
constexpr std::chrono::milliseconds notice_interval{40};
/// Notices that arrive together are taken into the snapshot together.
constexpr std::chrono::milliseconds publish_interval{20};

} // namespace

std::string fleet_control::load_hub() const
{
    // VMs are in the order of their identifiers, the same on every VM.
    for (const auto& [id, it] : fleet_->vms)
    {
        if (it.control && it.region == options_.region &&
            it.state == membership::vm_state::alive)
        {
            return id;
        }
    }
    return "";
}

void fleet_control::send_loads(
    const std::vector<fleet::load_row>& loads,
    const std::vector<std::string>& to)
{
    for (const auto& it : announcer_.next(loads, clock_->now()))
    {
        const auto payload = wire::encode(it);
        for (const auto& address : to)
        {
            const auto status = transport_->send_datagram(
                address, wire::message_type::load_notice, payload);
            // Each row is repeated after a second; a full socket is no reason
            // for a line at every notice.
            LOG_IF_EVERY_N(WARNING, !status.ok(), 1000)
                << core::log_line("load_notice_unsent")
                       .with("to", address)
                       .with("error", status.ToString());
        }
    }
}

void fleet_control::announce_loads()
{
    const auto now = clock_->now();
    const auto hub = load_hub();
    if (now < next_notice_ || hub.empty() || hub == options_.vm)
    {
        return;
    }
    next_notice_ = now + notice_interval;
    std::vector<fleet::load_row> loads;
    {
        const std::lock_guard lock(published_mutex_);
        loads = own_loads_;
    }
    send_loads(loads, {peer_address_of(hub)});
}

void fleet_control::announce_sums()
{
    const auto now = clock_->now();
    if (now < next_notice_ || load_hub() != options_.vm ||
        peer_loads_.heard(now) == 0)
    {
        return;
    }
    next_notice_ = now + notice_interval;
    std::vector<fleet::load_row> sums;
    for (auto& [id, it] : peer_loads_.sums(now))
    {
        sums.push_back(std::move(it));
    }
    std::vector<std::string> readers;
    for (const auto& [id, it] : fleet_->vms)
    {
        if (it.entry && id != options_.vm && it.region == options_.region &&
            it.state != membership::vm_state::dead)
        {
            readers.push_back(it.peer_address);
        }
    }
    send_loads(sums, readers);
}

void fleet_control::on_load_notice(const wire::incoming_message& it)
{
    const auto notice = wire::decode<fleet::load_notice>(it.payload);
    const auto sender = fleet_->vms.find(it.sender);
    if (!notice.ok() || sender == fleet_->vms.end() ||
        sender->second.region != options_.region)
    {
        return;
    }
    const auto now = clock_->now();
    if (replica_)
    {
        peer_loads_.hear(it.sender, *notice, now);
        return;
    }
    if (it.sender != load_hub())
    {
        return;
    }
    if (it.sender != heard_hub_)
    {
        // The sums of two hubs count the same calls.
        heard_hub_ = it.sender;
        peer_loads_ = {};
    }
    peer_loads_.hear(it.sender, *notice, now);
    if (now >= next_load_publish_)
    {
        next_load_publish_ = now + publish_interval;
        publish();
    }
}

void fleet_control::fill_loads(fleet::traffic_view& out, core::time_point now)
{
    for (const auto& it : merger_.loads())
    {
        out.loads[it.upstream] = {it.running, it.waiting_tokens};
    }
    out.loads_at = loads_at_;
    if (replica_ || heard_hub_.empty() || heard_hub_ != load_hub() ||
        peer_loads_.heard(now) == 0)
    {
        return;
    }
    std::erase_if(out.loads, [&](const auto& it) {
        const auto found = fleet_->upstreams.find(it.first);
        return found != fleet_->upstreams.end() &&
               found->second.region == options_.region;
    });
    auto sums = peer_loads_.sums(now);
    fleet::subtract_loads(sums, announcer_.told());
    for (const auto& [id, it] : sums)
    {
        out.loads[id] = {it.running, it.waiting_tokens};
    }
    out.loads_at = now;
}

} // namespace hyssoploft::control
