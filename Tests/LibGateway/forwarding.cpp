// Requests that another VM forwards to this one, and requests that this VM
// forwards.

#include "gateway_fixture.hpp"

#include <LibCore/text.hpp>
#include <LibGateway/envelope.hpp>
#include <LibGateway/request_context.hpp>

#include <doctest.h>

#include <functional>

using namespace hyssoploft;
using namespace hyssoploft::tests;

namespace {

constexpr std::uint64_t ns_per_ms = 1'000'000;

std::string chat_body()
{
    const auto text = chat_text();
    return text.substr(text.find("\r\n\r\n") + 4);
}

gateway::envelope valid_envelope()
{
    gateway::envelope it;
    it.account = "shop";
    it.route = "quotes";
    it.remaining_ms = 10'000;
    it.request_id = "attempt-1";
    it.visited = {"vm-9"};
    http::request message(http::bhttp::verb::post, "/v1/chat/completions", 11);
    message.body() = chat_body();
    it.body_digest = gateway::digest_of_request(message);
    it.issued_unix_ms = core::system_clock().unix_nanoseconds() / ns_per_ms;
    return it;
}

std::string
forwarded_text(const gateway::envelope& it, std::string_view key = fleet_key)
{
    return chat_text(
        false,
        core::concat(
            "x-request-id: ", it.request_id,
            "\r\nx-hyssoploft-envelope: ", gateway::sign(it, key), "\r\n"));
}

struct receive_case
{
    const char* name;
    std::function<void(gateway::envelope&, resource::configuration&)> change;
    unsigned status;
    const char* reason;
};

} // namespace

TEST_CASE(
    "a forwarded request needs a valid envelope and a region allowed here")
{
    using env = gateway::envelope;
    using conf = resource::configuration;
    const receive_case rows[] = {
        {"valid", [](env&, conf&) {}, 200, ""},
        {"too old",
         [](env& it, conf&) {
             it.issued_unix_ms -= 121'000;
         },
         403, "envelope_invalid"},
        {"from the future",
         [](env& it, conf&) {
             it.issued_unix_ms += 121'000;
         },
         403, "envelope_invalid"},
        {"another body",
         [](env& it, conf&) {
             it.body_digest = core::to_hex(core::sha256("other"));
         },
         403, "envelope_invalid"},
        {"another path",
         [](env& it, conf&) {
             http::request message(http::bhttp::verb::post, "/other", 11);
             message.body() = chat_body();
             it.body_digest = gateway::digest_of_request(message);
         },
         403, "envelope_invalid"},
        {"loop",
         [](env& it, conf&) {
             it.visited = {"vm-1"};
         },
         508, "loop_detected"},
        {"hop limit",
         [](env& it, conf&) {
             it.hops = 2;
         },
         508, "loop_detected"},
        {"region not allowed by the sender",
         [](env& it, conf&) {
             it.allowed_regions = {"south"};
         },
         403, "residency_forbids"},
        {"rule changed meanwhile",
         [](env&, conf& to) {
             to.residencies["r"] = {"r", {"south"}};
             to.routes["quotes"].residency = "r";
         },
         403, "residency_forbids"},
        {"rule missing here",
         [](env&, conf& to) {
             to.routes["quotes"].residency = "r";
         },
         403, "residency_forbids"},
        {"route deleted meanwhile",
         [](env&, conf& to) {
             to.routes.erase("quotes");
         },
         404, "unknown_route"},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        gateway_fixture it;
        auto sent = valid_envelope();
        it.control->configure([&](auto& to) {
            row.change(sent, to);
        });
        const auto got = it.call(forwarded_text(sent));
        CHECK_EQ(got.status, row.status);
        CHECK_EQ(got.reason, row.reason);
        CHECK_EQ(got.not_run, row.status == 200 ? "" : "true");
        // Without it the sender rejects the answer as mismatched.
        CHECK_EQ(got.request_id, "attempt-1");
        CHECK(it.wait_idle());
        CHECK_EQ(it.calls(), row.status == 200 ? 1 : 0);
        CHECK_EQ(it.limiter->reserved, 0); // Charged at the entry VM only.
    }
}

TEST_CASE("a VM that was announced as an upstream refuses the call")
{
    gateway_fixture it;
    const auto got = it.call(chat_text(false, "x-hyssoploft-via: vm-2\r\n"));
    CHECK_EQ(got.status, 508);
    CHECK_EQ(got.reason, "loop_detected");
    CHECK_EQ(got.not_run, "true");
    CHECK_EQ(it.calls(), 0);
}

TEST_CASE("a request with a forged or replayed envelope does not run")
{
    gateway_fixture it;
    const auto sent = valid_envelope();
    CHECK_EQ(it.call(forwarded_text(sent, "other key")).status, 403);
    CHECK_EQ(it.calls(), 0);
    CHECK_EQ(it.call(forwarded_text(sent)).status, 200);
    CHECK_EQ(it.call(forwarded_text(sent)).status, 403);
    CHECK_EQ(it.calls(), 1);
}

TEST_CASE("a refusal of another VM is neither an answer nor an upstream fault")
{
    const unsigned statuses[] = {403, 404, 503, 508};
    for (const auto status : statuses)
    {
        CAPTURE(status);
        gateway_fixture it;
        it.control->change_fleet([&](auto& fleet) {
            fleet.upstreams["booking"].region = "south";
            auto& vm = fleet.vms["vm-2"];
            vm.id = "vm-2";
            vm.region = "south";
            vm.http_address = it.upstream.address();
        });
        it.upstream.set_replies(
            {{whole_answer(status, "{}", "x-hyssoploft-not-run: true\r\n")}});
        const auto got = it.call(booking_text());
        CHECK_EQ(got.not_run, "true");
        CHECK(it.wait_idle());
        CHECK_EQ(it.ledger->finished.size(), 0);
        CHECK_EQ(it.ledger->abandoned.size(), 1);
        CHECK(
            it.routing.finished.at(0).result.outcome ==
            routing::call_outcome::rejected_for_load);
        it.state.with([&] {
            const auto& seen = it.upstream.received.at(0);
            CHECK_FALSE(
                http::header_value(seen, gateway::envelope_header).empty());
            CHECK_EQ(seen.count("authorization"), 0);
        });
    }
}

TEST_CASE(
    "a region without a reachable VM does not count as an upstream failure")
{
    gateway_fixture it;
    it.control->change_fleet([](auto& fleet) {
        fleet.upstreams["booking"].region = "south";
    });
    const auto got = it.call(booking_text());
    CHECK_EQ(got.reason, "no_upstream");
    CHECK_EQ(got.not_run, "true");
    CHECK(it.wait_idle());
    CHECK(
        it.routing.finished.at(0).result.outcome ==
        routing::call_outcome::cancelled);
}
