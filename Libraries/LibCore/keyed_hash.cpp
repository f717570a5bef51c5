// Hashes by OpenSSL's libcrypto.

#include <LibCore/keyed_hash.hpp>

#include <LibCore/text.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <glog/logging.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <sys/stat.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <iterator>

namespace hyssoploft::core {

namespace {

constexpr std::size_t min_secret_bytes = 16;

const unsigned char* as_bytes(std::string_view it)
{
    return reinterpret_cast<const unsigned char*>(it.data());
}

} // namespace

digest hmac_sha256(std::string_view key, std::string_view message)
{
    digest result{};
    unsigned int n = 0;
    const auto* done = HMAC(
        EVP_sha256(), key.data(), static_cast<int>(key.size()),
        as_bytes(message), message.size(), result.data(), &n);
    CHECK(done != nullptr && n == result.size()) << "HMAC-SHA-256 failed";
    return result;
}

digest sha256(std::string_view message)
{
    digest result{};
    unsigned int n = 0;
    const int done = EVP_Digest(
        message.data(), message.size(), result.data(), &n, EVP_sha256(),
        nullptr);
    CHECK(done == 1 && n == result.size()) << "SHA-256 failed";
    return result;
}

std::string to_hex(std::string_view bytes)
{
    return absl::BytesToHexString(to_absl(bytes));
}

std::string to_hex(const digest& it)
{
    return to_hex(
        std::string_view(reinterpret_cast<const char*>(it.data()), it.size()));
}

absl::StatusOr<std::string> from_hex(std::string_view text)
{
    const bool all_hex = std::all_of(text.begin(), text.end(), [](char c) {
        return std::isxdigit(static_cast<unsigned char>(c)) != 0;
    });
    if (text.size() % 2 != 0 || !all_hex)
    {
        return absl::InvalidArgumentError("not a hexadecimal text");
    }
    return absl::HexStringToBytes(to_absl(text));
}

bool equal_constant_time(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

absl::StatusOr<std::string> read_secret_file(const std::string& path)
{
    struct stat info
    {};
    if (::stat(path.c_str(), &info) != 0)
    {
        return absl::NotFoundError(concat(path, ": can't be read"));
    }
    if ((info.st_mode & (S_IRWXG | S_IRWXO)) != 0)
    {
        return absl::PermissionDeniedError(
            concat(path, ": group or others have access; set mode 0600"));
    }
    std::ifstream in(path, std::ios::binary);
    if (!in)
    {
        return absl::NotFoundError(concat(path, ": can't be read"));
    }
    const std::string text(
        (std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    std::string secret(absl::StripAsciiWhitespace(text));
    if (secret.size() < min_secret_bytes)
    {
        return absl::InvalidArgumentError(concat(
            path, ": a secret has at least ", min_secret_bytes, " bytes"));
    }
    return secret;
}

} // namespace hyssoploft::core
