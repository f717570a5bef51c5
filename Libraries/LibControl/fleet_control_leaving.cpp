// Upstreams that said in answers to this VM that they leave: it reports them to
// the control VMs, which spread it like an announcement of the upstream.

#include <LibControl/fleet_control.hpp>

#include <LibCore/log_line.hpp>

#include <boost/asio/post.hpp>
#include <glog/logging.h>

namespace hyssoploft::control {

namespace {

using wire::message_type;

/// A notice may be lost with its connection, and a control VM that has just
/// started may list the upstream as serving again: reports are repeated until
/// the view shows that they are known.
constexpr std::chrono::milliseconds leave_notice_interval{1000};

} // namespace

void fleet_control::report_leaving(
    const std::string& upstream, std::uint64_t incarnation, core::time_point at)
{
    boost::asio::post(io_, [this, upstream, incarnation, at] {
        if (own_leaving_.add(upstream, incarnation, at))
        {
            next_leave_notice_ = {};
            update_leaving();
        }
    });
}

void fleet_control::update_leaving()
{
    const auto now = clock_->now();
    if (now < next_leave_notice_)
    {
        return;
    }
    next_leave_notice_ = now + leave_notice_interval;
    own_leaving_.remove_stale(*fleet_, now);
    send_leaving(now);
}

void fleet_control::send_leaving(core::time_point now)
{
    const auto rows = own_leaving_.unconfirmed(*fleet_, now);
    if (rows.empty())
    {
        return;
    }
    if (replica_)
    {
        for (const auto& row : rows)
        {
            apply_leaving(row, options_.vm);
        }
    }
    const auto payload = wire::encode(fleet::leave_notice{rows});
    for (const auto& vm : control_vms())
    {
        if (vm != options_.vm)
        {
            (void)transport_->send(
                peer_address_of(vm), message_type::leave_notice, payload);
        }
    }
}

void fleet_control::on_leave_notice(const wire::incoming_message& it)
{
    const auto notice = wire::decode<fleet::leave_notice>(it.payload);
    if (!notice.ok())
    {
        LOG_EVERY_N(WARNING, 100)
            << core::log_line("leave_notice_unreadable")
                   .with("vm", it.sender)
                   .with("error", notice.status().ToString());
        return;
    }
    if (!replica_)
    {
        return;
    }
    for (const auto& row : notice->rows)
    {
        apply_leaving(row, it.sender);
    }
}

void fleet_control::apply_leaving(
    const fleet::leave_row& it, const std::string& vm)
{
    const auto change =
        upstreams_.leave(it.upstream, it.incarnation, clock_->now());
    if (change == fleet::upstream_table::change::none)
    {
        return;
    }
    LOG(INFO) << core::log_line("upstream_leaves")
                     .with("upstream", it.upstream)
                     .with("incarnation", it.incarnation)
                     .with("seen_by", vm)
                     .with("age_ms", it.age_ms);
    view_changed_ = true;
    send_fleet_notices(true);
}

} // namespace hyssoploft::control
