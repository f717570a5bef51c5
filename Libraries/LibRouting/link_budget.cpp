// Token buckets in bytes, one for each direction of a region link.

#include <LibRouting/link_budget.hpp>

#include <LibRouting/candidate_filter.hpp>

#include <algorithm>

namespace hyssoploft::routing {

void link_budget::update(
    const membership::fleet_view& fleet,
    const resource::configuration& configuration)
{
    own_region_ = own_region(fleet);
    const auto vm_count =
        std::count_if(fleet.vms.begin(), fleet.vms.end(), [&](const auto& it) {
            return it.second.region == own_region_ &&
                   it.second.state != membership::vm_state::dead;
        });
    sharing_vms_ = std::max(1.0, static_cast<double>(vm_count));
    declared_.clear();
    for (const auto& it : configuration.declared_fleet.links)
    {
        declared_[{it.from, it.to}] = it.bytes_per_second;
    }
}

link_budget::bucket& link_budget::refill(
    const std::string& from, const std::string& to, core::time_point now)
{
    const std::pair key{from, to};
    const auto declared = declared_.find(key);
    bucket& it = buckets_[key];
    it.rate = declared == declared_.end()
                  ? settings_.undeclared_bytes_per_second
                  : declared->second * settings_.usable_share / sharing_vms_;
    const double max_credit = it.rate * settings_.burst_seconds;
    if (!it.initialized)
    {
        it = {it.rate, max_credit, now, true};
    }
    const double elapsed =
        std::max(0.0, core::to_seconds(now - it.last_refill));
    it.credit = std::min(max_credit, it.credit + elapsed * it.rate);
    it.last_refill = std::max(it.last_refill, now);
    return it;
}

bool link_budget::has_budget(
    const std::string& region, const link_cost& cost, core::time_point now)
{
    return refill(own_region_, region, now).credit >= cost.out &&
           refill(region, own_region_, now).credit >= cost.back;
}

void link_budget::charge(
    const std::string& region, const link_cost& cost, core::time_point now)
{
    refill(own_region_, region, now).credit -= cost.out;
    refill(region, own_region_, now).credit -= cost.back;
}

void link_budget::adjust(
    const std::string& region, const link_cost& estimate, std::uint64_t bytes,
    core::time_point now)
{
    // The request's size is known when it is sent, so the difference is in the
    // answer.
    const double estimated = estimate.out + estimate.back;
    refill(region, own_region_, now).credit +=
        estimated - static_cast<double>(bytes);
}

} // namespace hyssoploft::routing
