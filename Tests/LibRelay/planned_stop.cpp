// Guards against requests that were accepted and are cut off without an answer
// by a planned stop, because they were not counted as running.

#include "relay_fixture.hpp"

#include <LibRelay/leave_sequence.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::tests;
using namespace std::chrono_literals;
using relay::leave_phase;

TEST_CASE("a VM that leaves ends when nothing is left to answer")
{
    struct step
    {
        std::chrono::milliseconds at; // Since the start of the stop.
        std::size_t open;
        leave_phase expected;
    };
    struct row
    {
        std::string name;
        std::vector<step> steps;
    };
    const row rows[] = {
        {"idle",
         {{0ms, 0, leave_phase::accepting},
          {2900ms, 0, leave_phase::accepting},
          {3000ms, 0, leave_phase::refusing},
          {3100ms, 0, leave_phase::refusing},
          {3250ms, 0, leave_phase::stopped}}},
        {"a request is open",
         {{3000ms, 1, leave_phase::refusing},
          {6000ms, 1, leave_phase::refusing},
          {6200ms, 0, leave_phase::refusing},
          {6250ms, 0, leave_phase::stopped}}},
        {"a request comes at the end of the accepting phase",
         {{2990ms, 0, leave_phase::accepting},
          {3240ms, 1, leave_phase::refusing},
          {3480ms, 0, leave_phase::refusing},
          {3490ms, 0, leave_phase::stopped}}},
        {"refusals keep coming",
         {{3000ms, 0, leave_phase::refusing},
          {3200ms, 2, leave_phase::refusing},
          {3400ms, 1, leave_phase::refusing},
          {3600ms, 0, leave_phase::refusing},
          {3650ms, 0, leave_phase::stopped}}},
        {"the grace time is over",
         {{3000ms, 1, leave_phase::refusing},
          {7600ms, 1, leave_phase::stopped}}},
        {"paused since the start", {{9000ms, 1, leave_phase::stopped}}},
    };
    const core::time_point start{100s};
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        relay::leave_sequence it({3000ms, 250ms, 7600ms});
        CHECK(it.update(3, start - 1s) == leave_phase::serving);
        it.begin(start);
        it.begin(start + 1ms);
        for (const auto& step : row.steps)
        {
            CAPTURE(step.at.count());
            CHECK(it.update(step.open, start + step.at) == step.expected);
        }
    }
}

// Failure: a phase ended at the next step of the control loop, up to 250 ms
// late, and a stream that was accepted in this time was cut at the stop.
TEST_CASE("a VM that leaves ends its phases on time")
{
    const core::time_point start{100s};
    const core::duration step = 250ms;
    relay::leave_sequence it({2900ms, 250ms, 7600ms});
    CHECK_EQ(it.time_to_next_phase(start, step), step);
    it.begin(start);
    CHECK_EQ(it.time_to_next_phase(start, step), step);
    CHECK_EQ(it.time_to_next_phase(start + 2850ms, step), 50ms);
    CHECK_EQ(it.time_to_next_phase(start + 2950ms, step), 0ms);
    CHECK(it.update(1, start + 2900ms) == leave_phase::refusing);
    CHECK_EQ(it.time_to_next_phase(start + 3000ms, step), step);
    CHECK_EQ(it.time_to_next_phase(start + 7500ms, step), 100ms);
    CHECK(it.update(1, start + 7600ms) == leave_phase::stopped);
    CHECK_EQ(it.time_to_next_phase(start + 7600ms, step), step);
}

// Failure: requests that were still open at the end of the grace time were cut
// without an answer.
TEST_CASE("a VM that leaves keeps time to answer what is still open")
{
    struct step
    {
        std::chrono::milliseconds at; // Since the start of the stop.
        std::size_t open;
        leave_phase expected;
    };
    struct row
    {
        std::string name;
        std::vector<step> steps;
    };
    const row rows[] = {
        {"answered",
         {{7599ms, 2, leave_phase::refusing},
          {7600ms, 2, leave_phase::failing},
          {7620ms, 1, leave_phase::failing},
          {7640ms, 0, leave_phase::stopped}}},
        {"a caller that does not read its answer",
         {{7600ms, 1, leave_phase::failing},
          {7849ms, 1, leave_phase::failing},
          {7850ms, 1, leave_phase::stopped}}},
        {"paused before the end", {{9000ms, 1, leave_phase::stopped}}},
        {"the last request ends shortly before",
         {{7500ms, 0, leave_phase::refusing},
          {7600ms, 0, leave_phase::failing},
          {7620ms, 0, leave_phase::stopped}}},
    };
    const core::time_point start{100s};
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        relay::leave_sequence it({2900ms, 250ms, 7600ms, 250ms});
        it.begin(start);
        it.update(1, start + 7400ms);
        for (const auto& step : row.steps)
        {
            CAPTURE(step.at.count());
            CHECK(it.update(step.open, start + step.at) == step.expected);
        }
    }
    relay::leave_sequence it({2900ms, 250ms, 7600ms, 250ms});
    it.begin(start);
    CHECK(it.update(1, start + 7600ms) == leave_phase::failing);
    CHECK(it.time_to_next_phase(start + 7600ms, 250ms) <= 20ms);
}

// Guards against the same: what the callers of open requests get, and that
// none of these is sent to another upstream.
TEST_CASE("every open request is answered before the process ends")
{
    struct row
    {
        std::string name;
        std::string path;
        reply first;
        unsigned status;
    };
    const auto half =
        signed_answer(200, "whole").substr(0, signed_answer(200, "").size());
    const row rows[] = {
        {"an order", "/order/1", {"", after_reply::hold}, 502},
        {"a call that may run twice", "/read/1", {"", after_reply::hold}, 502},
        {"a stream without an event",
         "/stream/1",
         {"", after_reply::hold},
         502},
        {"a stream that may resume",
         "/resume/1",
         {signed_stream_head(), after_reply::hold},
         502},
        {"half an answer", "/order/1", {half, after_reply::hold}, 502},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        relay_fixture it;
        scripted_upstream second(it.state);
        it.add_upstream("second", second.address());
        it.set_busy("second");
        it.upstream.set_replies({row.first});
        second.set_replies({{signed_answer(200, "whole")}});
        test_caller caller(it.address);
        caller.send(relay_request(row.path, "a"));
        CHECK(it.state.wait([&] {
            return it.upstream.replies_sent == 1;
        }));
        it.end_open_runs();
        const auto got = caller.read();
        CHECK_EQ(got.status, row.status);
        CHECK(got.whole);
        it.state.with([&] {
            CHECK_EQ(second.received.size(), 0);
        });
        // One that got past the refusals of new requests has not run.
        const auto late = it.call(relay_request(row.path, "b"));
        CHECK_EQ(late.status, 503);
        it.state.with([&] {
            CHECK_EQ(it.upstream.received.size(), 1);
        });
    }
}

TEST_CASE("a stream that has begun looks cut when the process ends")
{
    relay_fixture it;
    it.upstream.set_replies(
        {{signed_stream_head() + numbered_event(1), after_reply::hold}});
    test_caller caller(it.address);
    caller.send(relay_request("/resume/1", "a"));
    CHECK(caller.read_until("part 1"));
    it.end_open_runs();
    const auto got = caller.read();
    CHECK_EQ(got.status, 200);
    CHECK_FALSE(got.whole);
}

TEST_CASE("requests count as open from their reading to their answer")
{
    relay_fixture it;
    it.set_rate(100);
    const auto lender = std::make_shared<slow_lender>(it.state);
    it.services->lender = lender;
    it.limiter->has_credit = false;
    it.upstream.set_replies({{"", after_reply::hold}});
    // Waits for credit.
    test_caller borrower(it.address);
    borrower.send(relay_request("/order/1", "a", "x-key: k\r\n"));
    CHECK(it.state.wait([&] {
        return lender->waiting() == 1;
    }));
    CHECK_EQ(it.server->requests(), 1);
    lender->lend_all();
    // Waits for its upstream.
    CHECK(it.state.wait([&] {
        return it.upstream.received.size() == 1;
    }));
    CHECK_EQ(it.server->requests(), 1);
    it.clock->skip(4s);
    borrower.leave();
    CHECK(it.state.wait([&] {
        return it.upstream.closed_by_gateway == 1;
    }));
}

TEST_CASE("a request that comes while the VM leaves gets an answer")
{
    relay_fixture it;
    it.upstream.set_replies({{signed_answer(200, "one")}});
    test_caller kept(it.address);
    kept.send(relay_request("/order/1", "a"));
    CHECK_EQ(kept.read().body, "one");
    it.server->close_kept_connections();
    // On the connection that the caller keeps, then on a new one.
    kept.send(relay_request("/order/2", "b"));
    CHECK_EQ(kept.read().body, "one");
    CHECK_EQ(it.call(relay_request("/order/3", "c")).body, "one");
    it.services->is_draining = true;
    const auto refused = it.call(relay_request("/order/4", "d"));
    CHECK_EQ(refused.status, 503);
    CHECK_EQ(
        it.state.with([&] {
            return it.upstream.received.size();
        }),
        3);
}
