// The notices of loads between the entry VMs of a region.

#include <LibControl/fleet_control.hpp>

#include <LibCore/log_line.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace hyssoploft::control {

namespace {

/// Shorter than the time to read one long prompt.
constexpr std::chrono::milliseconds notice_interval{40};
/// Datagrams that a VM sends each second at most; in a region of more VMs
/// notices are rarer. Each costs its sender and its receiver about 20 us.
constexpr double max_notices_per_second = 1000;
/// Notices of several VMs are taken into the snapshot together.
constexpr std::chrono::milliseconds publish_interval{20};
/// With notices of fewer than this part of the region's other VMs, reports
/// through the control VMs tell more.
constexpr double min_heard = 0.5;

} // namespace

std::vector<std::string> fleet_control::load_peers() const
{
    std::vector<std::string> out;
    for (const auto& [id, it] : fleet_->vms)
    {
        if (it.entry && id != options_.vm && it.region == options_.region &&
            it.state != membership::vm_state::dead && !it.peer_address.empty())
        {
            out.push_back(it.peer_address);
        }
    }
    return out;
}

void fleet_control::announce_loads()
{
    const auto now = clock_->now();
    if (now < next_notice_)
    {
        return;
    }
    const auto peers = load_peers();
    const auto spaced = core::from_seconds(
        static_cast<double>(peers.size()) / max_notices_per_second);
    next_notice_ = now + std::max<core::duration>(notice_interval, spaced);
    std::vector<fleet::load_row> loads;
    {
        const std::lock_guard lock(published_mutex_);
        loads = own_loads_;
    }
    for (const auto& it : announcer_.next(loads, now))
    {
        const auto payload = wire::encode(it);
        for (const auto& address : peers)
        {
            const auto status = transport_->send_datagram(
                address, wire::message_type::load_notice, payload);
            // The row is repeated after a second; a full socket is no reason
            // to log at every notice.
            LOG_IF_EVERY_N(WARNING, !status.ok(), 1000)
                << core::log_line("load_notice_unsent")
                       .with("to", address)
                       .with("error", status.ToString());
        }
    }
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
    const auto peers = static_cast<double>(load_peers().size());
    const auto heard = static_cast<double>(peer_loads_.heard(now));
    if (options_.entry_address.empty() || heard < min_heard * peers ||
        heard == 0)
    {
        return;
    }
    std::erase_if(out.loads, [&](const auto& it) {
        const auto found = fleet_->upstreams.find(it.first);
        return found != fleet_->upstreams.end() &&
               found->second.region == options_.region;
    });
    for (const auto& [id, it] : peer_loads_.sums(now))
    {
        out.loads[id] = {it.running, it.waiting_tokens};
    }
    out.loads_at = now;
}

} // namespace hyssoploft::control
