// Guards against frames that crash the decoder, and against any frame that is
// accepted without being exactly what encode() made.

#include <LibWire/frame_codec.hpp>
#include <LibWire/replay_window.hpp>

#include <cstdlib>

using namespace hyssoploft;

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    static const auto codec =
        wire::frame_codec::create({{1, "a fleet key of thirty-two bytes!"}, {}})
            .value();
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const auto decoded = codec.decode(bytes, "path", wire::max_datagram_bytes);
    if (std::holds_alternative<wire::frame>(decoded))
    {
        // The fuzzer has no key, so it can't make a valid hash.
        std::abort();
    }

    // The same bytes as the fields and the damage of a valid frame.
    if (size < 4)
    {
        return 0;
    }
    wire::frame it;
    it.type = static_cast<wire::message_type>(data[0]);
    it.sender = std::string(1 + data[1] % wire::max_sender_bytes, 's');
    it.incarnation = data[2];
    it.sequence = data[3];
    it.payload = bytes.substr(4);
    auto frame = codec.encode(it, "path", wire::max_datagram_bytes);
    if (!frame.ok())
    {
        return 0;
    }
    const auto back = codec.decode(*frame, "path", wire::max_datagram_bytes);
    const auto* same = std::get_if<wire::frame>(&back);
    const bool known =
        core::name_of(wire::message_type_names, it.type) != "unknown";
    if (known != (same != nullptr) ||
        (same != nullptr &&
         (same->payload != it.payload || same->sender != it.sender)))
    {
        std::abort();
    }
    const auto at = (data[2] * 256U + data[3]) % frame->size();
    (*frame)[at] = static_cast<char>((*frame)[at] ^ (1 + data[1] % 255));
    if (std::holds_alternative<wire::frame>(
            codec.decode(*frame, "path", wire::max_datagram_bytes)))
    {
        std::abort();
    }
    wire::replay_window window(4);
    for (std::size_t n = 0; n + 2 < size; n += 3)
    {
        (void)window.check(std::string(1, bytes[n]), data[n + 1], data[n + 2]);
    }
    return 0;
}
