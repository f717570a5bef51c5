// The frame of section 6 of the design page.

#include <LibWire/frame_codec.hpp>

#include <LibCore/keyed_hash.hpp>
#include <LibCore/text.hpp>

#include <utility>

namespace hyssoploft::wire {

namespace {

constexpr std::uint32_t magic = 0x4C535948; // "HYSL"
constexpr std::size_t min_secret_bytes = 16;

// Offsets in the header.
constexpr std::size_t at_version = 4;
constexpr std::size_t at_key = 5;
constexpr std::size_t at_type = 6;
constexpr std::size_t at_sender_size = 7;
constexpr std::size_t at_payload_size = 8;
constexpr std::size_t at_incarnation = 12;
constexpr std::size_t at_sequence = 20;

template <typename Unsigned>
void put(std::string& out, Unsigned n)
{
    for (std::size_t it = 0; it < sizeof n; ++it)
    {
        out.push_back(static_cast<char>((n >> (8 * it)) & 0xFF));
    }
}

template <typename Unsigned>
Unsigned get(std::string_view bytes, std::size_t offset)
{
    Unsigned n = 0;
    for (std::size_t it = 0; it < sizeof n; ++it)
    {
        const auto byte = static_cast<std::uint8_t>(bytes[offset + it]);
        n |= static_cast<Unsigned>(static_cast<Unsigned>(byte) << (8 * it));
    }
    return n;
}

std::string
mac_of(const fleet_key& key, std::string_view binding, std::string_view bytes)
{
    // The length prefix keeps binding and frame from running into each other.
    std::string text;
    text.reserve(sizeof(std::uint32_t) + binding.size() + bytes.size());
    put(text, static_cast<std::uint32_t>(binding.size()));
    text.append(binding);
    text.append(bytes);
    const auto digest = core::hmac_sha256(key.secret, text);
    return std::string(digest.begin(), digest.begin() + frame_mac_bytes);
}

} // namespace

absl::StatusOr<frame_codec> frame_codec::create(fleet_keys keys)
{
    if (keys.current.secret.size() < min_secret_bytes ||
        (keys.other && keys.other->secret.size() < min_secret_bytes))
    {
        return absl::InvalidArgumentError(core::concat(
            "a fleet key has at least ", min_secret_bytes, " bytes"));
    }
    if (keys.other && keys.other->id == keys.current.id)
    {
        return absl::InvalidArgumentError(
            "two fleet keys have the same identifier");
    }
    return frame_codec(std::move(keys));
}

const fleet_key* frame_codec::find_key(std::uint8_t id) const
{
    if (keys_.current.id == id)
    {
        return &keys_.current;
    }
    return keys_.other && keys_.other->id == id ? &*keys_.other : nullptr;
}

absl::StatusOr<std::string> frame_codec::encode(
    const frame& it, std::string_view binding, std::size_t max_bytes) const
{
    if (it.sender.empty() || it.sender.size() > max_sender_bytes)
    {
        return absl::InvalidArgumentError("bad length of a sender's name");
    }
    const auto overhead = frame_overhead(it.sender.size());
    if (overhead > max_bytes || it.payload.size() > max_bytes - overhead)
    {
        return absl::ResourceExhaustedError(core::concat(
            "a ", core::name_of(message_type_names, it.type), " of ",
            it.payload.size(), " bytes exceeds a frame of ", max_bytes));
    }
    std::string out;
    out.reserve(overhead + it.payload.size());
    put(out, magic);
    put(out, protocol_version);
    put(out, keys_.current.id);
    put(out, static_cast<std::uint8_t>(it.type));
    put(out, static_cast<std::uint8_t>(it.sender.size()));
    put(out, static_cast<std::uint32_t>(it.payload.size()));
    put(out, it.incarnation);
    put(out, it.sequence);
    out += it.sender;
    out += it.payload;
    out += mac_of(keys_.current, binding, out);
    return out;
}

std::variant<std::size_t, drop_reason>
frame_codec::frame_size(std::string_view header, std::size_t max_bytes)
{
    if (header.size() < frame_header_bytes)
    {
        return drop_reason::truncated;
    }
    if (get<std::uint32_t>(header, 0) != magic)
    {
        return drop_reason::bad_magic;
    }
    if (get<std::uint8_t>(header, at_version) != protocol_version)
    {
        return drop_reason::wrong_version;
    }
    const std::size_t sender = get<std::uint8_t>(header, at_sender_size);
    if (sender == 0 || sender > max_sender_bytes)
    {
        return drop_reason::bad_sender;
    }
    const std::size_t payload = get<std::uint32_t>(header, at_payload_size);
    const auto n = frame_overhead(sender) + payload;
    if (n > max_bytes)
    {
        return drop_reason::oversize;
    }
    return n;
}

decode_result frame_codec::decode(
    std::string_view bytes, std::string_view binding,
    std::size_t max_bytes) const
{
    const auto size = frame_size(bytes, max_bytes);
    if (const auto* reason = std::get_if<drop_reason>(&size))
    {
        return *reason;
    }
    const auto n = std::get<std::size_t>(size);
    if (bytes.size() != n)
    {
        return bytes.size() < n ? drop_reason::truncated
                                : drop_reason::trailing_bytes;
    }
    const auto* key = find_key(get<std::uint8_t>(bytes, at_key));
    if (key == nullptr)
    {
        return drop_reason::unknown_key;
    }
    const auto signed_part = bytes.substr(0, n - frame_mac_bytes);
    if (!core::equal_constant_time(
            mac_of(*key, binding, signed_part),
            bytes.substr(n - frame_mac_bytes)))
    {
        return drop_reason::forged;
    }
    const auto type =
        static_cast<message_type>(get<std::uint8_t>(bytes, at_type));
    if (core::name_of(message_type_names, type) == "unknown")
    {
        return drop_reason::unknown_type;
    }
    const std::size_t sender = get<std::uint8_t>(bytes, at_sender_size);
    frame it;
    it.type = type;
    it.incarnation = get<std::uint64_t>(bytes, at_incarnation);
    it.sequence = get<std::uint64_t>(bytes, at_sequence);
    it.sender = signed_part.substr(frame_header_bytes, sender);
    it.payload = signed_part.substr(frame_header_bytes + sender);
    return it;
}

} // namespace hyssoploft::wire
