#ifndef HYSSOPLOFT_LIBROUTING_EVENT_RATE_HPP
#define HYSSOPLOFT_LIBROUTING_EVENT_RATE_HPP

// Rate of events, averaged with exponentially decaying weights.

#include <LibCore/time.hpp>

#include <algorithm>
#include <cmath>

namespace hyssoploft::routing {

class event_rate
{
public:
    explicit event_rate(double time_constant_seconds = 1.0)
        : time_constant_seconds_(time_constant_seconds)
    {}

    void add(core::time_point now)
    {
        count_ = decayed_count(now) + 1;
        last_ = now;
    }

    /// Events per second.
    double per_second(core::time_point now) const
    {
        return decayed_count(now) / time_constant_seconds_;
    }

private:
    double decayed_count(core::time_point now) const
    {
        const double elapsed = std::max(0.0, core::to_seconds(now - last_));
        return count_ * std::exp(-elapsed / time_constant_seconds_);
    }

    double time_constant_seconds_;
    double count_ = 0; // Decayed, as of last_.
    core::time_point last_{};
};

} // namespace hyssoploft::routing

#endif
