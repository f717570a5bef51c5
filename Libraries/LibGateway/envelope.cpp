// Signs and verifies envelopes and detects replays.

#include <LibGateway/envelope.hpp>

#include <LibCore/keyed_hash.hpp>
#include <LibCore/text.hpp>

#include <absl/strings/escaping.h>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <exception>
#include <sstream>

namespace hyssoploft::gateway {

namespace {

// All headers of a request together have at most 16 KiB.
constexpr std::size_t max_header_bytes = 8192;

std::string mac(std::string_view payload, std::string_view key)
{
    // The prefix separates the domains: a signature made for another purpose
    // is not valid here.
    return core::to_hex(core::hmac_sha256(
        key, core::concat("hyssoploft envelope 1\n", payload)));
}

bool signed_by_any(
    std::string_view payload, std::string_view signature,
    const std::vector<std::string>& keys)
{
    return std::any_of(keys.begin(), keys.end(), [&](const auto& key) {
        return core::equal_constant_time(mac(payload, key), signature);
    });
}

} // namespace

std::string sign(const envelope& it, std::string_view fleet_key)
{
    std::ostringstream out(std::ios::binary);
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(it);
    }
    const std::string payload = absl::Base64Escape(out.str());
    return payload + "." + mac(payload, fleet_key);
}

absl::StatusOr<envelope>
verify(std::string_view header, const std::vector<std::string>& keys)
{
    const auto dot = header.rfind('.');
    if (header.size() > max_header_bytes || dot == std::string_view::npos)
    {
        return absl::InvalidArgumentError("envelope is malformed");
    }
    const auto payload = header.substr(0, dot);
    if (!signed_by_any(payload, header.substr(dot + 1), keys))
    {
        return absl::UnauthenticatedError("envelope has no valid signature");
    }
    std::string bytes;
    if (!absl::Base64Unescape(core::to_absl(payload), &bytes))
    {
        return absl::InvalidArgumentError("envelope is not base64");
    }
    // The signature proves that the sender is a VM of the fleet, so length
    // fields are trusted; an envelope of another protocol version can still
    // fail to decode.
    try
    {
        std::istringstream in(bytes, std::ios::binary);
        cereal::PortableBinaryInputArchive archive(in);
        envelope it;
        archive(it);
        return it;
    }
    catch (const std::exception&)
    {
        return absl::InvalidArgumentError("envelope can't be decoded");
    }
}

absl::Status replay_guard::admit(const envelope& it, std::uint64_t now_unix_ms)
{
    const std::uint64_t age = now_unix_ms > it.issued_unix_ms
                                  ? now_unix_ms - it.issued_unix_ms
                                  : it.issued_unix_ms - now_unix_ms;
    if (age > max_age_ms)
    {
        return absl::FailedPreconditionError(
            "envelope is too old or the clocks differ");
    }
    const std::lock_guard lock(mutex_);
    while (!expiry_order_.empty() &&
           expiry_order_.front().until_unix_ms < now_unix_ms)
    {
        seen_ids_.erase(expiry_order_.front().id);
        expiry_order_.pop_front();
    }
    if (expiry_order_.size() >= max_seen_envelopes)
    {
        return absl::ResourceExhaustedError("too many forwarded requests");
    }
    if (!seen_ids_.insert(it.request_id).second)
    {
        return absl::AlreadyExistsError("envelope was used before");
    }
    // An envelope with a time of issue up to max_age_ms ahead stays valid for
    // up to twice max_age_ms.
    expiry_order_.push_back({now_unix_ms + 2 * max_age_ms, it.request_id});
    return absl::OkStatus();
}

} // namespace hyssoploft::gateway
