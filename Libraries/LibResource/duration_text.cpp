// Parses and formats durations with a unit.

#include <LibResource/duration_text.hpp>

#include <LibCore/text.hpp>

#include <array>
#include <charconv>
#include <cstdint>

namespace hyssoploft::resource {

namespace {

struct unit
{
    std::string_view name;
    std::int64_t milliseconds;
};

// In descending order.
constexpr std::array<unit, 5> units{
    {{"d", 86'400'000},
     {"h", 3'600'000},
     {"m", 60'000},
     {"s", 1000},
     {"ms", 1}}};

// About 31 years: above every limit on a duration, without risk of overflow.
constexpr std::int64_t max_milliseconds = 1'000'000'000'000;

} // namespace

std::optional<core::duration> parse_duration(std::string_view text)
{
    std::int64_t n = 0;
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || n < 0)
    {
        return std::nullopt;
    }
    const auto suffix =
        text.substr(static_cast<std::size_t>(end - text.data()));
    for (const auto& it : units)
    {
        if (it.name == suffix && n <= max_milliseconds / it.milliseconds)
        {
            return std::chrono::milliseconds(n * it.milliseconds);
        }
    }
    return std::nullopt;
}

std::string format_duration(core::duration it)
{
    const auto n =
        std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
    for (const auto& unit : units)
    {
        if (n != 0 && n % unit.milliseconds == 0)
        {
            return core::concat(n / unit.milliseconds, unit.name);
        }
    }
    return "0s";
}

} // namespace hyssoploft::resource
