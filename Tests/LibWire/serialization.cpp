// Guards against bytes that make a decoder throw, read past its input or
// allocate what a length field claims.

#include <LibCore/keyed_hash.hpp>
#include <LibWire/serialization.hpp>

#include <doctest.h>
#include <rapidcheck.h>

#include <cstdlib>

using namespace hyssoploft;

namespace {

struct inner
{
    std::string text;
    std::int32_t number = 0;

    bool operator==(const inner&) const = default;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(text, number);
    }
};

struct outer
{
    std::uint64_t wide = 0;
    std::uint16_t narrow = 0;
    std::int64_t negative = 0;
    bool flag = false;
    double real = 0;
    std::vector<inner> list;
    std::vector<std::uint32_t> numbers;
    std::map<std::string, std::string> table;
    std::array<std::uint8_t, 4> raw{};

    bool operator==(const outer&) const = default;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(wide, narrow, negative, flag, real, list, numbers, table, raw);
    }
};

outer sample()
{
    return {UINT64_MAX,           65535,     INT64_MIN,    true,        -0.5,
            {{"a", -1}, {"", 7}}, {1, 2, 3}, {{"k", "v"}}, {1, 2, 3, 4}};
}

} // namespace

// A fleet may hold VMs of several kinds: x86-64 and arm64 write the same bytes.
TEST_CASE("a struct has the same bytes on every kind of machine")
{
    const std::string bytes =
        "ffffffffffffffffff01ffff03ffffffffffffffffff0101000000000000e0bf"
        "02016101000e0301000000020000000300000001016b017601020304";
    CHECK_EQ(core::to_hex(wire::encode(sample())), bytes);
    const auto back = wire::decode<outer>(core::from_hex(bytes).value());
    REQUIRE(back.ok());
    CHECK(*back == sample());
}

TEST_CASE("a struct survives encoding and decoding")
{
    const auto back = wire::decode<outer>(wire::encode(sample()));
    REQUIRE(back.ok());
    CHECK(*back == sample());
    CHECK(rc::check(
        "numbers", [](std::uint64_t a, std::int64_t b, std::string t) {
            outer it;
            it.wide = a;
            it.negative = b;
            it.list.push_back({t, static_cast<std::int32_t>(b)});
            RC_ASSERT(wire::decode<outer>(wire::encode(it)).value() == it);
        }));
}

TEST_CASE("every truncation and every added byte is an error")
{
    const auto bytes = wire::encode(sample());
    for (std::size_t n = 0; n < bytes.size(); ++n)
    {
        CHECK_FALSE(wire::decode<outer>(bytes.substr(0, n)).ok());
    }
    CHECK_FALSE(wire::decode<outer>(bytes + "x").ok());
}

TEST_CASE("bad fields are errors")
{
    using text = std::string;
    // Ten bytes with a bit beyond the 64th, and a length of 2^63.
    const text too_long = text(9, '\xFF') + "\x02";
    const text huge = text(9, '\x80') + "\x01";
    CHECK_FALSE(wire::decode<std::uint64_t>(too_long).ok());
    CHECK_FALSE(wire::decode<std::uint64_t>(text(11, '\xFF')).ok());
    CHECK_FALSE(wire::decode<std::uint16_t>("\xFF\xFF\x7F").ok());
    CHECK_FALSE(wire::decode<std::int32_t>(text(5, '\xFF') + "\x7F").ok());
    CHECK_FALSE(wire::decode<bool>("\x02").ok());
    CHECK_FALSE(wire::decode<text>(huge).ok());
    CHECK_FALSE(wire::decode<std::vector<std::uint64_t>>(huge).ok());
    CHECK_FALSE(wire::decode<std::vector<inner>>(huge).ok());
    CHECK_FALSE((wire::decode<std::map<text, text>>(huge).ok()));
}

TEST_CASE("a claimed length allocates nothing that isn't there")
{
    // The list claims as many elements as bytes follow, each of which holds
    // the length of a text that is missing.
    std::string bytes;
    wire::output_archive ar(bytes);
    ar.write_varint(1 << 20);
    bytes += std::string(1 << 20, '\x7F');
    CHECK_FALSE(wire::decode<std::vector<inner>>(bytes).ok());
    CHECK(rc::check("random bytes", [](std::string text) {
        (void)wire::decode<outer>(text);
        (void)wire::decode<std::vector<inner>>(text);
    }));
}
