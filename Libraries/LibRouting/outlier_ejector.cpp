// Outlier ejection and readmission by probes.

#include <LibRouting/outlier_ejector.hpp>

#include <algorithm>
#include <cmath>

namespace hyssoploft::routing {
namespace {

// Weight of the newest sample in the moving averages.
constexpr double sample_weight = 0.1;

// Limits the effect of one extreme call on the mean of the logarithms.
constexpr double max_abs_slowness = 3.0;

void update_average(double& mean, double sample)
{
    mean += sample_weight * (sample - mean);
}

} // namespace

upstream_health&
outlier_ejector::add(const std::string& id, const std::string& group)
{
    const auto [it, inserted] = upstreams_.try_emplace(id);
    if (!inserted && it->second.group != group)
    {
        std::erase(groups_[it->second.group], &it->second);
    }
    if (inserted || it->second.group != group)
    {
        it->second.group = group;
        groups_[group].push_back(&it->second);
    }
    return it->second;
}

void outlier_ejector::remove(const std::string& id)
{
    const auto it = upstreams_.find(id);
    if (it == upstreams_.end())
    {
        return;
    }
    const auto members = groups_.find(it->second.group);
    std::erase(members->second, &it->second);
    if (members->second.empty())
    {
        groups_.erase(members);
    }
    upstreams_.erase(it);
}

void outlier_ejector::record_call(
    upstream_health& it, bool failed, bool timed, double slowness,
    core::time_point now)
{
    ++it.calls;
    it.failure_streak = failed ? it.failure_streak + 1 : 0;
    update_average(it.failure_rate, failed ? 1.0 : 0.0);
    const bool healthy = it.state == health_state::healthy;
    if (healthy && it.failure_streak >= settings_.consecutive_failures)
    {
        eject(it, ejection_cause::consecutive_failures, now);
    }
    else if (
        healthy && it.calls >= settings_.min_error_rate_calls &&
        it.failure_rate >= settings_.error_rate)
    {
        eject(it, ejection_cause::error_rate, now);
    }
    if (timed)
    {
        record_first_token(it, slowness, now);
    }
}

void outlier_ejector::record_first_token(
    upstream_health& it, double slowness, core::time_point now)
{
    ++it.timed_calls;
    update_average(
        it.slowness, std::clamp(slowness, -max_abs_slowness, max_abs_slowness));
    if (it.state == health_state::healthy &&
        it.timed_calls >= settings_.min_timed_calls &&
        is_slow(it, it.slowness, settings_.slow_factor))
    {
        eject(it, ejection_cause::slow, now);
    }
}

void outlier_ejector::record_report(
    upstream_health& it, bool understated, core::time_point now)
{
    ++it.reports;
    update_average(it.understated_share, understated ? 1.0 : 0.0);
    if (it.state == health_state::healthy &&
        it.reports >= settings_.min_misreport_reports &&
        it.understated_share >= settings_.misreport_rate &&
        it.timed_calls >= settings_.min_timed_calls &&
        is_slow(it, it.slowness, settings_.misreport_slow_factor))
    {
        eject(it, ejection_cause::misreporting, now);
    }
}

bool outlier_ejector::is_distrusted(const upstream_health& it) const
{
    return it.understated_share >= settings_.distrust_rate;
}

health_state
outlier_ejector::state(upstream_health& it, core::time_point now) const
{
    if (it.state == health_state::ejected && now >= it.ejected_until)
    {
        it.state = health_state::probing;
        it.probe_running = false;
        it.probes_passed = 0;
    }
    return it.state;
}

void outlier_ejector::begin_probe(upstream_health& it)
{
    it.probe_running = true;
}

bool outlier_ejector::end_probe(
    upstream_health& it, bool failed, double slowness, core::time_point now)
{
    it.probe_running = false;
    if (it.state != health_state::probing)
    {
        return false;
    }
    if (failed || is_slow(it, slowness, settings_.slow_factor))
    {
        start_ejection(it, now);
        return false;
    }
    if (++it.probes_passed < settings_.probes_to_readmit)
    {
        return false;
    }
    it.state = health_state::healthy;
    it.calls = 0;
    it.timed_calls = 0;
    it.reports = 0;
    it.failure_streak = 0;
    it.failure_rate = 0;
    it.slowness = 0;
    it.understated_share = 0;
    return true;
}

void outlier_ejector::cancel_probe(upstream_health& it)
{
    it.probe_running = false;
}

std::uint32_t outlier_ejector::ejected_count(const std::string& group) const
{
    const auto it = groups_.find(group);
    if (it == groups_.end())
    {
        return 0;
    }
    return static_cast<std::uint32_t>(std::count_if(
        it->second.begin(), it->second.end(), [](const auto* health) {
            return health->serving && health->state != health_state::healthy;
        }));
}

bool outlier_ejector::can_eject(const std::string& group) const
{
    const auto& members = groups_.at(group);
    const auto size = static_cast<double>(
        std::count_if(members.begin(), members.end(), [](const auto* it) {
            return it->serving;
        }));
    return ejected_count(group) + 1 <=
           std::floor(size * settings_.max_ejected_share);
}

void outlier_ejector::eject(
    upstream_health& it, ejection_cause cause, core::time_point now)
{
    if (!can_eject(it.group))
    {
        it.last_choice_until = now + settings_.initial_ejection_time;
        return;
    }
    it.cause = cause;
    // An upstream that was healthy for this multiple of the maximum ejection
    // time starts with the initial time again.
    constexpr int reset_factor = 10;
    if (now - it.ejected_until > settings_.max_ejection_time * reset_factor)
    {
        it.ejections = 0;
    }
    start_ejection(it, now);
}

void outlier_ejector::start_ejection(upstream_health& it, core::time_point now)
{
    core::duration time = settings_.initial_ejection_time;
    for (std::uint32_t i = 0;
         i < it.ejections && time < settings_.max_ejection_time; ++i)
    {
        time *= 2;
    }
    ++it.ejections;
    it.state = health_state::ejected;
    it.ejected_until = now + std::min(time, settings_.max_ejection_time);
}

bool outlier_ejector::is_slow(
    const upstream_health& it, double slowness, double factor) const
{
    return slowness - median_slowness(it.group) > std::log(factor);
}

double outlier_ejector::median_slowness(const std::string& group) const
{
    std::vector<double> values;
    for (const upstream_health* it : groups_.at(group))
    {
        if (it->serving && it->timed_calls >= settings_.min_timed_calls)
        {
            values.push_back(it->slowness);
        }
    }
    // A median of fewer than three values does not identify an outlier.
    if (values.size() < 3)
    {
        return 0;
    }
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace hyssoploft::routing
