// Gradient and additive-increase limits.

#include <LibAdmission/concurrency_limit.hpp>

#include <algorithm>
#include <cmath>

namespace hyssoploft::admission {

namespace {

constexpr double present_weight = 0.1;

// The usual latency falls at once and rises by this part of the difference
// with each call. While the limit is used it rises much more slowly: queueing
// at the upstream must not become usual, but a lasting change, such as another
// model, has to be learned after some thousands of calls.
constexpr double usual_rise = 0.002;
constexpr double usual_rise_when_used = 0.0001;

constexpr double overload_factor = 0.8;
constexpr double aimd_factor = 0.5;
constexpr double lowest_gradient = 0.5;
constexpr double gradient_weight = 0.1;

} // namespace

concurrency_limit::concurrency_limit(limit_settings settings)
    : settings_(settings), limit_(std::clamp(
                               settings.initial, settings.floor,
                               std::max(settings.floor, settings.ceiling)))
{}

void concurrency_limit::cut(double factor, core::time_point now)
{
    // Calls that were in flight together see the same overload; the limit is
    // cut once for them.
    if (now < next_cut_)
    {
        return;
    }
    next_cut_ = now + core::from_seconds(std::min(60.0, present_));
    limit_ *= factor;
}

void concurrency_limit::observe(
    core::duration latency, std::uint32_t in_flight, bool overloaded,
    core::time_point now)
{
    const double seconds = core::to_seconds(latency);
    const bool is_used = in_flight * 2.0 >= limit_;
    if (seconds > 0 && !overloaded)
    {
        present_ = present_ <= 0
                       ? seconds
                       : present_ + present_weight * (seconds - present_);
        usual_ = usual_ <= 0 || seconds < usual_
                     ? seconds
                     : usual_ + (is_used ? usual_rise_when_used : usual_rise) *
                                    (seconds - usual_);
    }
    const bool is_late = present_ > settings_.tolerance * usual_;
    if (overloaded)
    {
        cut(settings_.rule == limit_rule::aimd ? aimd_factor : overload_factor,
            now);
    }
    else if (settings_.rule == limit_rule::aimd && is_late)
    {
        cut(aimd_factor, now);
    }
    else if (settings_.rule == limit_rule::aimd && is_used)
    {
        limit_ += 1.0 / std::max(1.0, limit_);
    }
    else if (settings_.rule == limit_rule::gradient && present_ > 0)
    {
        const double gradient = std::clamp(
            settings_.tolerance * usual_ / present_, lowest_gradient, 1.0);
        const double target = limit_ * gradient + std::sqrt(limit_);
        if (target < limit_)
        {
            limit_ += gradient_weight * (target - limit_);
        }
        else if (is_used)
        {
            // Slower than the fall, since latency follows growth late.
            limit_ += gradient_weight * (target - limit_) / std::sqrt(limit_);
        }
    }
    limit_ = std::clamp(
        limit_, static_cast<double>(settings_.floor),
        static_cast<double>(std::max(settings_.floor, settings_.ceiling)));
}

} // namespace hyssoploft::admission
