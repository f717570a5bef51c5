#ifndef HYSSOPLOFT_LIBCORE_SATURATING_CAST_HPP
#define HYSSOPLOFT_LIBCORE_SATURATING_CAST_HPP

// Conversion of floating point numbers to integers. static_cast is undefined
// for a value out of range: arm64 saturates, x86-64 gives another number.

#include <concepts>
#include <limits>

namespace hyssoploft::core {

/// Drops the fraction. A value out of range becomes the nearest limit of
/// `Integer`, and not a number becomes 0.
template <std::integral Integer>
constexpr Integer saturating_cast(double from)
{
    constexpr auto lowest = std::numeric_limits<Integer>::min();
    constexpr auto highest = std::numeric_limits<Integer>::max();
    if (from != from)
    {
        return 0;
    }
    if (from <= static_cast<double>(lowest))
    {
        return lowest;
    }
    // The highest 64 bit integer rounds up to a double out of range.
    if (from >= static_cast<double>(highest))
    {
        return highest;
    }
    return static_cast<Integer>(from);
}

} // namespace hyssoploft::core

#endif
