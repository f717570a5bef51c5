// Reads the clocks of the operating system.

#include <LibCore/clock.hpp>

#include <chrono>

namespace hyssoploft::core {

time_point system_clock::now() const
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::steady_clock::now());
}

std::uint64_t system_clock::unix_nanoseconds() const
{
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(since_epoch)
            .count());
}

} // namespace hyssoploft::core
