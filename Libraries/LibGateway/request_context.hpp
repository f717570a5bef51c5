#ifndef HYSSOPLOFT_LIBGATEWAY_REQUEST_CONTEXT_HPP
#define HYSSOPLOFT_LIBGATEWAY_REQUEST_CONTEXT_HPP

// What is decided of a request before it runs: whose it is, which route it
// takes, where its data may be and until when it has to be answered.

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

/// Everything that requests of one VM share.
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
    std::string upstream_token; ///< Empty: announcements need none.
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
    std::set<std::string> visited; ///< VMs, this one included.
};

/// The context of a caller's request on `route`, or the refusal.
std::variant<request_context, refusal> open_request(
    gateway_services& services, const http::exchange& it,
    const resource::route& route);

/// The context of a request that another VM forwarded, or the refusal. The
/// route is the one that its envelope names.
std::variant<request_context, refusal>
open_forwarded(gateway_services& services, const http::exchange& it);

/// Narrows `regions` (empty: all) by the residency rule that is in force now.
/// False if no region is left, or not this VM's: the request must not be sent
/// anywhere any more.
bool narrow_to_rule_in_force(
    const gateway_services& services, const request_context& context,
    std::set<std::string>& regions);

/// "IP:port" of live VMs in these regions, other than this VM; at most 3.
std::vector<std::string> vms_in_regions(
    const membership::fleet_view& fleet, const std::set<std::string>& regions);

/// How a request ended, for its span and its counter.
struct request_summary
{
    std::string kind;   ///< "inference" or "service".
    std::string result; ///< Name of a refusal, "answered" or the like.
    bool refused = false;
    std::uint32_t attempts = 0;
    std::uint32_t tokens = 0; ///< Generated.
};

/// Writes the span of the request's hop and counts its result.
void record_request(
    gateway_services& services, const request_context& context,
    const request_summary& summary);

/// SHA-256 of method, target and body, in hexadecimal: a signed envelope
/// belongs to exactly one request.
std::string digest_of_request(const http::request& it);

/// The envelope to send with `message`.
envelope make_envelope(
    const request_context& context, const std::string& attempt_id,
    const http::request& message, core::time_point now,
    std::uint64_t now_unix_ns);

/// 128 random bits in hexadecimal.
std::string new_identifier(core::random_source& random);

} // namespace hyssoploft::gateway

#endif
