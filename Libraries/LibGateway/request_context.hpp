#ifndef HYSSOPLOFT_LIBGATEWAY_REQUEST_CONTEXT_HPP
#define HYSSOPLOFT_LIBGATEWAY_REQUEST_CONTEXT_HPP

// Properties of a request that are known before it runs: client account, route,
// regions that the residency rule allows, and deadline.

#include <LibGateway/active_requests.hpp>
#include <LibGateway/authenticator.hpp>
#include <LibGateway/control_view.hpp>
#include <LibGateway/dispatcher.hpp>
#include <LibGateway/envelope.hpp>
#include <LibGateway/refusal.hpp>
#include <LibGateway/running_calls.hpp>
#include <LibLedger/ledger_client.hpp>
#include <LibTelemetry/metrics.hpp>
#include <LibTelemetry/span_exporter.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace hyssoploft::gateway {

/// Identity of this VM and its secrets.
struct vm_identity
{
    std::string id;
    std::string region;
    std::string data_center;
    std::vector<std::string> fleet_keys; ///< The first one signs.
};

/// Services that all requests of a VM share.
struct gateway_services
{
    vm_identity self;
    std::shared_ptr<control_view> control;
    std::shared_ptr<ledger::ledger_client> ledger;
    std::shared_ptr<dispatcher> dispatch;
    std::shared_ptr<core::random_source> random;
    std::shared_ptr<telemetry::span_sink> spans;
    telemetry::metrics* metrics = nullptr; ///< Outlives the gateway.
    std::unique_ptr<authenticator> keys;
    active_requests active;
    running_calls calls;
    replay_guard replays;
    std::string upstream_token; ///< Empty: the upstream API needs no token.
};

struct request_context
{
    std::shared_ptr<const resource::configuration> configuration;
    std::shared_ptr<const membership::fleet_view> fleet;
    resource::route route;
    identity caller; ///< Account "open" on an open route.
    double weight = 1.0;
    std::set<std::string> allowed_regions; ///< Empty: all.
    core::time_point deadline{};
    std::string request_id;
    telemetry::trace_context trace;
    std::uint64_t parent_span = 0;
    std::uint64_t start_unix_ns = 0;
    bool forwarded = false;
    std::uint32_t hops = 1;
    std::set<std::string> visited; ///< VMs, including this one.
};

/// Authenticates a caller's request on `route` and applies its residency rule.
std::variant<request_context, refusal> create_request_context(
    gateway_services& services, const http::exchange& it,
    const resource::route& route);

/// Verifies a request that another VM forwarded. The route is the one that its
/// envelope names.
std::variant<request_context, refusal>
create_forwarded_context(gateway_services& services, const http::exchange& it);

/// Restricts `regions` (empty: all) to those that the current residency rule
/// allows. False if none is left or this VM's region is not among them: the
/// request must not be sent to any upstream.
bool apply_current_residency_rule(
    const gateway_services& services, const request_context& context,
    std::set<std::string>& regions);

/// "IP:port" of at most 3 other live VMs in these regions that are not
/// overloaded.
std::vector<std::string> vms_in_regions(
    const membership::fleet_view& fleet, const std::set<std::string>& regions);

/// Result of a request for its span and its metrics.
struct request_summary
{
    std::string kind;   ///< "inference" or "service".
    std::string result; ///< Name of a refusal, or e.g. "answered".
    bool refused = false;
    std::uint32_t attempts = 0;
    std::uint32_t tokens = 0; ///< Generated.
};

/// Writes the span of a request at this VM and updates its metrics.
void record_request(
    gateway_services& services, const request_context& context,
    const request_summary& summary);

/// SHA-256 of method, target and body in hexadecimal. It binds a signed
/// envelope to one request.
std::string digest_of_request(const http::request& it);

/// Creates the envelope to send with `message`.
envelope make_envelope(
    const request_context& context, const std::string& attempt_id,
    const http::request& message, core::time_point now,
    std::uint64_t now_unix_ns);

/// Creates an identifier of 128 random bits, in hexadecimal.
std::string new_identifier(core::random_source& random);

} // namespace hyssoploft::gateway

#endif
