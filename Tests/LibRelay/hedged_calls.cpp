// Guards against slow answers that could be had sooner elsewhere, and against
// what a second call may cause: two answers, work that goes on after the answer
// is known, and more calls than the limits permit.

#include "relay_fixture.hpp"

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::tests;
using namespace std::chrono_literals;

namespace {

/// An upstream that answers long after the latency target.
const reply late{"", after_reply::keep, {{1500ms, signed_answer(200, "late")}}};
/// An upstream that never answers, and notices that its caller has gone.
const reply never{"", after_reply::hold};

/// A service with two upstreams, of which "first" is called first. Few answers
/// are known, so that a hedge is sent after half of the target of 400 ms.
struct hedge_fixture : relay_fixture
{
    hedge_fixture() : second(state)
    {
        services->hedge_share = 1;
        add_upstream("second", second.address());
        set_busy("second");
    }

    /// Sends a request that goes to the first upstream. The second one is idle
    /// from then on.
    void send(
        test_caller& caller, const char* path = "/read/1",
        const char* headers = "")
    {
        caller.send(relay_request(path, "a", headers));
        CHECK(state.wait([&] {
            return upstream.received.size() == 1;
        }));
        source->change([](auto& view, auto&) {
            view.loads.clear();
        });
    }

    void
    change_routes(const std::function<void(manifest::traffic_route&)>& change)
    {
        source->change([&](auto& view, auto&) {
            auto next = view.routes->source();
            for (auto& route : next.routes)
            {
                change(route);
            }
            view.routes = std::make_shared<manifest::route_table>(next);
        });
    }

    /// Calls that are not cancelled then go on for longer than a test waits
    /// for their end.
    void set_long_timeout()
    {
        change_routes([](auto& route) {
            route.timeout = 90s;
        });
    }

    std::uint64_t hedges(const char* outcome)
    {
        return metrics
            .get_counter("hyssoploft_hedges_total", {{"outcome", outcome}})
            .value();
    }

    /// Each choice of the router is followed by one end of its call.
    void check_accounts()
    {
        wait_idle();
        CHECK_EQ(services->router->in_flight(), 0);
        CHECK(services->open_runs.empty());
    }

    std::size_t calls_of(const scripted_upstream& it)
    {
        return state.with([&] {
            return it.received.size();
        });
    }

    bool is_cancelled(const scripted_upstream& it)
    {
        return state.wait([&] {
            return it.closed_by_gateway == 1;
        });
    }

    scripted_upstream second;
};

} // namespace

TEST_CASE("one whole answer reaches the caller of a slow request")
{
    struct row
    {
        std::string name;
        reply first;
        reply second;
        unsigned status;
        const char* body;
        const char* outcome;
    };
    const auto ok = signed_answer(200, "fast");
    const auto after = [](std::chrono::milliseconds pause,
                          const std::string& bytes) {
        return reply{"", after_reply::keep, {{pause, bytes}}};
    };
    const row rows[] = {
        {"the second answers", never, {ok}, 200, "fast", "won"},
        {"the first answers after the second was sent",
         after(300ms, signed_answer(200, "first")), late, 200, "first", "lost"},
        {"the second rejects the call",
         after(300ms, ok),
         {signed_answer(503, "busy", "{id}", "x-not-run: 1\r\n")},
         200,
         "fast",
         "failed"},
        {"the second resets the connection",
         after(300ms, ok),
         {"", after_reply::reset},
         200,
         "fast",
         "failed"},
        {"the second answers an error",
         after(300ms, ok),
         {signed_answer(500, "broken")},
         200,
         "fast",
         "failed"},
        {"the first answers an error while the second runs",
         after(250ms, signed_answer(500, "broken")), after(150ms, ok), 200,
         "fast", "won"},
        {"the first is reset while the second runs",
         {"", after_reply::reset, {{250ms, ""}}},
         after(150ms, ok),
         200,
         "fast",
         "won"},
        {"the first rejects the call while the second runs",
         after(250ms, signed_answer(503, "busy", "{id}", "x-not-run: 1\r\n")),
         after(150ms, ok), 200, "fast", "won"},
        {"both answer an error", after(300ms, signed_answer(500, "broken")),
         after(20ms, signed_answer(500, "other")), 500, "broken", "failed"},
        {"both are reset",
         {"", after_reply::reset, {{300ms, ""}}},
         {"", after_reply::reset},
         502,
         nullptr,
         "failed"},
        {"the first answers a client error",
         after(300ms, signed_answer(404, "none")), late, 404, "none", "lost"},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        hedge_fixture it;
        it.upstream.set_replies({row.first});
        it.second.set_replies({row.second});
        test_caller caller(it.address);
        it.send(caller);
        const auto got = caller.read();
        CHECK_EQ(got.status, row.status);
        CHECK(got.whole);
        if (row.body)
        {
            CHECK_EQ(got.body, row.body);
        }
        CHECK_EQ(it.hedges(row.outcome), 1);
        CHECK_EQ(it.calls_of(it.upstream), 1);
        CHECK_EQ(it.calls_of(it.second), 1);
        it.check_accounts();
    }
}

// Failure: the slower upstream went on with work that nobody waits for.
TEST_CASE("the call that lost is cancelled when the winner is known")
{
    for (const bool second_wins : {true, false})
    {
        CAPTURE(second_wins);
        hedge_fixture it;
        it.set_long_timeout();
        const reply fast{
            "", after_reply::keep, {{300ms, signed_answer(200, "fast")}}};
        it.upstream.set_replies({second_wins ? never : fast});
        it.second.set_replies({second_wins ? fast : never});
        test_caller caller(it.address);
        it.send(caller);
        CHECK_EQ(caller.read().body, "fast");
        CHECK(it.is_cancelled(second_wins ? it.upstream : it.second));
        it.check_accounts();
    }
}

// Failure: one of the two calls went on after its caller had left.
TEST_CASE("both calls end when the caller leaves")
{
    hedge_fixture it;
    it.set_long_timeout();
    it.upstream.set_replies({never});
    it.second.set_replies({never});
    test_caller caller(it.address);
    it.send(caller);
    CHECK(it.state.wait([&] {
        return it.second.received.size() == 1;
    }));
    caller.leave();
    CHECK(it.is_cancelled(it.upstream));
    CHECK(it.is_cancelled(it.second));
    it.check_accounts();
    CHECK_EQ(it.hedges("cancelled"), 1);
}

// Failure: a VM that stops waited for the second call.
TEST_CASE("both calls end when the VM stops, and the caller gets an answer")
{
    hedge_fixture it;
    it.set_long_timeout();
    it.upstream.set_replies({never});
    it.second.set_replies({never});
    test_caller caller(it.address);
    it.send(caller);
    CHECK(it.state.wait([&] {
        return it.second.received.size() == 1;
    }));
    it.end_open_runs();
    CHECK_EQ(caller.read().status, 502);
    CHECK(it.is_cancelled(it.upstream));
    CHECK(it.is_cancelled(it.second));
    it.check_accounts();
}

TEST_CASE("both calls end at the deadline of the request")
{
    hedge_fixture it;
    it.upstream.set_replies({never});
    it.second.set_replies({never});
    test_caller caller(it.address);
    it.send(caller, "/read/1", "x-deadline-ms: 900\r\n");
    const auto got = caller.read();
    CHECK_EQ(got.status, 504);
    CHECK(it.is_cancelled(it.upstream));
    CHECK(it.is_cancelled(it.second));
    it.check_accounts();
}

// Failure: a slow upstream got calls twice that must run once, or more calls
// than the operators or the route permit.
TEST_CASE("a slow call stays alone where a second one is not permitted")
{
    struct row
    {
        std::string name;
        const char* path;
        std::function<void(hedge_fixture&)> prepare; // Before the request.
        std::function<void(hedge_fixture&)> change;  // While it waits.
    };
    const row rows[] = {
        {"switched off", "/read/1",
         [](auto& it) {
             it.services->hedge_share = 0;
         },
         nullptr},
        {"an order", "/order/1", nullptr, nullptr},
        {"a stream", "/stream/1", nullptr, nullptr},
        {"a stream that can resume", "/resume/1", nullptr, nullptr},
        {"the share is used up", "/read/1",
         [](auto& it) {
             it.services->hedge_share = 0.1;
         },
         nullptr},
        {"the repeat budget is used up", "/read/1",
         [](auto& it) {
             it.services->repeats = {0, 0, 10s};
         },
         nullptr},
        {"the route permits one run", "/read/1",
         [](auto& it) {
             it.change_routes([](auto& route) {
                 route.max_attempts = 1;
             });
         },
         nullptr},
        {"the other upstream is busy", "/read/1", nullptr,
         [](auto& it) {
             it.set_busy("second");
         }},
        {"the other upstream leaves", "/read/1", nullptr,
         [](auto& it) {
             it.source->change([](auto&, auto& fleet) {
                 fleet.upstreams["second"].state =
                     membership::upstream_state::leaving;
             });
         }},
        {"the other upstream is in another region", "/read/1", nullptr,
         [](auto& it) {
             it.source->change([](auto&, auto& fleet) {
                 fleet.upstreams["second"].region = "south";
             });
         }},
        {"the VM stops", "/read/1", nullptr,
         [](auto& it) {
             it.services->is_draining = true;
         }},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        hedge_fixture it;
        if (row.prepare)
        {
            row.prepare(it);
        }
        // A hedge would be sent after 500 ms. After 800 ms an idempotent call
        // is repeated for its silence.
        it.change_routes([](auto& route) {
            route.latency_target = 1s;
        });
        it.upstream.set_replies(
            {{"", after_reply::keep, {{550ms, signed_answer(200, "x")}}}});
        test_caller caller(it.address);
        it.send(caller, row.path);
        if (row.change)
        {
            row.change(it);
        }
        const auto got = caller.read();
        CHECK_EQ(got.status, 200);
        CHECK_EQ(got.body, "x");
        CHECK_EQ(it.calls_of(it.second), 0);
        CHECK_EQ(
            it.hedges("won") + it.hedges("lost") + it.hedges("failed") +
                it.hedges("cancelled"),
            0);
        it.check_accounts();
    }
}

// Failure: a request was sent under a manifest that does not admit it.
TEST_CASE("a dropped route stops the second call")
{
    hedge_fixture it;
    it.upstream.set_replies({late});
    test_caller caller(it.address);
    it.send(caller);
    it.source->change([](auto& view, auto&) {
        auto next = view.routes->source();
        next.version = 2;
        next.routes.clear();
        view.routes = std::make_shared<manifest::route_table>(next);
    });
    CHECK_EQ(caller.read().body, "late");
    CHECK_EQ(it.calls_of(it.second), 0);
    CHECK_EQ(it.hedges("not_sent"), 1);
    it.check_accounts();
}
