#ifndef HYSSOPLOFT_LIBRESOURCE_DURATION_TEXT_HPP
#define HYSSOPLOFT_LIBRESOURCE_DURATION_TEXT_HPP

// Durations as operators write them: "250ms", "30s", "10m", "24h", "7d".

#include <LibCore/time.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace hyssoploft::resource {

/// A whole number and a unit; nothing on another text or an overflow.
std::optional<core::duration> parse_duration(std::string_view text);

/// In the largest unit that divides it; parts below 1 ms are dropped.
std::string format_duration(core::duration it);

} // namespace hyssoploft::resource

#endif
