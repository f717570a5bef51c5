// Guards against conversions out of range, which give another value on each
// kind of machine.

#include <LibCore/saturating_cast.hpp>
#include <LibCore/time.hpp>

#include <doctest.h>

#include <cstdint>
#include <limits>

using namespace hyssoploft;

namespace {

constexpr double infinite = std::numeric_limits<double>::infinity();
constexpr double not_a_number = std::numeric_limits<double>::quiet_NaN();

template <typename Integer>
void check_limits()
{
    constexpr auto lowest = std::numeric_limits<Integer>::min();
    constexpr auto highest = std::numeric_limits<Integer>::max();
    struct row
    {
        double from;
        Integer to;
    };
    const row rows[] = {
        {0, 0},
        {41.9, 41},
        {static_cast<double>(lowest), lowest},
        {static_cast<double>(highest), highest},
        {2 * static_cast<double>(highest), highest},
        {1e300, highest},
        {-1e300, lowest},
        {infinite, highest},
        {-infinite, lowest},
        {not_a_number, 0},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.from);
        CHECK_EQ(core::saturating_cast<Integer>(row.from), row.to);
    }
}

} // namespace

TEST_CASE("numbers out of an integer's range become its limits")
{
    check_limits<std::int32_t>();
    check_limits<std::uint32_t>();
    check_limits<std::int64_t>();
    check_limits<std::uint64_t>();
    CHECK_EQ(core::saturating_cast<std::int32_t>(-41.9), -41);
    CHECK_EQ(core::saturating_cast<std::uint32_t>(-41.9), 0);
}

TEST_CASE("seconds beyond the longest duration become that duration")
{
    struct row
    {
        double seconds;
        core::duration expected;
    };
    const row rows[] = {
        {1.5, std::chrono::milliseconds(1500)},
        {-1.5, std::chrono::milliseconds(-1500)},
        {1e9, std::chrono::seconds(1'000'000'000)},
        {1e10, core::longest_duration},
        {1e300, core::longest_duration},
        {-1e300, -core::longest_duration},
        {infinite, core::longest_duration},
        {-infinite, -core::longest_duration},
        {not_a_number, core::duration::zero()},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.seconds);
        CHECK_EQ(core::from_seconds(row.seconds), row.expected);
    }
}

TEST_CASE("the longest duration can be added to a time twice")
{
    const core::time_point now{core::longest_duration / 100};
    const auto later =
        now + core::from_seconds(infinite) + core::from_seconds(infinite);
    CHECK(later > now);
    CHECK(now - core::from_seconds(infinite) < now);
}
