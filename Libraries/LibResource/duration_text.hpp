#ifndef HYSSOPLOFT_LIBRESOURCE_DURATION_TEXT_HPP
#define HYSSOPLOFT_LIBRESOURCE_DURATION_TEXT_HPP

// Durations as operators write them: "250ms", "30s", "10m", "24h", "7d".

#include <LibCore/time.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace hyssoploft::resource {

/// Parses a whole number with a unit; nullopt if `text` has another form or
/// the value is too large.
std::optional<core::duration> parse_duration(std::string_view text);

/// Formats `it` in the largest unit that divides it; fractions of 1 ms are
/// truncated.
std::string format_duration(core::duration it);

} // namespace hyssoploft::resource

#endif
