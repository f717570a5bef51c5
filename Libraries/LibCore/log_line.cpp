// Quotes the values of structured log lines.

#include <LibCore/log_line.hpp>

#include <LibCore/text.hpp>

#include <absl/strings/escaping.h>

#include <algorithm>

namespace hyssoploft::core {

namespace {

bool needs_quotes(std::string_view value)
{
    // Plain char is signed on some machines only.
    const auto is_special = [](unsigned char c) {
        return c <= ' ' || c >= 0x7f || c == '"' || c == '=' || c == '\\';
    };
    return value.empty() || std::any_of(value.begin(), value.end(), is_special);
}

} // namespace

log_line& log_line::with(std::string_view key, std::string_view value)
{
    if (needs_quotes(value))
    {
        text_ += concat(" ", key, "=\"", absl::CEscape(to_absl(value)), "\"");
        return *this;
    }
    text_ += concat(" ", key, "=", value);
    return *this;
}

} // namespace hyssoploft::core
