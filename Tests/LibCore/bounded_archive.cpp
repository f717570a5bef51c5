// Guards against log entries and snapshots that differ between kinds of
// machines.

#include <LibCore/bounded_archive.hpp>
#include <LibCore/keyed_hash.hpp>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <doctest.h>

using namespace hyssoploft;

TEST_CASE("encoded values have the same bytes on every kind of machine")
{
    const std::uint8_t byte = 0xfe;
    const std::int16_t negative = -2;
    const std::uint64_t wide = 0x0102030405060708;
    const bool flag = true;
    const double real = -0.5;
    const std::string text = "\xff\x80z";
    const std::vector<std::uint32_t> list{1, 0x80000000};
    const std::string bytes =
        "fefeff080706050403020101000000000000e0bf03ff807a0201000000000000"
        "80";
    CHECK_EQ(
        core::to_hex(
            core::encode(byte, negative, wide, flag, real, text, list)),
        bytes);
    std::uint8_t byte_back = 0;
    std::int16_t negative_back = 0;
    std::uint64_t wide_back = 0;
    bool flag_back = false;
    double real_back = 0;
    std::string text_back;
    std::vector<std::uint32_t> list_back;
    REQUIRE(core::decode(
                core::from_hex(bytes).value(), byte_back, negative_back,
                wide_back, flag_back, real_back, text_back, list_back)
                .ok());
    CHECK_EQ(byte_back, byte);
    CHECK_EQ(negative_back, negative);
    CHECK_EQ(wide_back, wide);
    CHECK_EQ(flag_back, flag);
    CHECK_EQ(real_back, real);
    CHECK_EQ(text_back, text);
    CHECK_EQ(list_back, list);
}
