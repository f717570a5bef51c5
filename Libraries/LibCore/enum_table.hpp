#ifndef HYSSOPLOFT_LIBCORE_ENUM_TABLE_HPP
#define HYSSOPLOFT_LIBCORE_ENUM_TABLE_HPP

// Names of enumerators, both ways, from one table for each enumeration.

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace hyssoploft::core {

template <typename Enum>
struct enum_name
{
    Enum value;
    std::string_view name;
};

template <typename Enum, std::size_t Size>
using enum_table = std::array<enum_name<Enum>, Size>;

/// The name of `value`, or "unknown" if the table does not list it.
template <typename Enum, std::size_t Size>
constexpr std::string_view
name_of(const enum_table<Enum, Size>& table, Enum value)
{
    for (const auto& it : table)
    {
        if (it.value == value)
        {
            return it.name;
        }
    }
    return "unknown";
}

/// The enumerator with this name, if there is one.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum>
value_of(const enum_table<Enum, Size>& table, std::string_view name)
{
    for (const auto& it : table)
    {
        if (it.name == name)
        {
            return it.value;
        }
    }
    return std::nullopt;
}

} // namespace hyssoploft::core

#endif
