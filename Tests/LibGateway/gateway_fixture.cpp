// Sets up the gateway, its fakes and its test callers.

#include "gateway_fixture.hpp"

#include <LibCore/text.hpp>
#include <LibRetry/budgeted_retry_policy.hpp>

#include <doctest.h>

#include <algorithm>

namespace hyssoploft::tests {

std::string digest_of(std::string_view key)
{
    return core::to_hex(core::hmac_sha256(key_secret, key));
}

std::string key_header()
{
    return core::concat("Authorization: Bearer ", good_key, "\r\n");
}

std::string chat_text(bool stream, std::string_view headers)
{
    return request_text(
        "POST", "/v1/chat/completions",
        core::concat(
            R"({"model":"m","max_tokens":16,"stream":)",
            stream ? "true" : "false",
            R"(,"messages":[{"role":"user","content":"hello"}]})"),
        headers);
}

std::string booking_text(std::string_view headers)
{
    return request_text(
        "POST", "/bookings", "slot 4",
        headers.empty() ? key_header() + "Idempotency-Key: order-1\r\n"
                        : std::string(headers));
}

gateway_fixture::gateway_fixture()
    : control(std::make_shared<fake_control>(state)),
      ledger(std::make_shared<fake_ledger>(state)),
      limiter(std::make_shared<fake_limiter>(state)), upstream(state),
      random_(std::make_shared<core::system_random>()),
      thread_(std::make_shared<http::traffic_thread>())
{
    declare();
    upstream.set_replies({{chat_answer()}});
    gate = std::make_shared<gateway::gateway>(make_services());
    auto created = http::http_server::create({address}, {thread_}, gate);
    REQUIRE(created.ok());
    server_ = *created;
    server_->start();
}

gateway_fixture::~gateway_fixture()
{
    CHECK(wait_idle());
    server_->drain();
    thread_->stop();
    CHECK_EQ(routing.chosen.size(), routing.finished.size());
    for (const auto& [id, ends] : admission.running)
    {
        CHECK_EQ(ends, 1);
    }
    CHECK_EQ(limiter->reserved, limiter->settled.size());
}

void gateway_fixture::declare()
{
    control->configure([](resource::configuration& it) {
        it.accounts["shop"] = {"shop", "", 1.0};
        const auto digest = digest_of(good_key);
        it.keys["shop-1"] = {"shop-1", "shop", digest, false};
        it.key_digests[digest] = "shop-1";
        it.rates["shop"] = {"shop", 1000, 10000, 0.5};
        auto& chat = it.routes["quotes"];
        chat.name = "quotes";
        chat.model = "m";
        chat.upstream_role = "engine";
        const auto add = [&](const char* name, const char* prefix) {
            auto& route = it.routes[name];
            route.name = name;
            route.kind = resource::route_kind::service;
            route.path_prefix = prefix;
            route.upstream_role = "booking";
        };
        add("bookings", "/bookings");
        add("catalogue", "/catalogue");
        add("open", "/open");
        it.routes["bookings"].repeat = resource::repeat_rule::not_repeatable;
        it.routes["open"].open = true;
    });
    control->change_fleet([&](membership::fleet_view& it) {
        it.self = "vm-1";
        auto& self = it.vms["vm-1"];
        self.id = "vm-1";
        self.region = "north";
        self.data_center = "n-a";
        self.http_address = address;
    });
    add_upstream("engine", "engine", "north", upstream.address());
    add_upstream("booking", "booking", "north", upstream.address());
}

void gateway_fixture::add_upstream(
    const std::string& id, const std::string& role, const std::string& region,
    const std::string& at)
{
    control->change_fleet([&](membership::fleet_view& it) {
        auto& record = it.upstreams[id];
        record.id = id;
        record.role = role;
        record.region = region;
        record.address = at;
        record.data_center = region + "-a";
        record.models = {"m"};
        record.capacity = 64;
        record.capabilities.resume = true;
    });
}

std::unique_ptr<gateway::gateway_services> gateway_fixture::make_services()
{
    auto out = std::make_unique<gateway::gateway_services>();
    out->self = {"vm-1", "north", "n-a", {std::string(fleet_key)}};
    out->control = control;
    out->ledger = ledger;
    out->random = random_;
    out->spans = std::make_shared<telemetry::null_span_sink>();
    out->metrics = &metrics;
    out->keys =
        std::make_unique<gateway::authenticator>(std::string(key_secret));
    gateway::decision_modules modules;
    modules.router = std::make_unique<recording_router>(state, routing);
    modules.admission = std::make_unique<recording_admission>(state, admission);
    modules.retries = std::make_unique<retry::budgeted_retry_policy>(
        retry::retry_settings(), retry_random_);
    modules.rates = limiter;
    out->dispatch = std::make_shared<gateway::dispatcher>(
        std::move(modules), control, clock, random_, metrics);
    return out;
}

answer gateway_fixture::call(const std::string& text) const
{
    test_caller it(address);
    it.send(text);
    return it.read();
}

std::size_t gateway_fixture::calls()
{
    return state.with([this] {
        return upstream.received.size();
    });
}

bool gateway_fixture::idle() const
{
    const bool ended = std::all_of(
        admission.running.begin(), admission.running.end(), [](const auto& it) {
            return it.second > 0;
        });
    return ended && routing.chosen.size() == routing.finished.size() &&
           limiter->reserved == limiter->settled.size();
}

bool gateway_fixture::wait_idle()
{
    return state.wait([this] {
        return idle();
    });
}

} // namespace hyssoploft::tests
