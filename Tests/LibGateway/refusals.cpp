// Causes each reason of the refusal table once over HTTP and checks status,
// reason, not_run and whether an upstream received the request.

#include "gateway_fixture.hpp"

#include <LibCore/text.hpp>
#include <LibGateway/envelope.hpp>

#include <doctest.h>

#include <algorithm>
#include <functional>
#include <set>

using namespace hyssoploft;
using namespace hyssoploft::tests;
using gateway::refusal_reason;

namespace {

using setup_function = std::function<void(gateway_fixture&)>;

struct refusal_case
{
    refusal_reason reason;
    unsigned status;
    const char* not_run;
    std::size_t calls; // Requests that the upstream received.
    std::string text;
    setup_function prepare;
};

setup_function set_replies(std::vector<reply> list)
{
    return [list](gateway_fixture& it) {
        it.upstream.set_replies(list);
    };
}

setup_function set_ledger_outcome(ledger::begin_outcome outcome)
{
    return [outcome](gateway_fixture& it) {
        it.ledger->outcome = outcome;
    };
}

setup_function refuse_route(routing::no_route_reason reason)
{
    return [reason](gateway_fixture& it) {
        it.routing.refuse = reason;
    };
}

setup_function refuse_admission(admission::refusal_reason reason)
{
    return [reason](gateway_fixture& it) {
        it.admission.refuse = reason;
    };
}

setup_function
change_configuration(std::function<void(resource::configuration&)> change)
{
    return [change](gateway_fixture& it) {
        it.control->configure(change);
    };
}

void no_setup(gateway_fixture&) {}

std::string with_key(std::string_view key)
{
    return chat_text(
        false, core::concat("Authorization: Bearer ", key, "\r\n"));
}

std::string with_envelope(const gateway::envelope& it)
{
    return chat_text(
        false,
        core::concat(
            "x-hyssoploft-envelope: ", gateway::sign(it, fleet_key), "\r\n"));
}

// Sends unknown keys until the credit of the address is used up.
void guess_keys(gateway_fixture& it)
{
    for (int n = 0; n < 20; ++n)
    {
        (void)it.call(with_key("sk-guess"));
    }
}

std::vector<refusal_case> make_cases()
{
    using r = refusal_reason;
    using ledger::begin_outcome;
    const auto chat = chat_text();
    const auto order = booking_text();
    gateway::envelope looped;
    looped.visited = {"vm-1"};
    return {
        {r::malformed_request, 400, "true", 0,
         request_text("POST", "/v1/chat/completions", "{", key_header()),
         no_setup},
        {r::missing_key, 401, "true", 0, chat_text(false, ""), no_setup},
        {r::unknown_key, 401, "true", 0, with_key("sk-other"), no_setup},
        {r::withdrawn_key, 401, "true", 0, chat,
         [](gateway_fixture& it) {
             it.control->withdrawn.insert(digest_of(good_key));
         }},
        {r::too_many_bad_keys, 429, "true", 0, chat, guess_keys},
        {r::unknown_model, 404, "true", 0,
         request_text(
             "POST", "/v1/chat/completions",
             R"({"model":"x","messages":[{"role":"user","content":"a"}]})",
             key_header()),
         no_setup},
        {r::unknown_route, 404, "true", 0,
         request_text("GET", "/nowhere", "", key_header()), no_setup},
        {r::vm_isolated, 503, "true", 0, chat,
         [](gateway_fixture& it) {
             it.control->change_fleet([](auto& fleet) {
                 fleet.isolated = true;
             });
         }},
        {r::residency_forbids, 403, "true", 0, chat,
         change_configuration([](auto& it) {
             it.residencies["south"] = {"south", {"south"}};
             it.routes["quotes"].residency = "south";
         })},
        {r::rate_exceeded, 429, "true", 0, chat,
         [](gateway_fixture& it) {
             it.limiter->grant = false;
         }},
        {r::request_exceeds_burst, 413, "true", 0, chat,
         change_configuration([](auto& it) {
             it.rates["shop"].burst_tokens = 5;
         })},
        {r::queue_full, 503, "true", 0, chat,
         refuse_admission(admission::refusal_reason::queue_full)},
        {r::deadline_too_near, 503, "true", 0, chat,
         refuse_admission(admission::refusal_reason::deadline_too_near)},
        {r::shutting_down, 503, "true", 0, chat,
         [](gateway_fixture& it) {
             it.gate->shut_down();
         }},
        {r::no_upstream, 503, "true", 0, chat,
         refuse_route(routing::no_route_reason::no_upstream)},
        {r::upstreams_busy, 503, "true", 0, chat,
         refuse_route(routing::no_route_reason::all_ejected_or_full)},
        {r::link_budget_exhausted, 503, "true", 0, chat,
         refuse_route(routing::no_route_reason::link_budget_exhausted)},
        {r::upstream_failed, 502, "unknown", 1, chat,
         set_replies({{"", after_reply::reset}})},
        {r::upstream_timeout, 504, "unknown", 1, chat,
         [](gateway_fixture& it) {
             it.upstream.set_replies({{"", after_reply::hold}});
             it.control->configure([](auto& to) {
                 to.routes["quotes"].deadline = std::chrono::milliseconds(300);
             });
         }},
        {r::answer_too_large, 502, "false", 1, chat,
         set_replies({{whole_answer(200, std::string(5 << 20, 'x'))}})},
        // Sent as an error event only; streams.cpp checks its contents.
        {r::stream_broken, 200, "", 1, chat_text(true),
         set_replies({{stream_head() + token_chunk("a"), after_reply::close}})},
        {r::idempotency_key_missing, 400, "true", 0, booking_text(key_header()),
         no_setup},
        {r::idempotency_key_reuse, 422, "true", 0, order,
         set_ledger_outcome(begin_outcome::body_mismatch)},
        {r::order_in_progress, 409, "unknown", 0, order,
         [](gateway_fixture& it) {
             it.ledger->outcome = begin_outcome::in_progress;
             it.control->configure([](auto& to) {
                 to.routes["bookings"].deadline =
                     std::chrono::milliseconds(100);
             });
         }},
        {r::result_unknown, 504, "unknown", 0, order,
         set_ledger_outcome(begin_outcome::unknown)},
        {r::answer_not_stored, 409, "false", 0, order,
         set_ledger_outcome(begin_outcome::finished)},
        {r::no_quorum, 503, "true", 0, order,
         [](gateway_fixture& it) {
             it.ledger->begin_status = absl::UnavailableError("no quorum");
         }},
        {r::ledger_full, 503, "true", 0, order,
         set_ledger_outcome(begin_outcome::ledger_full)},
        {r::envelope_invalid, 403, "true", 0,
         chat_text(false, "x-hyssoploft-envelope: forged.00\r\n"), no_setup},
        {r::loop_detected, 508, "true", 0, with_envelope(looped), no_setup},
    };
}

} // namespace

TEST_CASE("each refusal has its status and states correctly whether it ran")
{
    const auto list = make_cases();
    // The relay's own; Tests/LibRelay/crashing_prompts.cpp causes it.
    const std::set<refusal_reason> of_relay{refusal_reason::prompt_quarantined};
    std::set<refusal_reason> covered;
    for (const auto& row : list)
    {
        CHECK(covered.insert(row.reason).second);
    }
    const auto last = static_cast<int>(refusal_reason::loop_detected);
    for (int n = 0; n <= last; ++n)
    {
        CAPTURE(n);
        const auto reason = static_cast<refusal_reason>(n);
        CHECK(covered.contains(reason) != of_relay.contains(reason));
    }
    for (const auto& row : list)
    {
        const std::string name(gateway::rule_of(row.reason).name);
        CAPTURE(name);
        gateway_fixture it;
        row.prepare(it);
        const auto got = it.call(row.text);
        CHECK_EQ(got.status, row.status);
        CHECK_EQ(got.not_run, row.not_run);
        const bool streamed = row.reason == refusal_reason::stream_broken;
        if (!streamed)
        {
            CHECK_EQ(got.reason, name);
            CHECK(got.whole);
        }
        CHECK(
            got.body.find("\"reason\":\"" + name + "\"") != std::string::npos);
        CHECK_EQ(it.calls(), row.calls);
        CHECK_FALSE((it.calls() > 0 && got.not_run == "true"));
    }
}

TEST_CASE("every reason has exactly one row in the table")
{
    const auto last = static_cast<int>(refusal_reason::loop_detected);
    std::set<std::string_view> names;
    for (int n = 0; n <= last; ++n)
    {
        const auto& rule = gateway::rule_of(static_cast<refusal_reason>(n));
        CHECK_EQ(static_cast<int>(rule.reason), n);
        CHECK(names.insert(rule.name).second);
        CHECK_GE(rule.status, 400);
    }
}
