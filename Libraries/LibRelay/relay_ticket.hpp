#ifndef HYSSOPLOFT_LIBRELAY_RELAY_TICKET_HPP
#define HYSSOPLOFT_LIBRELAY_RELAY_TICKET_HPP

// Signed header of a call that an entry VM forwards to a VM of another region.
// The receiver sends the call to an upstream of its own region, never to
// another VM.

#include <LibCore/time.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace hyssoploft::relay {

inline constexpr const char* ticket_header = "x-hyssoploft-relay";
/// Set on refusals by the receiver: "true" if the call has not run and never
/// will, "unknown" if it may have run. Absent on an upstream's answer.
inline constexpr const char* not_run_header = "x-hyssoploft-not-run";
/// ID of the upstream that answered, for logs.
inline constexpr const char* upstream_header = "x-hyssoploft-upstream";

struct relay_ticket
{
    std::string request_id;
    std::string role;
    std::string account;
    std::string last_event_id;
    core::duration time_left{};
    core::duration latency_target{};
    std::uint32_t urgency = 0;
    bool is_engine = false;
    bool is_idempotent = false;
    bool ignores_quarantine = false; ///< See request_terms.
};

/// Returns the value of ticket_header.
std::string encode(const relay_ticket& it, std::string_view fleet_key);

/// PERMISSION_DENIED if the signature is wrong, INVALID_ARGUMENT if the text is
/// malformed.
absl::StatusOr<relay_ticket>
decode_ticket(std::string_view text, std::string_view fleet_key);

} // namespace hyssoploft::relay

#endif
