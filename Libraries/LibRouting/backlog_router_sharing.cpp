// Effects of a placement on other calls: delay of running streams, and sharing
// of backlogs between regions.

#include <LibRouting/backlog_router.hpp>

#include <LibCore/rendezvous.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace hyssoploft::routing {

namespace {

/// Limits the share of a region's calls that move to other regions because of
/// backlogs, since load reports of other regions are the most outdated.
constexpr double max_overflow_share = 0.6;

} // namespace

// While an engine prefills for longer than the pause target, the next event of
// each of its streams is late. Only the increase that the call causes counts:
// streams that are late already add nothing.
double backlog_router::pause_penalty(
    const placement_estimate& estimated, double effective_rate,
    double pause_target) const
{
    if (pause_target <= 0)
    {
        return 0;
    }
    const double start_seconds = settings_.pause_penalty_start * pause_target;
    const auto late_share = [&](double tokens) {
        return std::clamp(
            (tokens / effective_rate - start_seconds) /
                (pause_target - start_seconds),
            0.0, 1.0);
    };
    return settings_.pause_penalty_seconds * estimated.running *
           (late_share(estimated.queued_tokens + estimated.uncached_tokens) -
            late_share(estimated.queued_tokens));
}

// The larger the difference between the backlogs of two regions, the larger the
// share of prefixes that move. All VMs move the same prefixes, so that each is
// prefilled only once in the other region.
std::string backlog_router::choose_overflow_region(
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
        auto& entry = regions[it.record->region];
        entry.seconds += it.backlog_seconds;
        entry.engines += 1;
    }
    const double own_mean = regions[region_].mean();
    if (pause_target <= 0 ||
        own_mean < settings_.min_shared_backlog * pause_target)
    {
        return "";
    }
    double total_share = 0;
    std::map<std::string, double> overflow_shares; // By region.
    for (const auto& [name, it] : regions)
    {
        if (name == region_ || it.mean() >= own_mean)
        {
            continue;
        }
        const double difference =
            (own_mean - it.mean()) / (own_mean + it.mean());
        overflow_shares[name] =
            difference * it.engines / (it.engines + regions[region_].engines);
        total_share += overflow_shares[name];
    }
    const double scale = total_share > max_overflow_share
                             ? max_overflow_share / total_share
                             : 1.0;
    double remaining = draw;
    for (const auto& [name, share] : overflow_shares)
    {
        remaining -= share * scale;
        if (remaining < 0)
        {
            return name;
        }
    }
    return "";
}

std::size_t backlog_router::keep_compared_engines(
    std::vector<option>& options, const fleet::traffic_view& view,
    const placement_request& request, core::time_point now)
{
    // Without a shared part, all engines are alike for the call.
    const auto key = request.parts.size() < 2
                         ? random_.next()
                         : request.parts[request.parts.size() - 2].id;
    std::vector<engine_load> engines;
    std::vector<std::size_t> positions; // Of `engines` in `options`.
    for (std::size_t n = 0; n < options.size(); ++n)
    {
        const auto& it = options[n];
        if (it.local && !it.fallback)
        {
            engines.push_back(
                {core::rendezvous_hash(key, it.record->id), it.wait_seconds});
            positions.push_back(n);
        }
    }
    const double unseen_calls =
        roles_[request.role].placements.per_second(now) *
        view.region_entry_vms * core::to_seconds(settings_.notice_lag);
    const auto compared = compared_engines(unseen_calls, engines.size());
    if (compared >= engines.size())
    {
        return engines.size();
    }
    std::vector<bool> is_left_out(options.size(), false);
    for (const auto n : positions)
    {
        is_left_out[n] = true;
    }
    const auto sample = sample_engines(engines, compared);
    for (const auto n : sample)
    {
        is_left_out[positions[n]] = false;
    }
    std::size_t position = 0;
    std::erase_if(options, [&](const option&) {
        return is_left_out[position++];
    });
    return sample.size();
}

} // namespace hyssoploft::routing
