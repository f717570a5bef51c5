#ifndef HYSSOPLOFT_LIBWIRE_FRAME_CODEC_HPP
#define HYSSOPLOFT_LIBWIRE_FRAME_CODEC_HPP

// Encodes and decodes the authenticated frame around every message between
// VMs. Pure: no clock, no I/O.
//
// Layout, integers little endian:
//   magic 4, version 1, key identifier 1, type 1, sender length 1,
//   payload length 4, sender incarnation 8, sequence 8,
//   sender, payload, HMAC-SHA-256 truncated to 16
// The HMAC also covers a `binding` that is not transmitted: the receiver's
// address for a datagram, the nonces of the handshake for a connection. A
// frame recorded on one path is therefore forged on every other.

#include <LibWire/drop_reason.hpp>
#include <LibWire/message_type.hpp>

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace hyssoploft::wire {

inline constexpr std::uint8_t protocol_version = 1;
inline constexpr std::size_t frame_header_bytes = 28;
inline constexpr std::size_t frame_mac_bytes = 16;
inline constexpr std::size_t max_sender_bytes = 64;
/// Below the smallest usual path MTU, so that datagrams aren't fragmented.
inline constexpr std::size_t max_datagram_bytes = 1200;
inline constexpr std::size_t max_stream_frame_bytes = std::size_t{1} << 20;

/// Bytes that a frame adds to its payload for a sender name of this length.
constexpr std::size_t frame_overhead(std::size_t sender_bytes)
{
    return frame_header_bytes + sender_bytes + frame_mac_bytes;
}

struct frame
{
    message_type type = message_type::ping;
    std::string sender; ///< 1 to max_sender_bytes bytes.
    /// Of the sender's process: rises with each start and never while it runs.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Counts from 1 in each incarnation.
    std::string payload;
};

struct fleet_key
{
    std::uint8_t id = 0;
    std::string secret; ///< At least 16 bytes.
};

/// Frames are sent under `current`; both keys are accepted. To rotate: add
/// the new key as `other` everywhere, make it `current`, remove the old one.
struct fleet_keys
{
    fleet_key current;
    std::optional<fleet_key> other;
};

using decode_result = std::variant<frame, drop_reason>;

class frame_codec
{
public:
    /// INVALID_ARGUMENT if a secret is too short or both keys have the same
    /// identifier.
    static absl::StatusOr<frame_codec> create(fleet_keys keys);

    /// INVALID_ARGUMENT on a bad sender name, RESOURCE_EXHAUSTED if the frame
    /// would exceed `max_bytes`.
    absl::StatusOr<std::string> encode(
        const frame& it, std::string_view binding, std::size_t max_bytes) const;

    /// Decodes exactly one frame from untrusted bytes.
    decode_result decode(
        std::string_view bytes, std::string_view binding,
        std::size_t max_bytes) const;

    /// Size of the whole frame from its first frame_header_bytes bytes, so
    /// that a stream reader knows how much to read. Not authenticated.
    static std::variant<std::size_t, drop_reason>
    frame_size(std::string_view header, std::size_t max_bytes);

private:
    explicit frame_codec(fleet_keys keys) : keys_(std::move(keys)) {}

    const fleet_key* find_key(std::uint8_t id) const;

    fleet_keys keys_;
};

} // namespace hyssoploft::wire

#endif
