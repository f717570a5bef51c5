// Decides when a VM that leaves refuses requests and when it ends.

#include <LibRelay/leave_sequence.hpp>

#include <algorithm>

namespace hyssoploft::relay {

void leave_sequence::begin(core::time_point now)
{
    if (phase_ == leave_phase::serving)
    {
        phase_ = leave_phase::accepting;
        began_ = now;
        last_open_ = now;
    }
}

leave_phase
leave_sequence::update(std::size_t open_requests, core::time_point now)
{
    if (phase_ == leave_phase::serving || phase_ == leave_phase::stopped)
    {
        return phase_;
    }
    if (open_requests > 0)
    {
        last_open_ = now;
    }
    if (phase_ == leave_phase::accepting &&
        now - began_ >= settings_.accept_for)
    {
        phase_ = leave_phase::refusing;
        // A request may have been accepted since the last update.
        last_open_ = now;
    }
    const bool is_quiet = phase_ == leave_phase::refusing &&
                          now - last_open_ >= settings_.quiet_for;
    if (is_quiet || now - began_ >= settings_.stop_after)
    {
        phase_ = leave_phase::stopped;
    }
    return phase_;
}

core::duration leave_sequence::time_to_next_phase(
    core::time_point now, core::duration limit) const
{
    if (phase_ == leave_phase::serving || phase_ == leave_phase::stopped)
    {
        return limit;
    }
    const auto end =
        began_ + (phase_ == leave_phase::accepting ? settings_.accept_for
                                                   : settings_.stop_after);
    return std::clamp(end - now, core::duration::zero(), limit);
}

} // namespace hyssoploft::relay
