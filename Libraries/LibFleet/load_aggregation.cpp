// Succession of the control VMs that sum up a region's loads.

#include <LibFleet/load_aggregation.hpp>

#include <utility>

namespace hyssoploft::fleet {

std::vector<std::string>
load_aggregators(const membership::fleet_view& fleet, const std::string& region)
{
    std::vector<std::string> out;
    for (const auto& [id, it] : fleet.vms)
    {
        if (it.control && it.region == region &&
            it.state == membership::vm_state::alive)
        {
            out.push_back(id);
        }
    }
    return out;
}

load_aggregation::load_aggregation(std::string self, core::time_point now)
    : self_(std::move(self)), last_tick_(now), collecting_since_(now)
{}

void load_aggregation::tick(core::time_point now)
{
    if (now - std::exchange(last_tick_, now) > pause_threshold)
    {
        collecting_since_ = now;
    }
}

void load_aggregation::record_contact(
    const std::string& vm, core::time_point now)
{
    auto& it = contacts_[vm];
    if (now - it.last > silence_timeout)
    {
        it.since = now;
    }
    it.last = now;
}

bool load_aggregation::is_complete(core::time_point now) const
{
    // Before the first tick after a pause, last_tick_ tells of the pause.
    return now - last_tick_ <= pause_threshold &&
           now - collecting_since_ >= collection_time;
}

bool load_aggregation::sends_sums(
    const membership::fleet_view& fleet, const std::string& region,
    core::time_point now) const
{
    if (!is_complete(now))
    {
        return false;
    }
    for (const auto& id : load_aggregators(fleet, region))
    {
        if (id == self_)
        {
            return true;
        }
        const auto found = contacts_.find(id);
        const bool is_serving = found != contacts_.end() &&
                                now - found->second.last <= silence_timeout &&
                                now - found->second.since >= collection_time;
        if (is_serving)
        {
            return false;
        }
    }
    return false;
}

} // namespace hyssoploft::fleet
