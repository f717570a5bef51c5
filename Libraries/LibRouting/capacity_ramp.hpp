#ifndef HYSSOPLOFT_LIBROUTING_CAPACITY_RAMP_HPP
#define HYSSOPLOFT_LIBROUTING_CAPACITY_RAMP_HPP

// Slow start: gradually increases the traffic of an upstream that is new,
// restarted or readmitted, because its cache is cold and its speed unknown.

#include <LibCore/time.hpp>

namespace hyssoploft::routing {

struct ramp_settings
{
    double initial_share = 0.1;
    core::duration ramp_time = std::chrono::seconds(30);
};

class capacity_ramp
{
public:
    explicit capacity_ramp(const ramp_settings& settings) : settings_(settings)
    {}

    void start_ramp(core::time_point now)
    {
        start_ = now;
        active_ = true;
    }

    /// The upstream's current share of its usual traffic. Grows linearly from
    /// initial_share to 1.
    double share(core::time_point now) const;

private:
    ramp_settings settings_;
    core::time_point start_{};
    bool active_ = false; // False: never started, the share is 1.
};

} // namespace hyssoploft::routing

#endif
