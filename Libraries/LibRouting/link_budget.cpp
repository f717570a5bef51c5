// Token buckets in bytes, one for each direction of a region link.

#include <LibRouting/link_budget.hpp>

#include <LibRouting/candidate_filter.hpp>

#include <algorithm>

namespace hyssoploft::routing {

void link_budget::update(
    const membership::fleet_view& fleet,
    const resource::configuration& configuration)
{
    here_ = own_region(fleet);
    const auto n =
        std::count_if(fleet.vms.begin(), fleet.vms.end(), [&](const auto& it) {
            return it.second.region == here_ &&
                   it.second.state != membership::vm_state::dead;
        });
    sharers_ = std::max(1.0, static_cast<double>(n));
    declared_.clear();
    for (const auto& it : configuration.declared_fleet.links)
    {
        declared_[{it.from, it.to}] = it.bytes_per_second;
    }
}

link_budget::bucket& link_budget::fill(
    const std::string& from, const std::string& to, core::time_point now)
{
    const std::pair key{from, to};
    const auto declared = declared_.find(key);
    bucket& it = buckets_[key];
    it.rate = declared == declared_.end()
                  ? settings_.undeclared_bytes_per_second
                  : declared->second * settings_.usable_share / sharers_;
    const double cap = it.rate * settings_.burst_seconds;
    if (!it.used)
    {
        it = {it.rate, cap, now, true};
    }
    const double passed = std::max(0.0, core::to_seconds(now - it.filled));
    it.credit = std::min(cap, it.credit + passed * it.rate);
    it.filled = std::max(it.filled, now);
    return it;
}

bool link_budget::affords(
    const std::string& region, const link_cost& cost, core::time_point now)
{
    return fill(here_, region, now).credit >= cost.out &&
           fill(region, here_, now).credit >= cost.back;
}

void link_budget::charge(
    const std::string& region, const link_cost& cost, core::time_point now)
{
    fill(here_, region, now).credit -= cost.out;
    fill(region, here_, now).credit -= cost.back;
}

void link_budget::settle(
    const std::string& region, const link_cost& estimate, std::uint64_t bytes,
    core::time_point now)
{
    // The request's size is known exactly when it is sent, so the difference
    // is in the answer.
    const double estimated = estimate.out + estimate.back;
    fill(region, here_, now).credit += estimated - static_cast<double>(bytes);
}

} // namespace hyssoploft::routing
