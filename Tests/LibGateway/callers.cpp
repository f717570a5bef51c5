// Callers that disconnect or read slowly, and keys that are withdrawn while a
// request waits or runs.

#include "gateway_fixture.hpp"

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::tests;

TEST_CASE("the upstream call is cancelled when its caller disconnects")
{
    struct row
    {
        const char* name;
        std::string reply;
        const char* read; // Text to wait for before disconnecting.
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

TEST_CASE("an idempotent service call is cancelled when its caller disconnects")
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

TEST_CASE("a caller that disconnects while waiting is not charged")
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

TEST_CASE("a slow reader gets the complete answer and delays no other caller")
{
    gateway_fixture it;
    scripted_upstream large(it.state);
    it.add_upstream("engine", "engine", "north", large.address());
    const std::string text(1 << 14, 'x');
    std::string bytes = stream_head();
    // Far more than the socket buffers hold.
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
        // Back pressure: the gateway does not buffer the complete answer.
        CHECK_EQ(it.routing.finished.size(), 20);
    });
    const auto got = slow.read();
    CHECK(got.whole);
    CHECK_GT(got.body.size(), tokens * text.size());
    CHECK(got.body.find("[DONE]") != std::string::npos);
}

TEST_CASE("running requests of a withdrawn key are cancelled")
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

TEST_CASE("a request whose key is withdrawn while it waits does not run")
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
