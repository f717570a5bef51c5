// The two rules that adapt the limit: gradient and AIMD.

#include <LibAdmission/concurrency_limit.hpp>

#include <algorithm>
#include <cmath>

namespace hyssoploft::admission {

namespace {

// Weight of the newest call in the moving average of the latency.
constexpr double smoothing_weight = 0.1;

// The baseline latency falls at once and rises by this fraction of the
// difference with each call. While the limit is in use it rises much more
// slowly: queueing at the upstream must not raise the baseline, but a lasting
// change, such as another model, must do so within some thousands of calls.
constexpr double baseline_rise = 0.002;
constexpr double baseline_rise_in_use = 0.0001;

// The limit is multiplied by these when it is decreased.
constexpr double overload_decrease_factor = 0.8;
constexpr double aimd_decrease_factor = 0.5;

// Lower bound of the gradient, the ratio of tolerated to current latency.
constexpr double min_gradient = 0.5;
// Fraction of the distance to the target limit covered with each call.
constexpr double gradient_step = 0.1;

} // namespace

concurrency_limit::concurrency_limit(limit_settings settings)
    : settings_(settings),
      limit_(std::clamp(
          settings.initial_limit, settings.min_limit,
          std::max(settings.min_limit, settings.max_limit)))
{}

void concurrency_limit::decrease(double factor, core::time_point now)
{
    // Calls that were in flight together report the same overload, so the
    // limit is decreased once for all of them.
    if (now < next_decrease_)
    {
        return;
    }
    next_decrease_ =
        now + core::from_seconds(std::min(60.0, smoothed_seconds_));
    limit_ *= factor;
}

void concurrency_limit::observe(
    core::duration latency, std::uint32_t in_flight, bool overloaded,
    core::time_point now)
{
    const double seconds = core::to_seconds(latency);
    const bool is_limit_used = in_flight * 2.0 >= limit_;
    if (seconds > 0 && !overloaded)
    {
        smoothed_seconds_ =
            smoothed_seconds_ <= 0
                ? seconds
                : smoothed_seconds_ +
                      smoothing_weight * (seconds - smoothed_seconds_);
        baseline_seconds_ =
            baseline_seconds_ <= 0 || seconds < baseline_seconds_
                ? seconds
                : baseline_seconds_ +
                      (is_limit_used ? baseline_rise_in_use : baseline_rise) *
                          (seconds - baseline_seconds_);
    }
    const bool is_slow =
        smoothed_seconds_ > settings_.latency_tolerance * baseline_seconds_;
    if (overloaded)
    {
        decrease(
            settings_.rule == limit_rule::aimd ? aimd_decrease_factor
                                               : overload_decrease_factor,
            now);
    }
    else if (settings_.rule == limit_rule::aimd && is_slow)
    {
        decrease(aimd_decrease_factor, now);
    }
    else if (settings_.rule == limit_rule::aimd && is_limit_used)
    {
        limit_ += 1.0 / std::max(1.0, limit_);
    }
    else if (settings_.rule == limit_rule::gradient && smoothed_seconds_ > 0)
    {
        const double gradient = std::clamp(
            settings_.latency_tolerance * baseline_seconds_ / smoothed_seconds_,
            min_gradient, 1.0);
        const double target = limit_ * gradient + std::sqrt(limit_);
        if (target < limit_)
        {
            limit_ += gradient_step * (target - limit_);
        }
        else if (is_limit_used)
        {
            // Grows more slowly than it falls, since latency reacts to growth
            // with a delay.
            limit_ += gradient_step * (target - limit_) / std::sqrt(limit_);
        }
    }
    limit_ = std::clamp(
        limit_, static_cast<double>(settings_.min_limit),
        static_cast<double>(
            std::max(settings_.min_limit, settings_.max_limit)));
}

} // namespace hyssoploft::admission
