#ifndef HYSSOPLOFT_LIBRELAY_EVENT_FRAMER_HPP
#define HYSSOPLOFT_LIBRELAY_EVENT_FRAMER_HPP

// Cuts a stream of server-sent events at the ends of events, unchanged, and
// notes the identifier of the last one. What follows the last whole event is
// kept back: a stream may break in the middle of an event. Pure.

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace hyssoploft::relay {

class event_framer
{
public:
    /// Larger than any event of the engines; bounds memory.
    static constexpr std::size_t max_event_bytes = 1 << 18;

    /// The bytes of the events that `bytes` completes; empty if it completes
    /// none. Events that were passed on before, by their identifier, are left
    /// out. RESOURCE_EXHAUSTED for an event above max_event_bytes.
    absl::StatusOr<std::string> feed(std::string_view bytes);

    /// Identifier of the last whole event; empty before the first one.
    const std::string& last_id() const
    {
        return last_id_;
    }

    std::uint64_t events() const
    {
        return events_;
    }

    /// True between two events.
    bool at_boundary() const
    {
        return rest_.empty();
    }

    /// Drops an event that was cut: its stream goes on at another upstream.
    void drop_partial()
    {
        rest_.clear();
    }

private:
    void take_event(std::string_view event, std::string& out);

    std::string rest_; // Bytes after the last whole event.
    std::string last_id_;
    std::uint64_t events_ = 0;
};

} // namespace hyssoploft::relay

#endif
