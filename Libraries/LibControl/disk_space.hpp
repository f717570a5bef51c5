#ifndef HYSSOPLOFT_LIBCONTROL_DISK_SPACE_HPP
#define HYSSOPLOFT_LIBCONTROL_DISK_SPACE_HPP

// Tracks whether the disk of a replica has space, and decides when a refused
// write is repeated.

#include <LibCore/time.hpp>

#include <algorithm>
#include <chrono>
#include <optional>

namespace hyssoploft::control {

class disk_space
{
public:
    /// Delay before the first repeat. It doubles up to the maximum, so that a
    /// large write does not occupy a disk that stays full.
    static constexpr core::duration min_probe_delay =
        std::chrono::milliseconds(100);
    static constexpr core::duration max_probe_delay = std::chrono::seconds(1);

    /// A write was refused. True if this begins a shortage.
    bool refused(core::time_point now)
    {
        const bool begins = !full_since_;
        if (begins)
        {
            full_since_ = now;
            delay_ = min_probe_delay;
        }
        next_probe_ = now + delay_;
        delay_ = std::min(2 * delay_, max_probe_delay);
        return begins;
    }

    /// A write succeeded. The duration of the shortage that this ends, if any.
    std::optional<core::duration> accepted(core::time_point now)
    {
        if (!full_since_)
        {
            return std::nullopt;
        }
        const auto lasted = now - *full_since_;
        full_since_.reset();
        return lasted;
    }

    bool is_full() const
    {
        return full_since_.has_value();
    }

    /// Whether the refused write is to be repeated now.
    bool is_probe_due(core::time_point now) const
    {
        return full_since_ && now >= next_probe_;
    }

private:
    std::optional<core::time_point> full_since_; // None: there is space.
    core::time_point next_probe_{}; // Valid while full, as is delay_.
    core::duration delay_{};
};

} // namespace hyssoploft::control

#endif
