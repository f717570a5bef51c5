// Incremental parser of server-sent events.

#include <LibHttp/sse_parser.hpp>

#include <LibCore/text.hpp>

#include <utility>

namespace hyssoploft::http {

absl::Status
sse_parser::feed(std::string_view bytes, std::vector<sse_event>& out)
{
    for (const char c : bytes)
    {
        const bool second_half = c == '\n' && after_cr_;
        after_cr_ = c == '\r';
        if (second_half)
        {
            continue;
        }
        if (c == '\n' || c == '\r')
        {
            take_line(out);
            continue;
        }
        line_ += c;
        if (line_.size() + current_.data.size() > max_event_bytes)
        {
            return absl::ResourceExhaustedError(core::concat(
                "server-sent event of more than ", max_event_bytes, " bytes"));
        }
    }
    return absl::OkStatus();
}

void sse_parser::take_line(std::vector<sse_event>& out)
{
    const std::string line = std::exchange(line_, {});
    if (line.empty())
    {
        if (has_data_)
        {
            out.push_back(std::move(current_));
        }
        current_ = {};
        has_fields_ = has_data_ = false;
        return;
    }
    if (line[0] == ':')
    {
        return; // Comments are used as heartbeats.
    }
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    std::string value =
        colon == std::string::npos ? std::string() : line.substr(colon + 1);
    if (!value.empty() && value[0] == ' ')
    {
        value.erase(0, 1);
    }
    has_fields_ = true;
    if (name == "event")
    {
        current_.type = std::move(value);
    }
    else if (name == "data")
    {
        current_.data += (has_data_ ? "\n" : "") + value;
        has_data_ = true;
    }
}

std::string to_sse(std::string_view data, std::string_view type)
{
    std::string out;
    if (!type.empty())
    {
        out += core::concat("event: ", type, "\n");
    }
    return out + core::concat("data: ", data, "\n\n");
}

} // namespace hyssoploft::http
