#ifndef HYSSOPLOFT_LIBCORE_KEYED_HASH_HPP
#define HYSSOPLOFT_LIBCORE_KEYED_HASH_HPP

// HMAC-SHA-256 and SHA-256 (OpenSSL), hexadecimal text and comparison in
// constant time.

#include <absl/status/statusor.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace hyssoploft::core {

using digest = std::array<std::uint8_t, 32>;

/// HMAC-SHA-256 (RFC 2104, FIPS 180-4).
digest hmac_sha256(std::string_view key, std::string_view message);

/// SHA-256 (FIPS 180-4).
digest sha256(std::string_view message);

/// Lower case hexadecimal.
std::string to_hex(std::string_view bytes);
std::string to_hex(const digest& it);

/// The bytes of a hexadecimal text. INVALID_ARGUMENT on an odd length or
/// another character.
absl::StatusOr<std::string> from_hex(std::string_view text);

/// Compares in a time that depends on the lengths only.
bool equal_constant_time(std::string_view a, std::string_view b);

/// Reads a secret from a file; surrounding white space is removed.
/// NOT_FOUND if it can't be read, INVALID_ARGUMENT if it is shorter than 16
/// bytes, PERMISSION_DENIED if others than the owner may read it.
absl::StatusOr<std::string> read_secret_file(const std::string& path);

} // namespace hyssoploft::core

#endif
