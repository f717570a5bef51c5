// Callers that go away or read slowly, and keys that are withdrawn while a
// request waits or runs.

#include "gateway_fixture.hpp"

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::tests;

TEST_CASE("the upstream call ends when its caller goes away")
{
    struct row
    {
        const char* name;
        std::string reply;
        const char* read; // What the caller waits for before it leaves.
        double used;      // Tokens that are charged.
    };
    // The prompt "user\nhello\n" counts 3 tokens.
    const row rows[] = {
        {"before the head", "", nullptr, 0},
        {"after one token", stream_head() + token_chunk("a "), "\"a \"", 4},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        gateway_fixture it;
        it.upstream.set_replies({{row.reply, after_reply::hold}});
        test_caller caller(it.address);
        caller.send(chat_text(true));
        CHECK(it.state.wait([&] {
            return it.upstream.received.size() == 1;
        }));
        if (row.read)
        {
            CHECK(caller.read_until(row.read));
        }
        caller.leave();
        CHECK(it.state.wait([&] {
            return it.upstream.closed_by_gateway == 1;
        }));
        CHECK(it.wait_idle());
        it.state.with([&] {
            REQUIRE_EQ(it.routing.finished.size(), 1);
            CHECK(
                it.routing.finished[0].result.outcome ==
                routing::call_outcome::cancelled);
            REQUIRE_EQ(it.limiter->settled.size(), 1);
            CHECK_EQ(it.limiter->settled[0], row.used);
        });
    }
}

TEST_CASE("a repeatable call of a service ends with its caller")
{
    gateway_fixture it;
    it.upstream.set_replies({{"", after_reply::hold}});
    test_caller caller(it.address);
    caller.send(request_text("GET", "/catalogue", "", key_header()));
    CHECK(it.state.wait([&] {
        return it.upstream.received.size() == 1;
    }));
    caller.leave();
    CHECK(it.state.wait([&] {
        return it.upstream.closed_by_gateway == 1;
    }));
    CHECK(it.wait_idle());
    CHECK_EQ(it.calls(), 1);
}

TEST_CASE("a caller that leaves the queue costs nothing")
{
    gateway_fixture it;
    it.admission.hold = true;
    test_caller caller(it.address);
    caller.send(chat_text());
    CHECK(it.state.wait([&] {
        return it.admission.submitted == 1;
    }));
    caller.leave();
    CHECK(it.state.wait([&] {
        return it.admission.cancelled == 1;
    }));
    CHECK(it.wait_idle());
    CHECK_EQ(it.calls(), 0);
    CHECK_EQ(it.limiter->settled.at(0), 0);
}

TEST_CASE("a slow reader gets everything and delays nobody else")
{
    gateway_fixture it;
    scripted_upstream large(it.state);
    it.add_upstream("engine", "engine", "north", large.address());
    const std::string text(1 << 14, 'x');
    std::string bytes = stream_head();
    // Far more than the buffers of the sockets hold.
    const int tokens = 1500;
    for (int n = 0; n < tokens; ++n)
    {
        bytes += token_chunk(text);
    }
    large.set_replies({{bytes + stream_end()}});
    test_caller slow(it.address);
    slow.send(chat_text(true));
    CHECK(slow.read_until("xxx"));
    it.upstream.set_replies({{whole_answer(200, "ok")}});
    for (int n = 0; n < 20; ++n)
    {
        const auto other =
            it.call(request_text("GET", "/catalogue", "", key_header()));
        CHECK_EQ(other.status, 200);
    }
    it.state.with([&] {
        // Backpressure: the whole answer is not buffered in the gateway.
        CHECK_EQ(it.routing.finished.size(), 20);
    });
    const auto got = slow.read();
    CHECK(got.whole);
    CHECK_GT(got.body.size(), tokens * text.size());
    CHECK(got.body.find("[DONE]") != std::string::npos);
}

TEST_CASE("a withdrawn key ends its running requests")
{
    for (const bool stream : {true, false})
    {
        CAPTURE(stream);
        gateway_fixture it;
        it.upstream.set_replies(
            {{stream ? stream_head() + token_chunk("a ") : "",
              after_reply::hold}});
        test_caller caller(it.address);
        caller.send(chat_text(stream));
        CHECK(it.state.wait([&] {
            return it.upstream.received.size() == 1;
        }));
        if (stream)
        {
            CHECK(caller.read_until("\"a \""));
        }
        it.state.with([&] {
            it.control->withdrawn.insert(digest_of(good_key));
        });
        it.gate->tick();
        const auto got = caller.read();
        CHECK(got.body.find("withdrawn_key") != std::string::npos);
        CHECK_EQ(got.whole, !stream);
        CHECK_EQ(got.status, stream ? 200 : 401);
        CHECK_EQ(
            got.body.find("\"not_run\":false") != std::string::npos, stream);
        CHECK(it.state.wait([&] {
            return it.upstream.closed_by_gateway == 1;
        }));
    }
}

TEST_CASE("a key that is withdrawn while its request waits does not run it")
{
    for (const auto& text : {chat_text(), booking_text()})
    {
        gateway_fixture it;
        it.admission.hold = true;
        test_caller caller(it.address);
        caller.send(text);
        CHECK(it.state.wait([&] {
            return it.admission.submitted == 1;
        }));
        it.state.with([&] {
            it.control->withdrawn.insert(digest_of(good_key));
            it.admission.hold = false;
        });
        it.gate->tick();
        const auto got = caller.read();
        CHECK_EQ(got.status, 401);
        CHECK_EQ(got.not_run, "true");
        CHECK(it.wait_idle());
        CHECK_EQ(it.calls(), 0);
    }
}
