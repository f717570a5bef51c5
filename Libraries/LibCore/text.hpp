#ifndef HYSSOPLOFT_LIBCORE_TEXT_HPP
#define HYSSOPLOFT_LIBCORE_TEXT_HPP

// Bridges std::string_view and Abseil.
//
// NOTE: Debian builds Abseil with its own string_view class, so that
// absl::string_view and std::string_view don't convert into each other. Use
// concat() in place of absl::StrCat(), and to_std() on Status::message().

#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>

#include <string>
#include <string_view>
#include <type_traits>

namespace hyssoploft::core {

inline absl::string_view to_absl(std::string_view it)
{
    return {it.data(), it.size()};
}

inline std::string_view to_std(absl::string_view it)
{
    return {it.data(), it.size()};
}

namespace detail {

template <typename T>
decltype(auto) concat_part(const T& it)
{
    if constexpr (std::is_convertible_v<const T&, std::string_view>)
    {
        return to_absl(std::string_view(it));
    }
    else
    {
        return (it);
    }
}

} // namespace detail

/// Joins texts and numbers.
template <typename... Parts>
std::string concat(const Parts&... parts)
{
    return absl::StrCat(detail::concat_part(parts)...);
}

} // namespace hyssoploft::core

#endif
