// Load reports within a region: entry VMs send their loads to its control VMs,
// the aggregators, one of which sends them the sums.

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

void fleet_control::send_loads(
    const std::vector<fleet::load_notice>& notices,
    const std::vector<std::string>& to)
{
    for (const auto& it : notices)
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
    const auto aggregators = fleet::load_aggregators(*fleet_, options_.region);
    if (now < next_load_notice_ || aggregators.empty())
    {
        return;
    }
    next_load_notice_ = now + load_notice_interval;
    std::vector<std::string> to;
    for (const auto& vm : aggregators)
    {
        if (vm != options_.vm)
        {
            to.push_back(peer_address_of(vm));
        }
    }
    std::vector<fleet::load_row> loads;
    {
        const std::lock_guard lock(published_mutex_);
        loads = own_loads_;
    }
    const auto notices = announcer_.next_notices(loads, now);
    for (const auto& it : notices)
    {
        if (replica_)
        {
            peer_loads_.apply(options_.vm, it, now);
        }
    }
    send_loads(notices, to);
}

void fleet_control::send_load_sums()
{
    const auto now = clock_->now();
    if (now < next_load_sums_ || peer_loads_.live_peer_count(now) == 0 ||
        !aggregation_->sends_sums(*fleet_, options_.region, now))
    {
        return;
    }
    next_load_sums_ = now + load_notice_interval;
    std::vector<fleet::load_row> sums;
    for (auto& [id, it] : peer_loads_.sums(now))
    {
        sums.push_back(std::move(it));
    }
    std::vector<std::string> recipients;
    for (const auto& [id, it] : fleet_->vms)
    {
        if (it.entry && !it.control && it.region == options_.region &&
            it.state != membership::vm_state::dead)
        {
            recipients.push_back(it.peer_address);
        }
    }
    send_loads(
        sums_announcer_.next_notices_or_keepalive(sums, now), recipients);
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
    if (!sender->second.control)
    {
        return;
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
    sums_sender_ =
        replica_ ? std::string()
                 : peer_loads_.first_current(
                       fleet::load_aggregators(*fleet_, options_.region), now);
    if (sums_sender_.empty())
    {
        return;
    }
    std::erase_if(out.loads, [&](const auto& it) {
        const auto found = fleet_->upstreams.find(it.first);
        return found != fleet_->upstreams.end() &&
               found->second.region == options_.region;
    });
    auto sums = peer_loads_.rows_of(sums_sender_, now);
    fleet::subtract_loads(sums, announcer_.sent_rows());
    for (const auto& [id, it] : sums)
    {
        out.loads[id] = {it.running, it.waiting_tokens};
    }
    out.loads_received_at = peer_loads_.last_received_at(sums_sender_);
}

bool fleet_control::sums_are_outdated(core::time_point now) const
{
    return !sums_sender_.empty() &&
           peer_loads_.first_current({sums_sender_}, now).empty();
}

} // namespace hyssoploft::control
