// Authentication, residency rules and envelope checks of requests before they
// run.

#include <LibGateway/request_context.hpp>

#include <LibCore/keyed_hash.hpp>
#include <LibCore/text.hpp>

#include <absl/strings/str_cat.h>

#include <utility>

namespace hyssoploft::gateway {

namespace {

constexpr std::size_t max_other_vms = 3;
constexpr std::uint64_t ns_per_ms = 1'000'000;

std::set<std::string> regions_of(
    const resource::configuration& declared, const resource::route& route)
{
    const auto found = declared.residencies.find(route.residency);
    return found == declared.residencies.end() ? std::set<std::string>()
                                               : found->second.regions;
}

bool is_allowed(const std::set<std::string>& regions, const std::string& region)
{
    return regions.empty() || regions.count(region) > 0;
}

void start_trace(
    request_context& out, gateway_services& services, const http::exchange& it)
{
    const auto parent = telemetry::parse_traceparent(
        http::header_value(it.message(), "traceparent"));
    out.trace = parent ? telemetry::child_of(*parent, *services.random)
                       : telemetry::new_trace(*services.random);
    out.parent_span = parent ? parent->span_id : 0;
    out.start_unix_ns = services.dispatch->unix_nanoseconds();
}

refusal isolated_refusal()
{
    return make_refusal(
        refusal_reason::vm_isolated,
        "this VM hears from no other VM of its region and can't learn of "
        "withdrawn keys");
}

refusal
residency_refusal(const request_context& context, const std::string& region)
{
    auto out = make_refusal(
        refusal_reason::residency_forbids,
        core::concat(
            "the residency rule of route \"", context.route.name,
            "\" does not allow region \"", region, "\""));
    out.other_vms = vms_in_regions(*context.fleet, context.allowed_regions);
    return out;
}

std::optional<refusal> authenticate_caller(
    gateway_services& services, const http::exchange& it,
    request_context& context)
{
    if (context.route.open)
    {
        context.caller = {"open", ""};
        return std::nullopt;
    }
    auto found = services.keys->authenticate(
        it, *context.configuration, *services.control,
        services.dispatch->now());
    if (auto* refused = std::get_if<refusal>(&found))
    {
        return std::move(*refused);
    }
    // An isolated VM may not have learned that the key was withdrawn.
    if (context.fleet->isolated)
    {
        return isolated_refusal();
    }
    context.caller = std::get<identity>(std::move(found));
    const auto account =
        context.configuration->accounts.find(context.caller.account);
    if (account == context.configuration->accounts.end())
    {
        return make_refusal(
            refusal_reason::unknown_key, "the key's account does not exist");
    }
    context.weight = account->second.weight;
    return std::nullopt;
}

} // namespace

std::variant<request_context, refusal> create_request_context(
    gateway_services& services, const http::exchange& it,
    const resource::route& route)
{
    request_context out;
    out.configuration = services.control->configuration();
    out.fleet = services.control->fleet();
    out.route = route;
    out.request_id = new_identifier(*services.random);
    out.visited = {services.self.id};
    start_trace(out, services, it);
    if (auto refused = authenticate_caller(services, it, out))
    {
        return *std::move(refused);
    }
    out.allowed_regions = regions_of(*out.configuration, route);
    if (!route.residency.empty() && out.allowed_regions.empty())
    {
        return make_refusal(
            refusal_reason::residency_forbids,
            "the route's residency rule does not exist");
    }
    if (!is_allowed(out.allowed_regions, services.self.region))
    {
        return residency_refusal(out, services.self.region);
    }
    out.deadline = services.dispatch->now() + route.deadline;
    return out;
}

std::variant<request_context, refusal>
create_forwarded_context(gateway_services& services, const http::exchange& it)
{
    const auto verified = verify(
        http::header_value(it.message(), envelope_header),
        services.self.fleet_keys);
    if (!verified.ok())
    {
        return make_refusal(
            refusal_reason::envelope_invalid, "the envelope is not valid");
    }
    const std::set<std::string> visited(
        verified->visited.begin(), verified->visited.end());
    if (!routing::may_accept_forwarded_call(
            services.self.id, verified->hops + 1, visited))
    {
        return make_refusal(
            refusal_reason::loop_detected,
            "the request passed this VM before or passed too many VMs");
    }
    const auto body_digest = digest_of_request(it.message());
    const auto fresh = services.replays.admit(
        *verified, services.dispatch->unix_nanoseconds() / ns_per_ms);
    if (body_digest != verified->body_digest || !fresh.ok())
    {
        return make_refusal(
            refusal_reason::envelope_invalid,
            "the envelope belongs to another request or was used before");
    }
    request_context out;
    out.configuration = services.control->configuration();
    out.fleet = services.control->fleet();
    const auto route = out.configuration->routes.find(verified->route);
    if (route == out.configuration->routes.end())
    {
        return make_refusal(
            refusal_reason::unknown_route,
            "the route is not in force at this VM");
    }
    out.route = route->second;
    out.caller = {verified->account, ""};
    out.allowed_regions = {
        verified->allowed_regions.begin(), verified->allowed_regions.end()};
    // The rule at this VM applies as well: it may be newer than that of the
    // sender.
    const auto own_rule = regions_of(*out.configuration, out.route);
    if (!out.route.residency.empty() && own_rule.empty())
    {
        return make_refusal(
            refusal_reason::residency_forbids,
            "the route's residency rule does not exist");
    }
    if (!is_allowed(out.allowed_regions, services.self.region) ||
        !is_allowed(own_rule, services.self.region))
    {
        return residency_refusal(out, services.self.region);
    }
    out.deadline = services.dispatch->now() +
                   std::chrono::milliseconds(verified->remaining_ms);
    out.request_id = verified->request_id;
    out.forwarded = true;
    out.hops = verified->hops + 1;
    out.visited = visited;
    out.visited.insert(services.self.id);
    start_trace(out, services, it);
    return out;
}

bool apply_current_residency_rule(
    const gateway_services& services, const request_context& context,
    std::set<std::string>& regions)
{
    const auto declared = services.control->configuration();
    const auto route = declared->routes.find(context.route.name);
    const auto rule = regions_of(
        *declared,
        route == declared->routes.end() ? context.route : route->second);
    if (regions.empty())
    {
        regions = rule;
    }
    else if (!rule.empty())
    {
        std::erase_if(regions, [&rule](const std::string& it) {
            return !rule.contains(it);
        });
        if (regions.empty())
        {
            return false;
        }
    }
    return is_allowed(regions, services.self.region);
}

void record_request(
    gateway_services& services, const request_context& context,
    const request_summary& summary)
{
    services.metrics
        ->get_counter(
            "hyssoploft_requests_total",
            {{"kind", summary.kind}, {"result", summary.result}})
        .add();
    telemetry::span it;
    it.context = context.trace;
    it.parent_span_id = context.parent_span;
    it.name = (context.forwarded ? "forwarded " : "") + summary.kind;
    it.start_unix_ns = context.start_unix_ns;
    it.end_unix_ns = services.dispatch->unix_nanoseconds();
    it.error = summary.refused;
    it.attributes = {
        {"request.id", context.request_id},
        {"account", context.caller.account},
        {"route", context.route.name},
        {"result", summary.result},
        {"attempts", std::to_string(summary.attempts)},
        {"tokens", std::to_string(summary.tokens)}};
    constexpr double ns_per_second = 1e9;
    services.metrics
        ->get_distribution(
            "hyssoploft_request_seconds", {{"kind", summary.kind}})
        .record(
            static_cast<double>(it.end_unix_ns - it.start_unix_ns) /
            ns_per_second);
    services.spans->finished(std::move(it));
}

std::string digest_of_request(const http::request& it)
{
    const auto method = it.method_string();
    const auto target = it.target();
    return core::to_hex(core::sha256(core::concat(
        std::string_view(method.data(), method.size()), "\n",
        std::string_view(target.data(), target.size()), "\n", it.body())));
}

std::vector<std::string> vms_in_regions(
    const membership::fleet_view& fleet, const std::set<std::string>& regions)
{
    std::vector<std::string> out;
    for (const auto& [id, it] : fleet.vms)
    {
        const bool usable = it.state == membership::vm_state::alive &&
                            !it.overloaded && id != fleet.self &&
                            is_allowed(regions, it.region);
        if (usable && out.size() < max_other_vms)
        {
            out.push_back(it.http_address);
        }
    }
    return out;
}

envelope make_envelope(
    const request_context& context, const std::string& attempt_id,
    const http::request& message, core::time_point now,
    std::uint64_t now_unix_ns)
{
    envelope it;
    it.account = context.caller.account;
    it.route = context.route.name;
    it.allowed_regions = {
        context.allowed_regions.begin(), context.allowed_regions.end()};
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            context.deadline - now);
    it.remaining_ms = static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, remaining.count()));
    it.request_id = attempt_id;
    it.hops = context.hops;
    it.visited = {context.visited.begin(), context.visited.end()};
    it.body_digest = digest_of_request(message);
    it.issued_unix_ms = now_unix_ns / ns_per_ms;
    it.config_version = context.configuration->version;
    return it;
}

std::string new_identifier(core::random_source& random)
{
    // Drawn in this order, so that a seed gives the same identifier with every
    // compiler.
    const auto high = random.next();
    const auto low = random.next();
    return absl::StrCat(
        absl::Hex(high, absl::kZeroPad16), absl::Hex(low, absl::kZeroPad16));
}

} // namespace hyssoploft::gateway
