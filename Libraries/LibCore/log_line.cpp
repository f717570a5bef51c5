// Quotes the values of structured log lines.

#include <LibCore/log_line.hpp>

#include <LibCore/text.hpp>

#include <absl/strings/escaping.h>

#include <algorithm>

namespace hyssoploft::core {

namespace {

bool needs_quotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
               return c <= ' ' || c == '"' || c == '=' || c == '\\' ||
                      c == 0x7f;
           });
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
