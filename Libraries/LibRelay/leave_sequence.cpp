// Decides when a VM that leaves refuses requests and when it ends.

#include <LibRelay/leave_sequence.hpp>

#include <algorithm>

namespace hyssoploft::relay {

namespace {

/// Answers of failed requests take a few milliseconds.
constexpr core::duration failing_step = std::chrono::milliseconds(20);

} // namespace

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
    if (is_quiet)
    {
        phase_ = leave_phase::stopped;
        return phase_;
    }
    if (now - began_ < settings_.stop_after)
    {
        return phase_;
    }
    const bool is_over =
        now - began_ >= settings_.stop_after + settings_.fail_for;
    // Not in the first step: open requests have just been told to fail.
    const bool all_failed =
        phase_ == leave_phase::failing && open_requests == 0;
    phase_ =
        is_over || all_failed ? leave_phase::stopped : leave_phase::failing;
    return phase_;
}

core::duration leave_sequence::time_to_next_phase(
    core::time_point now, core::duration limit) const
{
    if (phase_ == leave_phase::serving || phase_ == leave_phase::stopped)
    {
        return limit;
    }
    if (phase_ == leave_phase::failing)
    {
        return std::min(limit, failing_step);
    }
    const auto end =
        began_ + (phase_ == leave_phase::accepting ? settings_.accept_for
                                                   : settings_.stop_after);
    return std::clamp(end - now, core::duration::zero(), limit);
}

} // namespace hyssoploft::relay
