// Keeps which incarnations have said that they leave.

#include <LibFleet/leaving_upstreams.hpp>

#include <algorithm>

namespace hyssoploft::fleet {

bool leaving_upstreams::add(
    const std::string& upstream, std::uint64_t incarnation,
    core::time_point now)
{
    if (contains(upstream, incarnation))
    {
        return false;
    }
    entries_[upstream] = {incarnation, now, now};
    return true;
}

bool leaving_upstreams::contains(
    const std::string& upstream, std::uint64_t incarnation) const
{
    const auto found = entries_.find(upstream);
    return found != entries_.end() && incarnation <= found->second.incarnation;
}

std::vector<leave_row> leaving_upstreams::unconfirmed(
    const membership::fleet_view& view, core::time_point now) const
{
    std::vector<leave_row> out;
    for (const auto& [id, it] : entries_)
    {
        const auto listed = view.upstreams.find(id);
        const bool is_unconfirmed =
            listed != view.upstreams.end() &&
            listed->second.state == membership::upstream_state::serving &&
            listed->second.incarnation <= it.incarnation;
        if (is_unconfirmed)
        {
            const auto age = std::max(
                std::chrono::milliseconds(0),
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    now - it.added_at));
            out.push_back(
                {id, it.incarnation, static_cast<std::uint32_t>(age.count())});
        }
    }
    return out;
}

void leaving_upstreams::remove_stale(
    const membership::fleet_view& view, core::time_point now)
{
    for (auto& [id, it] : entries_)
    {
        const auto listed = view.upstreams.find(id);
        if (listed != view.upstreams.end() &&
            listed->second.incarnation <= it.incarnation)
        {
            it.last_listed_at = now;
        }
    }
    std::erase_if(entries_, [now](const auto& it) {
        return now - it.second.last_listed_at > unlisted_retention;
    });
}

} // namespace hyssoploft::fleet
