#ifndef HYSSOPLOFT_LIBROUTING_CAPACITY_RAMP_HPP
#define HYSSOPLOFT_LIBROUTING_CAPACITY_RAMP_HPP

// Growing share of traffic for one upstream that is new, restarted or
// readmitted, because its cache is cold and its speed is not known.

#include <LibCore/time.hpp>

namespace hyssoploft::routing {

struct ramp_settings
{
    double first_share = 0.1;
    core::duration length = std::chrono::seconds(30);
};

class capacity_ramp
{
public:
    explicit capacity_ramp(const ramp_settings& settings) : settings_(settings)
    {}

    void begin(core::time_point now)
    {
        start_ = now;
        active_ = true;
    }

    /// Share of its usual traffic that the upstream takes now: grows from
    /// first_share to 1, linearly in time.
    double share(core::time_point now) const;

private:
    ramp_settings settings_;
    core::time_point start_{};
    bool active_ = false; // False: never begun, the share is 1.
};

} // namespace hyssoploft::routing

#endif
