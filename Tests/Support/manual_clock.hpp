#ifndef HYSSOPLOFT_TESTS_SUPPORT_MANUAL_CLOCK_HPP
#define HYSSOPLOFT_TESTS_SUPPORT_MANUAL_CLOCK_HPP

// A clock that advances only when a test says so, or at each reading.

#include <LibCore/clock.hpp>

#include <chrono>

namespace hyssoploft::tests {

/// Stands still by default. With a step each reading is later than the one
/// before, so that a decision that reads the time twice compares two moments,
/// with every compiler. Not thread safe: a reading changes it.
class manual_clock final : public core::clock
{
public:
    core::time_point now() const override
    {
        now_ += step_;
        return now_;
    }

    std::uint64_t unix_nanoseconds() const override
    {
        return static_cast<std::uint64_t>(now().time_since_epoch().count());
    }

    void advance(core::duration d)
    {
        now_ += d;
    }

    /// Advance at each reading.
    void set_step(core::duration d)
    {
        step_ = d;
    }

private:
    mutable core::time_point now_{};
    core::duration step_{};
};

/// Steps for tables of tests: far below, near and above what separates two
/// readings of one decision on a busy machine.
inline constexpr core::duration clock_steps[] = {
    std::chrono::nanoseconds(1), std::chrono::microseconds(1),
    std::chrono::milliseconds(1)};

} // namespace hyssoploft::tests

#endif
