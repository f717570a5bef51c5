// Applies departures at the log's time.

#include <LibControl/departure_store.hpp>

#include <LibCore/log_line.hpp>

#include <glog/logging.h>

#include <algorithm>

namespace hyssoploft::control {

namespace {

fleet::departed_upstreams::time departure_time(ledger::log_time it)
{
    return fleet::departed_upstreams::time(static_cast<std::int64_t>(it));
}

} // namespace

std::string stamp_departure(std::string command, ledger::log_time now)
{
    auto decoded = wire::decode<departure_command>(command);
    if (!decoded.ok())
    {
        return command;
    }
    decoded->time = now;
    return wire::encode(*decoded);
}

void departure_store::apply(std::string_view command, ledger::log_time now)
{
    const auto decoded = wire::decode<departure_command>(command);
    if (!decoded.ok())
    {
        LOG(ERROR) << core::log_line("departure_command_malformed")
                          .with("error", decoded.status().ToString());
        return;
    }
    // A leader of an earlier build sets no time.
    time_ = std::max({time_, now, decoded->time});
    items_.remove_old(departure_time(time_));
    (void)items_.add(decoded->left, departure_time(time_));
}

void departure_store::advance_time(ledger::log_time now)
{
    if (items_.size() > 0)
    {
        time_ = std::max(time_, now);
        items_.remove_old(departure_time(time_));
    }
}

} // namespace hyssoploft::control
