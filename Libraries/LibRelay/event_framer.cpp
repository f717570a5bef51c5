// Splits a stream of server-sent events at event boundaries.

#include <LibRelay/event_framer.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace hyssoploft::relay {

namespace {

// Value of the `id` field of an event; empty if it has none.
std::string_view event_id(std::string_view event)
{
    while (!event.empty())
    {
        const auto end = event.find_first_of("\r\n");
        const auto line = event.substr(0, end);
        if (line.substr(0, 3) == "id:")
        {
            auto value = line.substr(3);
            value.remove_prefix(value.substr(0, 1) == " " ? 1 : 0);
            return value;
        }
        if (end == std::string_view::npos)
        {
            break;
        }
        event.remove_prefix(end + 1);
    }
    return {};
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t out = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, out);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return out;
}

// False for comments and empty lines, which say nothing about progress.
bool has_content(std::string_view event)
{
    while (!event.empty())
    {
        const auto end = event.find_first_of("\r\n");
        const auto name = event.substr(0, std::min(end, event.find(':')));
        if (name == "data" || name == "id")
        {
            return true;
        }
        if (end == std::string_view::npos)
        {
            break;
        }
        event.remove_prefix(end + 1);
    }
    return false;
}

// Size of the first event with its empty line; 0 if it is incomplete.
std::size_t event_size(std::string_view bytes)
{
    for (std::size_t n = 0; n < bytes.size(); ++n)
    {
        if (bytes[n] != '\n')
        {
            continue;
        }
        if (n + 1 < bytes.size() && bytes[n + 1] == '\n')
        {
            return n + 2;
        }
        if (n + 2 < bytes.size() && bytes[n + 1] == '\r' &&
            bytes[n + 2] == '\n')
        {
            return n + 3;
        }
    }
    return 0;
}

} // namespace

void event_framer::append_event(std::string_view event, std::string& out)
{
    const auto id = event_id(event);
    const auto last_number = parse_number(last_id_);
    const auto number = parse_number(id);
    if (last_number && number && *number <= *last_number)
    {
        return;
    }
    if (!id.empty())
    {
        last_id_ = std::string(id);
    }
    event_count_ += has_content(event) ? 1 : 0;
    out += event;
}

absl::StatusOr<std::string> event_framer::feed(std::string_view bytes)
{
    pending_bytes_ += bytes;
    std::string out;
    std::size_t consumed = 0;
    for (;;)
    {
        const auto view = std::string_view(pending_bytes_).substr(consumed);
        const auto size = event_size(view);
        if (size == 0)
        {
            break;
        }
        append_event(view.substr(0, size), out);
        consumed += size;
    }
    pending_bytes_.erase(0, consumed);
    if (pending_bytes_.size() > max_event_bytes)
    {
        return absl::ResourceExhaustedError("the event exceeds the size limit");
    }
    return out;
}

} // namespace hyssoploft::relay
