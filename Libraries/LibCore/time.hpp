#ifndef HYSSOPLOFT_LIBCORE_TIME_HPP
#define HYSSOPLOFT_LIBCORE_TIME_HPP

// Time types used by all decision code. Values come in as arguments; decision
// code never reads a clock.

#include <chrono>

namespace hyssoploft::core {

using duration = std::chrono::nanoseconds;

/// Monotonic time of one process. Values of two processes can't be compared.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Seconds as a floating point number.
constexpr double to_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// A duration from seconds as a floating point number.
constexpr duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace hyssoploft::core

#endif
