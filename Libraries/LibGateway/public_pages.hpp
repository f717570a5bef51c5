#ifndef HYSSOPLOFT_LIBGATEWAY_PUBLIC_PAGES_HPP
#define HYSSOPLOFT_LIBGATEWAY_PUBLIC_PAGES_HPP

// Pages that this VM serves itself: models, the directory of entry VMs, health,
// readiness and metrics.

#include <LibGateway/request_context.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace hyssoploft::gateway {

/// The response to GET of one of the pages; nothing for another request.
/// `ready` is false while this VM starts or shuts down.
std::optional<http::response>
answer_page(gateway_services& services, const http::exchange& it, bool ready);

/// The value of a query parameter, without percent-decoding; empty if there
/// is none.
std::string query_parameter(std::string_view target, std::string_view name);

} // namespace hyssoploft::gateway

#endif
