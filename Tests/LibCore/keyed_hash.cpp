// Guards against hashes that differ from the published test vectors.

#include <LibCore/keyed_hash.hpp>

#include <doctest.h>
#include <sys/stat.h>

#include <cstdio>
#include <fstream>

using namespace hyssoploft;

TEST_CASE("SHA-256 and HMAC match RFC 4231 and FIPS 180-4")
{
    CHECK_EQ(
        core::to_hex(core::sha256("abc")),
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK_EQ(
        core::to_hex(core::hmac_sha256("Jefe", "what do ya want for nothing?")),
        "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST_CASE("hexadecimal text is checked")
{
    CHECK_EQ(core::from_hex("6869").value(), "hi");
    CHECK_FALSE(core::from_hex("686").ok());
    CHECK_FALSE(core::from_hex("zz").ok());
}

TEST_CASE("comparison in constant time compares whole texts")
{
    CHECK(core::equal_constant_time("same", "same"));
    CHECK_FALSE(core::equal_constant_time("same", "sama"));
    CHECK_FALSE(core::equal_constant_time("same", "same "));
}

TEST_CASE("a secret file that others can read is refused")
{
    const std::string path = "secret_file_test";
    std::ofstream(path) << "0123456789abcdef\n";
    REQUIRE_EQ(::chmod(path.c_str(), 0644), 0);
    CHECK(absl::IsPermissionDenied(core::read_secret_file(path).status()));
    REQUIRE_EQ(::chmod(path.c_str(), 0600), 0);
    CHECK_EQ(core::read_secret_file(path).value(), "0123456789abcdef");
    std::ofstream(path) << "short";
    CHECK(absl::IsInvalidArgument(core::read_secret_file(path).status()));
    std::remove(path.c_str());
    CHECK(absl::IsNotFound(core::read_secret_file(path).status()));
}
