#ifndef HYSSOPLOFT_TESTS_SUPPORT_SKIPPING_CLOCK_HPP
#define HYSSOPLOFT_TESTS_SUPPORT_SKIPPING_CLOCK_HPP

// A real clock for sessions over sockets that a test can move on.

#include <LibCore/clock.hpp>

#include <atomic>

namespace hyssoploft::tests {

/// Real time plus an offset, so that a test can let a pause of the process
/// pass. Each reading is later than the one before, unless a test lets the
/// clock go back, so that a decision that reads the time twice compares two
/// moments. Thread safe.
class skipping_clock final : public core::clock
{
public:
    core::time_point now() const override
    {
        const auto offset = offset_ += step_.load();
        return system_.now() + core::duration(offset);
    }

    std::uint64_t unix_nanoseconds() const override
    {
        return system_.unix_nanoseconds();
    }

    void skip(core::duration d)
    {
        offset_ += d.count();
    }

    /// Advance at each reading; a negative one sets the clock back.
    void set_step(core::duration d)
    {
        step_ = d.count();
    }

private:
    core::system_clock system_;
    mutable std::atomic<core::duration::rep> offset_{0};
    std::atomic<core::duration::rep> step_{1};
};

} // namespace hyssoploft::tests

#endif
