#ifndef HYSSOPLOFT_LIBCORE_TIME_HPP
#define HYSSOPLOFT_LIBCORE_TIME_HPP

// Time types used by all decision code. Values come in as arguments; decision
// code never reads a clock.

#include <LibCore/saturating_cast.hpp>

#include <algorithm>
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

/// 73 years: a time point and two of it still fit a time point.
inline constexpr duration longest_duration = duration::max() / 4;

/// A duration from seconds as a floating point number, from -longest_duration
/// to longest_duration. Not a number becomes zero.
constexpr duration from_seconds(double seconds)
{
    const auto ns = saturating_cast<duration::rep>(seconds * 1e9);
    return std::clamp(duration(ns), -longest_duration, longest_duration);
}

} // namespace hyssoploft::core

#endif
