// Guards against bytes that crash a decoder of a membership message or the
// member that handles it. The first byte selects the message.

#include <LibMembership/fleet_member.hpp>
#include <LibWire/serialization.hpp>

#include <chrono>
#include <cstdlib>

using namespace hyssoploft;
namespace m = hyssoploft::membership;

namespace {

template <typename T>
void feed(m::fleet_member& member, std::string_view bytes, core::time_point now)
{
    auto decoded = wire::decode<T>(bytes);
    if (!decoded.ok())
    {
        return;
    }
    // Encoding what was decoded must give the same message.
    if (wire::encode(*decoded) !=
        wire::encode(wire::decode<T>(wire::encode(*decoded)).value()))
    {
        std::abort();
    }
    const auto as_sent = decoded->self.id;
    member.on_message(as_sent, *decoded, now);
    // Most inputs fail the check of the sender, so that a second try has a
    // sound one.
    decoded->self.id = "peer";
    decoded->self.region = "r";
    decoded->self.peer_address = "10.0.0.2:1";
    decoded->self.state = m::vm_state::alive;
    member.on_message("peer", *decoded, now);
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0)
    {
        return 0;
    }
    core::seeded_random random(1);
    m::member_options options;
    options.self.id = "self";
    options.self.region = "r";
    options.self.peer_address = "10.0.0.1:1";
    options.self.incarnation = 1;
    auto member = m::fleet_member::create(options, random).value();
    core::time_point now{std::chrono::hours(1)};
    m::upstream_record upstream;
    upstream.id = "u";
    upstream.address = "10.0.0.3:1";
    upstream.region = "r";
    upstream.incarnation = 1;
    upstream.sequence = 1;
    (void)member->announce(upstream, now);
    member->tick(now);
    const std::string_view bytes(
        reinterpret_cast<const char*>(data) + 1, size - 1);
    switch (data[0] % 4)
    {
    case 0:
        feed<m::ping>(*member, bytes, now);
        break;
    case 1:
        feed<m::ack>(*member, bytes, now);
        break;
    case 2:
        feed<m::ping_request>(*member, bytes, now);
        break;
    default:
        feed<m::state_sync>(*member, bytes, now);
        break;
    }
    for (int n = 0; n < 20; ++n)
    {
        now += std::chrono::milliseconds(500);
        member->tick(now);
        (void)member->publish(now);
        for (const auto& it : member->take_outgoing())
        {
            const auto encoded = std::visit(
                [](const auto& body) {
                    return wire::encode(body);
                },
                it.body);
            const bool stream = std::holds_alternative<m::state_sync>(it.body);
            if (!stream && encoded.size() > options.datagram_payload)
            {
                std::abort();
            }
        }
    }
    return 0;
}
