// Dispatches requests by path: upstream API, public pages, chat completions
// and plain services.

#include <LibGateway/gateway.hpp>

#include <LibGateway/inference_run.hpp>
#include <LibGateway/public_pages.hpp>
#include <LibGateway/service_run.hpp>
#include <LibGateway/upstream_api.hpp>
#include <LibHttp/header_policy.hpp>

#include <glog/logging.h>

#include <utility>

namespace hyssoploft::gateway {

namespace {

constexpr std::string_view chat_path = "/v1/chat/completions";

std::string_view target_of(const http::exchange& it)
{
    return {it.message().target().data(), it.message().target().size()};
}

const resource::route* find_inference_route(
    const resource::configuration& declared, const std::string& model)
{
    for (const auto& [name, it] : declared.routes)
    {
        if (it.kind == resource::route_kind::inference && it.model == model)
        {
            return &it;
        }
    }
    return nullptr;
}

// A prefix matches whole path segments: "/book" does not match "/bookings".
bool matches(std::string_view path, std::string_view prefix)
{
    return path.substr(0, prefix.size()) == prefix &&
           (path.size() == prefix.size() || prefix.back() == '/' ||
            path[prefix.size()] == '/' || path[prefix.size()] == '?');
}

// With dot segments a path could leave the prefix that it matched.
bool has_dot_segments(std::string_view target)
{
    const auto path = target.substr(0, target.find('?'));
    return path.find("/.") != std::string_view::npos ||
           path.find("%2e") != std::string_view::npos ||
           path.find("%2E") != std::string_view::npos;
}

const resource::route* find_service_route(
    const resource::configuration& declared, std::string_view target)
{
    const resource::route* best = nullptr;
    if (has_dot_segments(target))
    {
        return best;
    }
    for (const auto& [name, it] : declared.routes)
    {
        const bool usable = it.kind == resource::route_kind::service &&
                            !it.path_prefix.empty() &&
                            matches(target, it.path_prefix);
        if (usable &&
            (!best || it.path_prefix.size() > best->path_prefix.size()))
        {
            best = &it;
        }
    }
    return best;
}

bool is_forwarded(const http::exchange& it)
{
    return !http::header_value(it.message(), envelope_header).empty();
}

std::variant<request_context, refusal> create_context(
    gateway_services& services, const http::exchange& it,
    const resource::route* route)
{
    if (is_forwarded(it))
    {
        return create_forwarded_context(services, it);
    }
    if (!route)
    {
        return make_refusal(
            refusal_reason::unknown_route, "no route matches this path");
    }
    return create_request_context(services, it, *route);
}

http::asio::awaitable<void>
respond_refusal(http::exchange& it, const refusal& refused)
{
    auto answer = to_response(refused);
    // The forwarding VM rejects an answer without the request identifier
    // that it sent.
    if (is_forwarded(it))
    {
        const auto id = http::header_value(it.message(), "x-request-id");
        answer.set("x-request-id", {id.data(), id.size()});
    }
    (void)co_await it.respond(std::move(answer));
}

} // namespace

gateway::gateway(std::unique_ptr<gateway_services> services)
    : services_(std::move(services))
{
    CHECK(services_ != nullptr);
}

http::asio::awaitable<void> gateway::handle(http::exchange& it)
{
    const auto target = target_of(it);
    if (target.substr(0, upstream_api_prefix.size()) == upstream_api_prefix)
    {
        auto answer = co_await answer_upstream(*services_, it);
        (void)co_await it.respond(std::move(answer));
        co_return;
    }
    if (auto page = answer_page(*services_, it, ready_))
    {
        (void)co_await it.respond(*std::move(page));
        co_return;
    }
    if (!http::header_value(it.message(), via_header).empty())
    {
        co_await respond_refusal(
            it, make_refusal(
                    refusal_reason::loop_detected,
                    "a VM of the fleet is announced as an upstream"));
        co_return;
    }
    if (target == chat_path)
    {
        co_await handle_chat(it);
        co_return;
    }
    co_await handle_service(it);
}

http::asio::awaitable<void> gateway::handle_chat(http::exchange& it)
{
    if (it.message().method() != http::bhttp::verb::post)
    {
        co_await respond_refusal(
            it, make_refusal(
                    refusal_reason::unknown_route, "use POST on this path"));
        co_return;
    }
    auto parsed = chat_request::create(it.message().body());
    if (!parsed.ok())
    {
        co_await respond_refusal(
            it, make_refusal(
                    refusal_reason::malformed_request,
                    std::string(parsed.status().message())));
        co_return;
    }
    const auto declared = services_->control->configuration();
    const auto* route = find_inference_route(*declared, parsed->model());
    if (!route && !is_forwarded(it))
    {
        co_await respond_refusal(
            it,
            make_refusal(
                refusal_reason::unknown_model, "no route serves this model"));
        co_return;
    }
    auto context = create_context(*services_, it, route);
    if (const auto* refused = std::get_if<refusal>(&context))
    {
        co_await respond_refusal(it, *refused);
        co_return;
    }
    co_await std::make_shared<inference_run>(
        *services_, it, std::get<request_context>(std::move(context)),
        *std::move(parsed))
        ->run();
}

http::asio::awaitable<void> gateway::handle_service(http::exchange& it)
{
    // strip_credentials() removes the query parameters that carry keys. A key
    // elsewhere in the target can't be removed, so the request is refused:
    // upstreams must not receive caller keys.
    if (http::contains_key(
            http::strip_credentials(target_of(it)),
            http::caller_key(it.message())))
    {
        co_await respond_refusal(
            it, make_refusal(
                    refusal_reason::malformed_request,
                    "the target contains the key"));
        co_return;
    }
    const auto declared = services_->control->configuration();
    auto context = create_context(
        *services_, it, find_service_route(*declared, target_of(it)));
    if (const auto* refused = std::get_if<refusal>(&context))
    {
        co_await respond_refusal(it, *refused);
        co_return;
    }
    co_await std::make_shared<service_run>(
        *services_, it, std::get<request_context>(std::move(context)))
        ->run();
}

void gateway::tick()
{
    services_->dispatch->tick();
    services_->active.cancel_withdrawn(*services_->control);
    services_->calls.cancel_lost(
        *services_->control->fleet(), services_->dispatch->now());
}

void gateway::shut_down()
{
    ready_ = false;
    services_->dispatch->shut_down();
}

} // namespace hyssoploft::gateway
