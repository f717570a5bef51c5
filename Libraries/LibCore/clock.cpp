// Reads the clocks of the operating system.

#include <LibCore/clock.hpp>

#include <chrono>
#include <ctime>

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

time_point suspend_aware_clock::now() const
{
    timespec it{};
    if (::clock_gettime(CLOCK_BOOTTIME, &it) != 0)
    {
        return system_clock().now();
    }
    return time_point(
        std::chrono::seconds(it.tv_sec) + std::chrono::nanoseconds(it.tv_nsec));
}

std::uint64_t suspend_aware_clock::unix_nanoseconds() const
{
    return system_clock().unix_nanoseconds();
}

} // namespace hyssoploft::core
