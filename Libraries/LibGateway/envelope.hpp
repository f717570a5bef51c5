#ifndef HYSSOPLOFT_LIBGATEWAY_ENVELOPE_HPP
#define HYSSOPLOFT_LIBGATEWAY_ENVELOPE_HPP

// Signed envelope of a request that one VM forwards to another. It replaces the
// caller's key, which never leaves the entry VM.

#include <LibCore/time.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoploft::gateway {

inline constexpr std::string_view envelope_header = "x-hyssoploft-envelope";

/// Header with the identifier of the VM that calls an upstream. A VM that
/// receives it was announced as an upstream by mistake, and refuses the request
/// to prevent a forwarding loop.
inline constexpr std::string_view via_header = "x-hyssoploft-via";

struct envelope
{
    std::string account;
    std::string route;
    std::vector<std::string> allowed_regions; ///< Empty: all.
    std::uint64_t remaining_ms = 0;           ///< Time left until the deadline.
    std::string request_id;
    std::uint32_t hops = 1;           ///< VMs that have handled the request.
    std::vector<std::string> visited; ///< Their identifiers, entry VM first.
    std::string body_digest;          ///< digest_of_request()
    std::uint64_t issued_unix_ms = 0;
    std::uint64_t config_version = 0; ///< In force at the sender.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(
            account, route, allowed_regions, remaining_ms, request_id, hops,
            visited, body_digest, issued_unix_ms, config_version);
    }
};

/// Value of envelope_header: base64 of the encoded envelope, a dot, and the
/// HMAC-SHA-256 in hexadecimal.
std::string sign(const envelope& it, std::string_view fleet_key);

/// Verifies and decodes the value of envelope_header. UNAUTHENTICATED for a
/// wrong signature, INVALID_ARGUMENT for a malformed value. `keys` are the
/// fleet keys that are valid now.
absl::StatusOr<envelope>
verify(std::string_view header, const std::vector<std::string>& keys);

/// Rejects envelopes that are too old or were used before, to prevent replay
/// of a recorded request. Thread safe.
class replay_guard
{
public:
    /// Must be larger than the clock skew between two VMs.
    static constexpr std::uint64_t max_age_ms = 120'000;

    /// ALREADY_EXISTS for a replay, FAILED_PRECONDITION if the envelope was
    /// issued more than max_age_ms ago or ahead, RESOURCE_EXHAUSTED if
    /// max_seen_envelopes are stored.
    absl::Status admit(const envelope& it, std::uint64_t now_unix_ms);

private:
    struct seen_envelope
    {
        std::uint64_t until_unix_ms;
        std::string id;
    };

    static constexpr std::size_t max_seen_envelopes = 500'000;

    std::mutex mutex_;
    std::deque<seen_envelope>
        expiry_order_; // Oldest first, at most max_seen_envelopes.
    std::set<std::string> seen_ids_; // Identifiers in expiry_order_.
};

} // namespace hyssoploft::gateway

#endif
