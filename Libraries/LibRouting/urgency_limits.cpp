// Keeps room in the queues of engines for urgent calls.

#include <LibRouting/urgency_limits.hpp>

#include <algorithm>

namespace hyssoploft::routing {

namespace {

/// Part of the urgent calls' longest wait that less urgent calls may use.
constexpr double less_urgent_share = 0.4;
/// Less urgent calls are served at least this part as often as urgent ones.
constexpr double min_served_ratio = 0.4;
/// Below this rate a VM sees too few calls of a level to reserve room for it.
constexpr double min_calls_per_second = 0.5;

} // namespace

double urgency_limits::served_share(const level& it, core::time_point now)
{
    const double offered = it.offered.per_second(now);
    return offered > 0 ? it.accepted.per_second(now) / offered : 1.0;
}

double urgency_limits::max_wait_seconds(
    const std::string& role, std::uint32_t urgency, core::duration target,
    core::time_point now) const
{
    const double own = wait_share_ * core::to_seconds(target);
    const auto levels = roles_.find(role);
    if (levels == roles_.end())
    {
        return own;
    }
    double shortest = own;
    double urgent_share = 0;
    for (const auto& [number, it] : levels->second)
    {
        const double wait = wait_share_ * core::to_seconds(it.target);
        if (number < urgency && wait < shortest &&
            it.offered.per_second(now) >= min_calls_per_second)
        {
            shortest = wait;
            urgent_share = served_share(it, now);
        }
    }
    const auto known = levels->second.find(urgency);
    const bool is_starved =
        known != levels->second.end() &&
        served_share(known->second, now) < min_served_ratio * urgent_share;
    return shortest < own && !is_starved ? less_urgent_share * shortest
                                         : shortest;
}

void urgency_limits::record(
    const std::string& role, std::uint32_t urgency, core::duration target,
    bool accepted, core::time_point now)
{
    auto& it = roles_[role][urgency];
    it.target = target;
    it.offered.add(now);
    if (accepted)
    {
        it.accepted.add(now);
    }
}

} // namespace hyssoploft::routing
