// What a placement does to others: pauses of running streams, and backlogs
// that regions share.

#include <LibRouting/backlog_router.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace hyssoploft::routing {

namespace {

/// At most this part of a region's calls moves to other regions because of
/// backlogs: what is known of other regions is the oldest.
constexpr double max_moved = 0.6;

} // namespace

// While an engine reads prompts without a break for longer than the pause
// target, the next event of each of its streams is late. Only what the call
// adds counts: streams that are late already are not late twice.
double backlog_router::pause_harm(
    const placement_belief& at, double speed, double pause_target) const
{
    if (pause_target <= 0)
    {
        return 0;
    }
    const double from = settings_.pause_harm_start * pause_target;
    const auto part_late = [&](double tokens) {
        return std::clamp(
            (tokens / speed - from) / (pause_target - from), 0.0, 1.0);
    };
    return settings_.pause_harm_seconds * at.running *
           (part_late(at.ahead_tokens + at.read_tokens) -
            part_late(at.ahead_tokens));
}

// Regions share their backlog: the larger the difference to another region's,
// the more subjects move there. All VMs move the same subjects, so that their
// shared parts are read once there.
std::string backlog_router::region_to_help(
    const std::vector<option>& options, double draw, double pause_target) const
{
    struct region_backlog
    {
        double seconds = 0;
        std::uint32_t engines = 0;
        double mean() const
        {
            return engines == 0 ? 0 : seconds / engines;
        }
    };
    std::map<std::string, region_backlog> regions;
    for (const auto& it : options)
    {
        auto& at = regions[it.record->region];
        at.seconds += it.backlog_seconds;
        at.engines += 1;
    }
    const double own = regions[region_].mean();
    if (pause_target <= 0 || own < settings_.calm_backlog * pause_target)
    {
        return "";
    }
    double all = 0;
    std::map<std::string, double> moved; // Part of the calls, by region.
    for (const auto& [name, it] : regions)
    {
        if (name == region_ || it.mean() >= own)
        {
            continue;
        }
        const double difference = (own - it.mean()) / (own + it.mean());
        moved[name] =
            difference * it.engines / (it.engines + regions[region_].engines);
        all += moved[name];
    }
    const double scale = all > max_moved ? max_moved / all : 1.0;
    double drawn = draw;
    for (const auto& [name, part] : moved)
    {
        drawn -= part * scale;
        if (drawn < 0)
        {
            return name;
        }
    }
    return "";
}

} // namespace hyssoploft::routing
