// Spreads the calls of VMs that see each other's loads late.

#include <LibRouting/engine_sample.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hyssoploft::routing {

namespace {

/// Two choices already avoid most of the difference between the loads
/// (Mitzenmacher, 1996).
constexpr std::size_t min_compared = 2;
/// Engines for each call that reports do not show yet.
constexpr double engines_per_unseen_call = 2.5;
/// An engine is passed over above this multiple of the mean wait and this time
/// in addition, which is about the prefill of one short prompt.
constexpr double max_load_factor = 1.25;
constexpr double load_slack_seconds = 0.02;

} // namespace

std::size_t compared_engines(double unseen_calls, std::size_t engines)
{
    if (unseen_calls <= 1)
    {
        return engines;
    }
    const double share =
        engines_per_unseen_call * static_cast<double>(engines) / unseen_calls;
    return std::clamp(
        static_cast<std::size_t>(std::ceil(share)),
        std::min(min_compared, engines), engines);
}

std::vector<std::size_t>
sample_engines(const std::vector<engine_load>& engines, std::size_t compared)
{
    std::vector<std::size_t> order(engines.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    if (compared >= engines.size())
    {
        return order;
    }
    std::sort(order.begin(), order.end(), [&](auto a, auto b) {
        return engines[a].rank > engines[b].rank;
    });
    double sum = 0;
    for (const auto& it : engines)
    {
        sum += it.wait_seconds;
    }
    const double limit =
        max_load_factor * sum / static_cast<double>(engines.size()) +
        load_slack_seconds;
    for (std::size_t first = 0; first < order.size(); first += compared)
    {
        const auto last = std::min(order.size(), first + compared);
        const std::vector<std::size_t> group(
            order.begin() + static_cast<std::ptrdiff_t>(first),
            order.begin() + static_cast<std::ptrdiff_t>(last));
        const bool has_room =
            std::any_of(group.begin(), group.end(), [&](const std::size_t n) {
                return engines[n].wait_seconds <= limit;
            });
        if (has_room)
        {
            return group;
        }
    }
    return order;
}

} // namespace hyssoploft::routing
