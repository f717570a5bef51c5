#ifndef HYSSOPLOFT_LIBRELAY_EVENT_FRAMER_HPP
#define HYSSOPLOFT_LIBRELAY_EVENT_FRAMER_HPP

// Splits a stream of server-sent events at event boundaries, without changing
// bytes, and tracks the last event ID. Buffers an incomplete event, as a stream
// may break in the middle of it. Does no I/O.

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace hyssoploft::relay {

class event_framer
{
public:
    /// Bounds memory; larger than any event of the engines.
    static constexpr std::size_t max_event_bytes = 1 << 18;

    /// Returns the events completed by `bytes`; may be empty. Leaves out events
    /// with a numeric ID that does not exceed the last one: a resumed stream
    /// may repeat them. RESOURCE_EXHAUSTED for an event above max_event_bytes.
    absl::StatusOr<std::string> feed(std::string_view bytes);

    /// ID of the last complete event that had one; may be empty.
    const std::string& last_id() const
    {
        return last_id_;
    }

    /// Events returned by feed(), without comments.
    std::uint64_t event_count() const
    {
        return event_count_;
    }

    /// Bytes of an incomplete event that are buffered.
    std::size_t pending() const
    {
        return pending_bytes_.size();
    }

    /// True if no incomplete event is buffered.
    bool at_boundary() const
    {
        return pending_bytes_.empty();
    }

    /// Discards an incomplete event before the stream resumes at another
    /// upstream.
    void drop_partial()
    {
        pending_bytes_.clear();
    }

private:
    void append_event(std::string_view event, std::string& out);

    std::string pending_bytes_; // After the last complete event.
    std::string last_id_;
    std::uint64_t event_count_ = 0;
};

} // namespace hyssoploft::relay

#endif
