// Prompt parts under which upstreams crashed: entry VMs report to the control
// VMs, which tell each other and the entry VMs of their region.

#include <LibControl/fleet_control.hpp>

#include <LibCore/log_line.hpp>
#include <LibFleet/load_sources.hpp>

#include <absl/strings/str_format.h>
#include <boost/asio/post.hpp>
#include <glog/logging.h>

#include <utility>

namespace hyssoploft::control {

namespace {

using wire::message_type;

/// Changes within this time share one notice.
constexpr std::chrono::milliseconds suspect_notice_interval{100};
/// A notice may be lost with its connection, and a VM that has just started
/// knows nothing: active rows are sent again after this time.
constexpr std::chrono::milliseconds suspect_refresh_interval{2000};

std::string part_text(std::uint64_t part)
{
    return absl::StrFormat("%x", part);
}

} // namespace

void fleet_control::report_crash(
    std::uint64_t upstream, std::vector<std::uint64_t> parts,
    core::time_point at)
{
    boost::asio::post(io_, [this, upstream, parts = std::move(parts), at] {
        for (const auto part : parts)
        {
            (void)own_suspects_.record_crash(part, upstream, at);
            suspects_changed_ |= suspects_.record_crash(part, upstream, at);
        }
    });
}

void fleet_control::report_answer(std::uint64_t part, core::time_point at)
{
    boost::asio::post(io_, [this, part, at] {
        suspects_changed_ |= suspects_.record_answer(part, at);
        (void)own_suspects_.record_answer(part, at);
    });
}

void fleet_control::on_suspect_notice(const wire::incoming_message& it)
{
    const auto notice = wire::decode<fleet::suspect_notice>(it.payload);
    if (!notice.ok())
    {
        LOG_EVERY_N(WARNING, 100)
            << core::log_line("suspect_notice_unreadable")
                   .with("vm", it.sender)
                   .with("error", notice.status().ToString());
        return;
    }
    const auto now = clock_->now();
    for (const auto& row : notice->rows)
    {
        suspects_changed_ |= suspects_.merge(row, now);
    }
}

void fleet_control::update_suspects()
{
    const auto now = clock_->now();
    if (std::exchange(suspects_changed_, false))
    {
        publish_suspects();
    }
    if (now >= next_suspect_notice_)
    {
        next_suspect_notice_ = now + suspect_notice_interval;
        send_suspects(now);
    }
}

void fleet_control::publish_suspects()
{
    auto states = std::make_shared<fleet::suspect_parts>(suspects_.states());
    for (const auto& [part, it] : *states)
    {
        const auto previous = suspect_states_->find(part);
        const bool is_known = previous != suspect_states_->end() &&
                              previous->second.crashes == it.crashes;
        if (it.is_quarantined() && !is_known)
        {
            LOG(INFO) << core::log_line("prompt_part_quarantined")
                             .with("part", part_text(part))
                             .with("crashes", it.crashes)
                             .with(
                                 "hold_s",
                                 core::to_seconds(
                                     it.held_until - it.last_crash_at));
        }
    }
    for (const auto& [part, it] : *suspect_states_)
    {
        const auto current = states->find(part);
        const bool is_released =
            it.is_quarantined() &&
            (current == states->end() || !current->second.is_quarantined());
        if (is_released)
        {
            LOG(INFO) << core::log_line("prompt_part_released")
                             .with("part", part_text(part));
        }
    }
    suspect_states_ = std::move(states);
    view_changed_ = true;
}

std::vector<std::string> fleet_control::suspect_recipients() const
{
    std::vector<std::string> out;
    for (const auto& vm : control_vms())
    {
        out.push_back(peer_address_of(vm));
    }
    if (!replica_)
    {
        return out;
    }
    for (const auto& [id, it] : fleet_->vms)
    {
        // VMs of a region without a control VM hear of it from all others.
        const bool is_served =
            it.region == options_.region ||
            fleet::load_aggregators(*fleet_, it.region).empty();
        if (it.entry && !it.control && is_served &&
            it.state != membership::vm_state::dead)
        {
            out.push_back(it.peer_address);
        }
    }
    return out;
}

void fleet_control::send_suspects(core::time_point now)
{
    auto& table = replica_ ? suspects_ : own_suspects_;
    auto changes = table.changed_since(sent_suspect_change_, now);
    sent_suspect_change_ = changes.up_to;
    if (now >= next_suspect_refresh_)
    {
        next_suspect_refresh_ = now + suspect_refresh_interval;
        suspects_changed_ |= suspects_.tick(now);
        (void)own_suspects_.tick(now);
        for (auto& it : table.next_refresh(now))
        {
            changes.rows.push_back(std::move(it));
        }
    }
    if (changes.rows.empty())
    {
        return;
    }
    const auto payload =
        wire::encode(fleet::suspect_notice{std::move(changes.rows)});
    for (const auto& address : suspect_recipients())
    {
        (void)transport_->send(address, message_type::suspect_notice, payload);
    }
}

} // namespace hyssoploft::control
