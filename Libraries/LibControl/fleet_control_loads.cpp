// Load reports within a region: entry VMs send their loads to one control VM,
// the aggregator, which sends them the sums.

#include <LibControl/fleet_control.hpp>

#include <LibCore/log_line.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace hyssoploft::control {

namespace {

/// Shorter than the prefill of one long prompt.
constexpr std::chrono::milliseconds load_notice_interval{40};
/// Reports that arrive within this time share one snapshot.
constexpr std::chrono::milliseconds load_publish_interval{20};

} // namespace

std::string fleet_control::load_aggregator() const
{
    // VMs are ordered by identifier, so all choose the same aggregator.
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
    for (const auto& it : announcer_.next_notices(loads, clock_->now()))
    {
        const auto payload = wire::encode(it);
        for (const auto& address : to)
        {
            const auto status = transport_->send_datagram(
                address, wire::message_type::load_notice, payload);
            // Each row is sent again after a second, so a full socket buffer
            // is logged only now and then.
            LOG_IF_EVERY_N(WARNING, !status.ok(), 1000)
                << core::log_line("load_notice_unsent")
                       .with("to", address)
                       .with("error", status.ToString());
        }
    }
}

void fleet_control::send_own_loads()
{
    const auto now = clock_->now();
    const auto aggregator = load_aggregator();
    if (now < next_load_notice_ || aggregator.empty() ||
        aggregator == options_.vm)
    {
        return;
    }
    next_load_notice_ = now + load_notice_interval;
    std::vector<fleet::load_row> loads;
    {
        const std::lock_guard lock(published_mutex_);
        loads = own_loads_;
    }
    send_loads(loads, {peer_address_of(aggregator)});
}

void fleet_control::send_load_sums()
{
    const auto now = clock_->now();
    if (now < next_load_notice_ || load_aggregator() != options_.vm ||
        peer_loads_.live_peer_count(now) == 0)
    {
        return;
    }
    next_load_notice_ = now + load_notice_interval;
    std::vector<fleet::load_row> sums;
    for (auto& [id, it] : peer_loads_.sums(now))
    {
        sums.push_back(std::move(it));
    }
    std::vector<std::string> recipients;
    for (const auto& [id, it] : fleet_->vms)
    {
        if (it.entry && id != options_.vm && it.region == options_.region &&
            it.state != membership::vm_state::dead)
        {
            recipients.push_back(it.peer_address);
        }
    }
    send_loads(sums, recipients);
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
        peer_loads_.apply(it.sender, *notice, now);
        return;
    }
    if (it.sender != load_aggregator())
    {
        return;
    }
    if (it.sender != sums_sender_)
    {
        // Sums of two aggregators count the same calls; drops the old ones.
        sums_sender_ = it.sender;
        peer_loads_ = {};
    }
    peer_loads_.apply(it.sender, *notice, now);
    if (now >= next_load_publish_)
    {
        next_load_publish_ = now + load_publish_interval;
        publish();
    }
}

void fleet_control::fill_loads(fleet::traffic_view& out, core::time_point now)
{
    for (const auto& it : merger_.loads(now))
    {
        out.loads[it.upstream] = {it.running, it.waiting_tokens};
    }
    out.loads_received_at = merger_.loads_received_at();
    if (replica_ || sums_sender_.empty() || sums_sender_ != load_aggregator() ||
        peer_loads_.live_peer_count(now) == 0)
    {
        return;
    }
    std::erase_if(out.loads, [&](const auto& it) {
        const auto found = fleet_->upstreams.find(it.first);
        return found != fleet_->upstreams.end() &&
               found->second.region == options_.region;
    });
    auto sums = peer_loads_.sums(now);
    fleet::subtract_loads(sums, announcer_.sent_rows());
    for (const auto& [id, it] : sums)
    {
        out.loads[id] = {it.running, it.waiting_tokens};
    }
    out.loads_received_at = now;
}

} // namespace hyssoploft::control
