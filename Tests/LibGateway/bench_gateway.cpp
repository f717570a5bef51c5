// Measures the latency that the gateway adds: alternates calls through the
// gateway and direct calls to the same stand-in.

#include "fakes.hpp"

#include <LibAdmission/fair_admission.hpp>
#include <LibCore/keyed_hash.hpp>
#include <LibGateway/gateway.hpp>
#include <LibHttp/http_client.hpp>
#include <LibHttp/http_server.hpp>
#include <LibHttp/sse_parser.hpp>
#include <LibRetry/budgeted_retry_policy.hpp>
#include <LibRouting/expected_time_router.hpp>
#include <Support/reserved_address.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include <algorithm>
#include <cstdio>
#include <future>

namespace {

using namespace hyssoploft;
using namespace hyssoploft::tests;
namespace asio = http::asio;
using steady = std::chrono::steady_clock;

constexpr int calls = 1000;
constexpr int tokens = 64;
constexpr int connections = 32;
constexpr std::chrono::seconds load_duration{2};

class stand_in final : public http::request_handler
{
public:
    asio::awaitable<void> handle(http::exchange& it) override
    {
        asio::steady_timer timer(it.executor(), std::chrono::milliseconds(1));
        http::error_code ec;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
        const auto id = http::header_value(it.message(), "x-request-id");
        const bool stream =
            it.message().body().find("\"stream\":true") != std::string::npos;
        if (stream)
        {
            http::bhttp::response<http::bhttp::empty_body> head(
                http::bhttp::status::ok, 11);
            head.set("x-request-id", {id.data(), id.size()});
            (void)co_await it.begin_stream(std::move(head));
            const auto event = http::to_sse(
                R"({"choices":[{"index":0,"delta":{"content":"word "}}]})");
            for (int n = 0; n < tokens; ++n)
            {
                (void)co_await it.write(event);
            }
            (void)co_await it.write(http::to_sse("[DONE]"));
            (void)co_await it.end_stream();
            co_return;
        }
        http::response answer(http::bhttp::status::ok, 11);
        answer.set("x-request-id", {id.data(), id.size()});
        answer.body() = R"({"choices":[{"message":{"content":"word"}}],)"
                        R"("usage":{"completion_tokens":1}})";
        (void)co_await it.respond(std::move(answer));
    }
};

asio::awaitable<double>
time_call(http::connection_pool& pool, std::string address, bool stream)
{
    http::request message(http::bhttp::verb::post, "/v1/chat/completions", 11);
    message.set("authorization", "Bearer k");
    message.body() = std::string(R"({"model":"m","max_tokens":64,"stream":)") +
                     (stream ? "true" : "false") +
                     R"(,"messages":[{"role":"user","content":"hello"}]})";
    const auto start = steady::now();
    const auto call = std::make_shared<http::http_call>(pool);
    const auto timeout = std::chrono::seconds(10);
    const auto status = co_await call->start(
        std::move(address), std::move(message), false, timeout);
    if (!status.ok() || call->head().result_int() != 200)
    {
        co_return -1;
    }
    const auto body = co_await call->read_all(1 << 20, timeout);
    const std::chrono::duration<double, std::micro> elapsed =
        steady::now() - start;
    co_return body.ok() ? elapsed.count() : -1;
}

asio::awaitable<int> run_closed_loop(
    http::connection_pool& pool, std::string address, steady::time_point end)
{
    int n = 0;
    while (steady::now() < end)
    {
        n += co_await time_call(pool, address, false) > 0 ? 1 : 0;
    }
    co_return n;
}

struct latencies
{
    std::vector<double> us;

    double quantile(double q)
    {
        std::sort(us.begin(), us.end());
        return us.at(static_cast<std::size_t>(q * (us.size() - 1)));
    }
};

void compare_latencies(
    http::traffic_thread& client, const std::string& direct,
    const std::string& through, bool stream)
{
    latencies plain;
    latencies via_gateway;
    int failed = 0;
    for (int n = 0; n < calls; ++n)
    {
        for (auto* it : {&plain, &via_gateway})
        {
            const double us =
                asio::co_spawn(
                    client.context(),
                    time_call(
                        client.pool(), it == &plain ? direct : through, stream),
                    asio::use_future)
                    .get();
            failed += us < 0 ? 1 : 0;
            it->us.push_back(us);
        }
    }
    std::printf(
        "%s: direct median %.0f us p99 %.0f us, gateway median %.0f us p99 "
        "%.0f us, ratio of medians %.2f, failed %d\n",
        stream ? "streamed" : "whole", plain.quantile(0.5),
        plain.quantile(0.99), via_gateway.quantile(0.5),
        via_gateway.quantile(0.99),
        via_gateway.quantile(0.5) / plain.quantile(0.5), failed);
    if (stream)
    {
        std::printf(
            "added for each of %d tokens: %.2f us\n", tokens,
            (via_gateway.quantile(0.5) - plain.quantile(0.5)) / tokens);
    }
}

double
measure_throughput(http::traffic_thread& client, const std::string& address)
{
    const auto end = steady::now() + load_duration;
    std::vector<std::future<int>> loops;
    for (int n = 0; n < connections; ++n)
    {
        loops.push_back(asio::co_spawn(
            client.context(), run_closed_loop(client.pool(), address, end),
            asio::use_future));
    }
    int total = 0;
    for (auto& it : loops)
    {
        total += it.get();
    }
    return total / std::chrono::duration<double>(load_duration).count();
}

std::shared_ptr<fake_control>
make_control(monitor& state, const std::string& upstream)
{
    auto out = std::make_shared<fake_control>(state);
    out->configure([](auto& it) {
        const auto digest = core::to_hex(core::hmac_sha256("s", "k"));
        it.accounts["shop"] = {"shop", "", 1.0};
        it.keys["k"] = {"k", "shop", digest, false};
        it.key_digests[digest] = "k";
        it.routes["m"].name = it.routes["m"].model = "m";
        it.routes["m"].upstream_role = "engine";
    });
    out->change_fleet([&](auto& it) {
        it.self = it.vms["vm"].id = "vm";
        it.vms["vm"].region = "north";
        auto& engine = it.upstreams["e"];
        engine.id = "e";
        engine.address = upstream;
        engine.role = "engine";
        engine.region = "north";
        engine.models = {"m"};
        engine.capacity = 256;
    });
    return out;
}

} // namespace

int main()
{
    monitor state;
    telemetry::metrics metrics;
    core::seeded_random seeded(1);
    const reserved_address reserved_direct;
    const reserved_address reserved_through;
    const auto direct = reserved_direct.text();
    const auto through = reserved_through.text();
    const auto control = make_control(state, direct);
    auto services = std::make_unique<gateway::gateway_services>();
    services->self = {"vm", "north", "n-a", {"fleet key"}};
    services->control = control;
    services->ledger = std::make_shared<fake_ledger>(state);
    services->random = std::make_shared<core::system_random>();
    services->spans = std::make_shared<telemetry::null_span_sink>();
    services->metrics = &metrics;
    services->keys = std::make_unique<gateway::authenticator>("s");
    gateway::decision_modules modules;
    modules.router = std::make_unique<routing::expected_time_router>(
        routing::expected_time_settings(), seeded);
    modules.admission = std::make_unique<admission::fair_admission>();
    modules.retries = std::make_unique<retry::budgeted_retry_policy>(
        retry::retry_settings(), seeded);
    modules.rates = std::make_shared<fake_limiter>(state);
    services->dispatch = std::make_shared<gateway::dispatcher>(
        std::move(modules), control, std::make_shared<core::system_clock>(),
        services->random, metrics);
    const auto gate = std::make_shared<gateway::gateway>(std::move(services));
    http::traffic_thread client;
    auto back = std::make_shared<http::traffic_thread>();
    auto front = std::make_shared<http::traffic_thread>();
    auto upstream = http::http_server::create(
        {direct}, {back}, std::make_shared<stand_in>());
    auto entry = http::http_server::create({through}, {front}, gate);
    if (!upstream.ok() || !entry.ok())
    {
        std::fprintf(stderr, "can't listen on loopback\n");
        return 1;
    }
    (*upstream)->start();
    (*entry)->start();
    compare_latencies(client, direct, through, false);
    compare_latencies(client, direct, through, true);
    const double plain = measure_throughput(client, direct);
    const double via_gateway = measure_throughput(client, through);
    std::printf(
        "%d connections: direct %.0f requests/s, gateway %.0f requests/s on "
        "one traffic thread\n",
        connections, plain, via_gateway);
    client.stop();
    front->stop();
    back->stop();
    return 0;
}
