#ifndef HYSSOPLOFT_LIBGATEWAY_ENVELOPE_HPP
#define HYSSOPLOFT_LIBGATEWAY_ENVELOPE_HPP

// The signed statement that goes with a request from VM to VM. It stands in
// place of the caller's key, which never leaves the entry VM.

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

/// Names the VM that calls an upstream. A VM that gets it was announced as an
/// upstream, and refuses the request, which would circle.
inline constexpr std::string_view via_header = "x-hyssoploft-via";

struct envelope
{
    std::string account;
    std::string route;
    std::vector<std::string> allowed_regions; ///< Empty: all.
    std::uint64_t remaining_ms = 0;           ///< Time to the deadline.
    std::string request_id;
    std::uint32_t hops = 1;           ///< VMs that had the request.
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

/// The header's value: base64 of the encoded envelope, a dot, and the
/// HMAC-SHA-256 in hexadecimal.
std::string sign(const envelope& it, std::string_view fleet_key);

/// Checks and decodes a header. UNAUTHENTICATED for a wrong signature,
/// INVALID_ARGUMENT for a malformed one. `keys` are those valid now.
absl::StatusOr<envelope>
verify(std::string_view header, const std::vector<std::string>& keys);

/// Refuses envelopes that are old or were seen before, so that a recorded
/// request can't be sent again. Thread safe.
class replay_guard
{
public:
    /// Larger than the difference between the clocks of two VMs.
    static constexpr std::uint64_t max_age_ms = 120'000;

    /// ALREADY_EXISTS for a repeat, FAILED_PRECONDITION for one that is too
    /// old or from the future, RESOURCE_EXHAUSTED when the guard is full.
    absl::Status admit(const envelope& it, std::uint64_t now_unix_ms);

private:
    struct seen
    {
        std::uint64_t until_unix_ms;
        std::string id;
    };

    static constexpr std::size_t max_seen = 500'000;

    std::mutex mutex_;
    std::deque<seen> order_;    // Oldest first, at most max_seen.
    std::set<std::string> ids_; // The same identifiers.
};

} // namespace hyssoploft::gateway

#endif
