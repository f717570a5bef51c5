// Guards against frames that are accepted although they are forged, damaged,
// made for another path or under a key that was removed.

#include <LibCore/keyed_hash.hpp>
#include <LibWire/frame_codec.hpp>

#include <doctest.h>
#include <rapidcheck.h>

#include <functional>

using namespace hyssoploft;
using wire::drop_reason;

namespace {

const wire::fleet_key old_key{1, "an old key of 32 bytes 0123456789"};
const wire::fleet_key new_key{2, "a new key of 32 bytes 01234567890"};

wire::frame_codec
codec(wire::fleet_key current, std::optional<wire::fleet_key> other = {})
{
    return wire::frame_codec::create({std::move(current), std::move(other)})
        .value();
}

wire::frame sample()
{
    return {wire::message_type::ping, "vm1", 7, 42, "payload"};
}

std::optional<drop_reason> reason_of(const wire::decode_result& it)
{
    const auto* reason = std::get_if<drop_reason>(&it);
    return reason != nullptr ? std::optional(*reason) : std::nullopt;
}

} // namespace

TEST_CASE("a frame survives encoding and decoding")
{
    const auto c = codec(old_key);
    const auto bytes =
        c.encode(sample(), "path", wire::max_datagram_bytes).value();
    CHECK_EQ(bytes.size(), wire::frame_overhead(3) + 7);
    const auto decoded = c.decode(bytes, "path", wire::max_datagram_bytes);
    const auto* it = std::get_if<wire::frame>(&decoded);
    REQUIRE(it != nullptr);
    CHECK_EQ(it->sender, "vm1");
    CHECK_EQ(it->incarnation, 7);
    CHECK_EQ(it->sequence, 42);
    CHECK_EQ(it->payload, "payload");
    CHECK(it->type == wire::message_type::ping);
}

// A fleet may hold VMs of several kinds: x86-64 and arm64 write the same bytes.
TEST_CASE("a frame has the same bytes on every kind of machine")
{
    const auto c = codec(old_key);
    const std::string bytes =
        "4859534c010102030700000007000000000000002a00000000000000766d3170"
        "61796c6f616453fc6af4ea2705b336a812c10d3cf28b";
    CHECK_EQ(
        core::to_hex(
            c.encode(sample(), "path", wire::max_datagram_bytes).value()),
        bytes);
    const auto decoded = c.decode(
        core::from_hex(bytes).value(), "path", wire::max_datagram_bytes);
    CHECK(std::holds_alternative<wire::frame>(decoded));
}

TEST_CASE("damaged frames are dropped with their reason")
{
    struct fault
    {
        const char* what;
        std::function<void(std::string&)> apply;
        drop_reason expected;
    };
    const fault faults[] = {
        {"empty",
         [](auto& b) {
             b.clear();
         },
         drop_reason::truncated},
        {"header only",
         [](auto& b) {
             b.resize(28);
         },
         drop_reason::truncated},
        {"last byte lost",
         [](auto& b) {
             b.pop_back();
         },
         drop_reason::truncated},
        {"byte added",
         [](auto& b) {
             b.push_back('x');
         },
         drop_reason::trailing_bytes},
        {"magic",
         [](auto& b) {
             b[0] ^= 1;
         },
         drop_reason::bad_magic},
        {"version",
         [](auto& b) {
             ++b[4];
         },
         drop_reason::wrong_version},
        {"unknown key",
         [](auto& b) {
             b[5] = 99;
         },
         drop_reason::unknown_key},
        {"type",
         [](auto& b) {
             b[6] = 3;
         },
         drop_reason::forged},
        {"no sender",
         [](auto& b) {
             b[7] = 0;
         },
         drop_reason::bad_sender},
        {"long sender",
         [](auto& b) {
             b[7] = 65;
         },
         drop_reason::bad_sender},
        {"huge payload",
         [](auto& b) {
             b[11] = '\x7F';
         },
         drop_reason::oversize},
        {"incarnation",
         [](auto& b) {
             ++b[12];
         },
         drop_reason::forged},
        {"sequence",
         [](auto& b) {
             ++b[20];
         },
         drop_reason::forged},
        {"sender",
         [](auto& b) {
             ++b[28];
         },
         drop_reason::forged},
        {"payload",
         [](auto& b) {
             ++b[32];
         },
         drop_reason::forged},
        {"hash",
         [](auto& b) {
             b.back() ^= 1;
         },
         drop_reason::forged},
    };
    const auto c = codec(old_key);
    for (const auto& it : faults)
    {
        CAPTURE(it.what);
        auto bytes = c.encode(sample(), "path", 1200).value();
        it.apply(bytes);
        CHECK(reason_of(c.decode(bytes, "path", 1200)) == it.expected);
    }
}

TEST_CASE("a frame for another path or of an unknown type is dropped")
{
    const auto c = codec(old_key);
    const auto bytes = c.encode(sample(), "path", 1200).value();
    CHECK(reason_of(c.decode(bytes, "other", 1200)) == drop_reason::forged);
    auto odd = sample();
    odd.type = static_cast<wire::message_type>(200);
    CHECK(
        reason_of(c.decode(c.encode(odd, "p", 1200).value(), "p", 1200)) ==
        drop_reason::unknown_type);
}

TEST_CASE("bounds and names are checked before sending")
{
    const auto c = codec(old_key);
    auto it = sample();
    it.payload.assign(1200, 'x');
    CHECK(absl::IsResourceExhausted(c.encode(it, "p", 1200).status()));
    it = sample();
    it.sender.clear();
    CHECK(absl::IsInvalidArgument(c.encode(it, "p", 1200).status()));
    it.sender.assign(65, 'x');
    CHECK(absl::IsInvalidArgument(c.encode(it, "p", 1200).status()));
    CHECK_FALSE(wire::frame_codec::create({{1, "short"}, {}}).ok());
    CHECK_FALSE(wire::frame_codec::create(
                    {old_key, wire::fleet_key{1, "0123456789abcdef"}})
                    .ok());
}

TEST_CASE("keys rotate without a gap")
{
    struct step
    {
        const char* what;
        wire::frame_codec sender;
        wire::frame_codec receiver;
        std::optional<drop_reason> expected;
    };
    const step steps[] = {
        {"new key known", codec(old_key), codec(old_key, new_key), {}},
        {"sender switched",
         codec(new_key, old_key),
         codec(old_key, new_key),
         {}},
        {"receiver switched",
         codec(old_key, new_key),
         codec(new_key, old_key),
         {}},
        {"old key removed", codec(old_key), codec(new_key),
         drop_reason::unknown_key},
        {"other secret", codec({1, "an evil key of 32 bytes 01234567"}),
         codec(old_key), drop_reason::forged},
    };
    for (const auto& it : steps)
    {
        CAPTURE(it.what);
        const auto bytes = it.sender.encode(sample(), "p", 1200).value();
        CHECK(reason_of(it.receiver.decode(bytes, "p", 1200)) == it.expected);
    }
}

TEST_CASE("no change of a single bit is accepted")
{
    const auto c = codec(old_key);
    const auto bytes = c.encode(sample(), "p", 1200).value();
    for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit)
    {
        auto damaged = bytes;
        damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << bit % 8));
        CHECK(reason_of(c.decode(damaged, "p", 1200)).has_value());
    }
    CHECK(rc::check("random bytes are never a frame", [&](std::string text) {
        RC_ASSERT(reason_of(c.decode(text, "p", 1200)).has_value());
    }));
}
