#ifndef HYSSOPLOFT_LIBHTTP_SSE_PARSER_HPP
#define HYSSOPLOFT_LIBHTTP_SSE_PARSER_HPP

// Splits a byte stream into server-sent events (WHATWG HTML, section 9.2).

#include <absl/status/status.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoploft::http {

struct sse_event
{
    std::string type; ///< Of the `event` field; empty for a plain message.
    std::string data; ///< Lines of the `data` fields, joined by line breaks.
};

class sse_parser
{
public:
    static constexpr std::size_t max_event_bytes = 1 << 18;

    /// Appends the events that `bytes` completes to `out`.
    /// RESOURCE_EXHAUSTED when an event exceeds max_event_bytes.
    absl::Status feed(std::string_view bytes, std::vector<sse_event>& out);

    /// True between two events: a stream that ends elsewhere was cut.
    bool at_boundary() const
    {
        return line_.empty() && !has_fields_;
    }

private:
    void take_line(std::vector<sse_event>& out);

    std::string line_;        // Unfinished line, without its break.
    sse_event current_;       // Fields of the unfinished event.
    bool has_fields_ = false; // current_ holds at least one field.
    bool has_data_ = false;
    bool after_cr_ = false; // A line feed now belongs to the last break.
};

/// The bytes of one event with this data, which has no line breaks.
std::string to_sse(std::string_view data, std::string_view type = {});

} // namespace hyssoploft::http

#endif
