// Guards against work that runs twice, or that is reported as not run, because
// its answer was lost.

#include "relay_fixture.hpp"

#include <Support/reserved_address.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::tests;

namespace {

struct lost_answer
{
    std::string name;
    reply first;
    unsigned order_status;   // Of a request that may run once.
    std::size_t order_sends; // Of it, to the second upstream.
    unsigned read_status;    // Of a request that may run twice.
};

} // namespace

TEST_CASE("after a lost answer work neither runs again nor counts as not run")
{
    const auto cut = signed_answer(200, "whole").substr(0, 40);
    const lost_answer rows[] = {
        {"reset before the answer", {"", after_reply::reset}, 502, 0, 200},
        {"close before the answer", {"", after_reply::close}, 502, 0, 200},
        {"reset inside the head", {cut, after_reply::reset}, 502, 0, 200},
        {"reset inside the body",
         {signed_answer(200, "whole" + std::string(100, 'x')).substr(0, 90),
          after_reply::reset},
         502,
         0,
         200},
        {"bytes that are no answer",
         {"garbage\r\n\r\n", after_reply::close},
         502,
         0,
         200},
        {"answer without signature", {whole_answer(200, "whole")}, 502, 0, 200},
        {"its own error", {signed_answer(500, "failed")}, 500, 0, 200},
        // A status that promises "not run" needs the upstream's statement.
        {"busy without statement", {whole_answer(503, "busy")}, 502, 0, 200},
        {"busy, signed, without statement",
         {signed_answer(503, "busy")},
         502,
         0,
         200},
        {"too many, without statement",
         {whole_answer(429, "busy")},
         502,
         0,
         200},
        {"timeout without statement", {whole_answer(408, "busy")}, 502, 0, 200},
        // It certainly did not run.
        {"busy with statement",
         {signed_answer(503, "busy", "{id}", "x-not-run: 1\r\n")},
         200,
         1,
         200},
        {"another upstream at its address",
         {signed_answer(421, "")},
         200,
         1,
         200},
    };
    for (const auto& row : rows)
    {
        for (const bool order : {true, false})
        {
            CAPTURE(row.name);
            CAPTURE(order);
            relay_fixture it;
            scripted_upstream second(it.state);
            it.add_upstream("second", second.address());
            it.set_busy("second");
            it.upstream.set_replies({row.first});
            second.set_replies({{signed_answer(200, "whole")}});
            const auto got =
                it.call(relay_request(order ? "/order/1" : "/read/1", "a"));
            CHECK_EQ(got.status, order ? row.order_status : row.read_status);
            it.state.with([&] {
                CHECK_EQ(it.upstream.received.size(), 1);
                CHECK_EQ(second.received.size(), order ? row.order_sends : 1);
            });
        }
    }
}

// Guards against callers that come back at once, in vain.
TEST_CASE("a request that no region may serve is told when to come back")
{
    relay_fixture it;
    it.set_rate(100);
    it.source->change([](auto& view, auto&) {
        auto next = view.routes->source();
        next.accounts->front().homes = {"south"};
        for (auto& route : next.routes)
        {
            route.homes = {"north"};
        }
        view.routes = std::make_shared<manifest::route_table>(next);
    });
    const auto got = it.call(relay_request("/order/1", "a", "x-key: k\r\n"));
    CHECK_EQ(got.status, 503);
    CHECK_EQ(got.retry_after, "10");
}

TEST_CASE("an upstream that can't be reached has not run the call")
{
    relay_fixture it;
    scripted_upstream second(it.state);
    const reserved_address closed;
    it.source->change([&](auto&, auto& fleet) {
        fleet.upstreams["first"].address = closed.text();
    });
    it.add_upstream("second", second.address());
    it.set_busy("second");
    second.set_replies({{signed_answer(200, "whole")}});
    const auto got = it.call(relay_request("/order/1", "a"));
    CHECK_EQ(got.status, 200);
    CHECK_EQ(it.limiter->refunded, 0);
}
