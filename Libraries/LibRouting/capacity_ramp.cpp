// Linear ramp.

#include <LibRouting/capacity_ramp.hpp>

#include <algorithm>

namespace hyssoploft::routing {

double capacity_ramp::share(core::time_point now) const
{
    if (!active_ || now - start_ >= settings_.length)
    {
        return 1.0;
    }
    const double part =
        core::to_seconds(now - start_) / core::to_seconds(settings_.length);
    return settings_.first_share +
           (1.0 - settings_.first_share) * std::max(0.0, part);
}

} // namespace hyssoploft::routing
