// Upstreams that leave: those that tell a control VM so, and those that said so
// in answers to a VM, which reports them to the control VMs. These spread it
// like an announcement of the upstream.

#include <LibControl/fleet_control.hpp>

#include <LibCore/log_line.hpp>

#include <boost/asio/post.hpp>
#include <glog/logging.h>

#include <utility>

namespace hyssoploft::control {

namespace {

using wire::message_type;

/// A notice may be lost with its connection, and a control VM that has just
/// started may list the upstream as serving again: reports are repeated until
/// the view shows that they are known.
constexpr std::chrono::milliseconds leave_notice_interval{1000};

} // namespace

void fleet_control::find_departing(
    std::string upstream, std::uint64_t unix_ms, incarnation_handler done)
{
    boost::asio::post(
        io_, [this, upstream = std::move(upstream), unix_ms,
              done = std::move(done)] {
            done(upstreams_.find_departing(upstream, unix_ms));
        });
}

void fleet_control::record_departure(fleet::departure it, record_handler done)
{
    boost::asio::post(io_, [this, it = std::move(it), done = std::move(done)] {
        // At once: other VMs hear of it before it is committed, and also if
        // this side of a partition can't commit it.
        apply_departure(it, options_.vm);
        const bool is_committed =
            replica_ && replica_->state().departures().items().contains(
                            it.upstream, it.incarnation);
        if (is_committed)
        {
            done(absl::OkStatus());
            return;
        }
        proposals_->propose(
            command_kind::departure, wire::encode(departure_command{it, 0}),
            departure_timeout,
            [this, it, done](const absl::StatusOr<std::string>& result) {
                if (!result.ok())
                {
                    ++unrecorded_departures_;
                    LOG_EVERY_N(WARNING, 20)
                        << core::log_line("departure_not_recorded")
                               .with("upstream", it.upstream)
                               .with("incarnation", it.incarnation)
                               .with("error", result.status().ToString());
                }
                done(result.status());
            });
    });
}

void fleet_control::departures_changed()
{
    const auto& known = replica_->state().departures().items();
    // An earlier build's snapshot has none.
    if (known.last_number() < applied_departure_)
    {
        applied_departure_ = 0;
    }
    for (const auto& row : known.rows_after(applied_departure_))
    {
        apply_departure(row.left, "log");
    }
    applied_departure_ = known.last_number();
}

void fleet_control::apply_departure(
    const fleet::departure& it, const std::string& seen_by)
{
    if (upstreams_.leave(it, clock_->now()) ==
        fleet::upstream_table::change::none)
    {
        return;
    }
    LOG(INFO) << core::log_line("upstream_leaves")
                     .with("upstream", it.upstream)
                     .with("incarnation", it.incarnation)
                     .with("seen_by", seen_by);
    view_changed_ = true;
    send_fleet_notices(true);
}

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
            apply_departure({row.upstream, row.incarnation}, options_.vm);
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
        apply_departure({row.upstream, row.incarnation}, it.sender);
    }
}

} // namespace hyssoploft::control
