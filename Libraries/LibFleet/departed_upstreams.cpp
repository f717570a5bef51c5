// Keeps which incarnations have left, in the order in which that was learned.

#include <LibFleet/departed_upstreams.hpp>

#include <LibCore/log_line.hpp>

#include <glog/logging.h>

namespace hyssoploft::fleet {

bool departed_upstreams::add(const departure& it, time now)
{
    if (contains(it.upstream, it.incarnation))
    {
        return false;
    }
    insert({it, now.count(), ++last_number_});
    if (entries_.size() > max_upstreams)
    {
        LOG_EVERY_N(WARNING, 100)
            << core::log_line("departure_forgotten")
                   .with("upstream", order_.begin()->second)
                   .with("kept", max_upstreams);
        remove_first();
        ++forgotten_;
    }
    return true;
}

bool departed_upstreams::contains(
    const std::string& upstream, std::uint64_t incarnation) const
{
    const auto found = entries_.find(upstream);
    return found != entries_.end() && incarnation <= found->second.incarnation;
}

std::optional<std::uint64_t>
departed_upstreams::incarnation_of(const std::string& upstream) const
{
    const auto found = entries_.find(upstream);
    return found == entries_.end() ? std::nullopt
                                   : std::optional(found->second.incarnation);
}

void departed_upstreams::remove_old(time now)
{
    while (!order_.empty() &&
           now - entries_.at(order_.begin()->second).added_at > retention)
    {
        remove_first();
    }
}

std::vector<departed_upstreams::row>
departed_upstreams::rows_after(std::uint64_t number) const
{
    std::vector<row> out;
    for (auto it = order_.upper_bound(number); it != order_.end(); ++it)
    {
        const auto& stored = entries_.at(it->second);
        out.push_back(
            {{it->second, stored.incarnation},
             stored.added_at.count(),
             stored.number});
    }
    return out;
}

void departed_upstreams::restore(
    const std::vector<row>& rows, std::uint64_t last_number)
{
    entries_.clear();
    order_.clear();
    for (const auto& it : rows)
    {
        insert(it);
    }
    last_number_ = last_number;
}

void departed_upstreams::insert(const row& it)
{
    auto& stored = entries_[it.left.upstream];
    order_.erase(stored.number);
    stored = {it.left.incarnation, time(it.added_at_ms), it.number};
    order_.emplace(stored.number, it.left.upstream);
}

void departed_upstreams::remove_first()
{
    entries_.erase(order_.begin()->second);
    order_.erase(order_.begin());
}

} // namespace hyssoploft::fleet
