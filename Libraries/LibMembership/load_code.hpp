#ifndef HYSSOPLOFT_LIBMEMBERSHIP_LOAD_CODE_HPP
#define HYSSOPLOFT_LIBMEMBERSHIP_LOAD_CODE_HPP

// One-byte encoding of the numbers of a load report: exact up to 16, then
// logarithmic with an error below 3%, up to about 500,000.

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace hyssoploft::membership {

constexpr double load_code_linear_max = 16;

inline std::uint8_t to_load_code(double n)
{
    if (!(n > 0))
    {
        return 0;
    }
    if (n < load_code_linear_max)
    {
        return static_cast<std::uint8_t>(std::lround(n));
    }
    const double code =
        load_code_linear_max * (1 + std::log2(n / load_code_linear_max));
    return static_cast<std::uint8_t>(std::lround(std::min(code, 255.0)));
}

inline double from_load_code(std::uint8_t code)
{
    return code <= load_code_linear_max
               ? code
               : load_code_linear_max *
                     std::exp2(code / load_code_linear_max - 1);
}

} // namespace hyssoploft::membership

#endif
