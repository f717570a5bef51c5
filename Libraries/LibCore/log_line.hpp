#ifndef HYSSOPLOFT_LIBCORE_LOG_LINE_HPP
#define HYSSOPLOFT_LIBCORE_LOG_LINE_HPP

// Builds the text of a structured log line: an event name followed by
// key=value pairs. Values with spaces or quotes are quoted.

#include <LibCore/text.hpp>

#include <ostream>
#include <string>
#include <string_view>

namespace hyssoploft::core {

/// Use: LOG(INFO) << log_line("vm_joined").with("vm", id);
class log_line
{
public:
    explicit log_line(std::string_view event) : text_(event) {}

    log_line& with(std::string_view key, std::string_view value);

    log_line& with(std::string_view key, const absl::AlphaNum& value)
    {
        return with(key, to_std(value.Piece()));
    }

    log_line& with(std::string_view key, const std::string& value)
    {
        return with(key, std::string_view(value));
    }

    log_line& with(std::string_view key, const char* value)
    {
        return with(key, std::string_view(value));
    }

    const std::string& text() const
    {
        return text_;
    }

private:
    std::string text_; // Never contains a line break.
};

inline std::ostream& operator<<(std::ostream& out, const log_line& it)
{
    return out << it.text();
}

} // namespace hyssoploft::core

#endif
