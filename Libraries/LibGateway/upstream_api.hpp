#ifndef HYSSOPLOFT_LIBGATEWAY_UPSTREAM_API_HPP
#define HYSSOPLOFT_LIBGATEWAY_UPSTREAM_API_HPP

// HTTP API for upstreams: announcements, load reports, cache events and
// deregistration.

#include <LibGateway/request_context.hpp>

#include <absl/status/statusor.h>

#include <string_view>

namespace hyssoploft::gateway {

inline constexpr std::string_view upstream_api_prefix = "/upstreams/v1/";

/// Answers a POST below upstream_api_prefix.
http::asio::awaitable<http::response>
answer_upstream(gateway_services& services, http::exchange& it);

/// Parses the JSON of an announcement. INVALID_ARGUMENT lists all fields that
/// are missing or invalid.
absl::StatusOr<membership::upstream_record>
parse_announcement(std::string_view body);

} // namespace hyssoploft::gateway

#endif
