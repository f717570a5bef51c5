// Decides when a VM that leaves refuses requests and when it ends.

#include <LibRelay/leave_sequence.hpp>

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

} // namespace hyssoploft::relay
