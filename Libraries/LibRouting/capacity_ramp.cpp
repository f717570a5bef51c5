// Linear slow start.

#include <LibRouting/capacity_ramp.hpp>

#include <algorithm>

namespace hyssoploft::routing {

double capacity_ramp::share(core::time_point now) const
{
    if (!active_ || now - start_ >= settings_.ramp_time)
    {
        return 1.0;
    }
    const double progress =
        core::to_seconds(now - start_) / core::to_seconds(settings_.ramp_time);
    return settings_.initial_share +
           (1.0 - settings_.initial_share) * std::max(0.0, progress);
}

} // namespace hyssoploft::routing
