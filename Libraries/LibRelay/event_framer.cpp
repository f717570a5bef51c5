// Finds the ends of events.

#include <LibRelay/event_framer.hpp>

#include <charconv>
#include <optional>

namespace hyssoploft::relay {

namespace {

// The value of the `id` field of an event; empty without one.
std::string_view id_of(std::string_view event)
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

std::optional<std::uint64_t> number_of(std::string_view text)
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

// Length of the first event with its empty line; 0 if it is not complete.
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

void event_framer::take_event(std::string_view event, std::string& out)
{
    const auto id = id_of(event);
    const auto known = number_of(last_id_);
    const auto number = number_of(id);
    if (known && number && *number <= *known)
    {
        return;
    }
    if (!id.empty())
    {
        last_id_ = std::string(id);
    }
    ++events_;
    out += event;
}

absl::StatusOr<std::string> event_framer::feed(std::string_view bytes)
{
    rest_ += bytes;
    std::string out;
    std::size_t done = 0;
    for (;;)
    {
        const auto view = std::string_view(rest_).substr(done);
        const auto size = event_size(view);
        if (size == 0)
        {
            break;
        }
        take_event(view.substr(0, size), out);
        done += size;
    }
    rest_.erase(0, done);
    if (rest_.size() > max_event_bytes)
    {
        return absl::ResourceExhaustedError("an event is too large");
    }
    return out;
}

} // namespace hyssoploft::relay
