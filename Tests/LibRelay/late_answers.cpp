// Guards against a caller that gets the answer to another call, or a statement
// about another call, because an upstream sent a second copy on a connection
// that was in use again.

#include "relay_fixture.hpp"

#include <LibCore/text.hpp>
#include <LibRelay/relay_ticket.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::tests;
using namespace std::chrono_literals;

namespace {

struct late_copy
{
    std::string name;
    std::string first;  // Answer to the first call.
    std::string second; // Bytes sent when the second call was read.
    unsigned status;    // Of the second call's answer.
    const char* body;
};

std::string not_run(std::string_view id)
{
    return signed_answer(503, "busy", id, "x-not-run: 1\r\n");
}

std::string not_run(unsigned status, std::string_view id)
{
    return signed_answer(status, "busy", id, "x-not-run: 1\r\n");
}

// An answer that names no call.
std::string anonymous(unsigned status, std::string_view headers)
{
    return core::concat(
        "HTTP/1.1 ", status, " X\r\n", headers,
        "Content-Length: 4\r\n\r\nbusy");
}

} // namespace

TEST_CASE("a late copy of an answer never reaches the connection's next caller")
{
    const auto one = signed_answer(200, "one");
    const auto two = signed_answer(200, "two");
    const auto one_again = signed_answer(200, "one", "{earlier_id}");
    const auto stream_again =
        signed_stream_head("{earlier_id}") + numbered_event(1) + last_chunk();
    const late_copy rows[] = {
        {"copy before the answer", one, one_again + two, 200, "two"},
        {"two copies", one, one_again + one_again + two, 200, "two"},
        {"copy of a stream",
         signed_stream_head() + numbered_event(1) + last_chunk(),
         stream_again + two, 200, "two"},
        {"copy of a refusal", not_run("{id}"), not_run("{earlier_id}") + two,
         200, "two"},
        {"copy of an error", signed_answer(500, "one"),
         signed_answer(500, "one", "{earlier_id}") + two, 200, "two"},
        // The call may have run, whatever bytes without an identifier say.
        {"refusal without identifier", one,
         anonymous(503, "x-not-run: 1\r\n") + two, 502, nullptr},
        {"misdirected without identifier", one, anonymous(421, "") + two, 502,
         nullptr},
        {"error without identifier", one, anonymous(500, "") + two, 502,
         nullptr},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        relay_fixture it;
        it.upstream.set_replies({{row.first}, {row.second, after_reply::hold}});
        (void)it.call(relay_request("/order/1", "a"));
        const auto got = it.call(relay_request("/order/2", "b"));
        CHECK_EQ(got.status, row.status);
        if (row.body)
        {
            CHECK_EQ(got.body, row.body);
            CHECK_EQ(got.request_id, "b");
        }
        it.state.with([&] {
            // Else the copy would not have met a call.
            CHECK_EQ(it.upstream.connections, 1);
            CHECK_EQ(it.upstream.received.size(), 2);
        });
    }
}

TEST_CASE("a connection with bytes that no call asked for is not used again")
{
    const auto one = signed_answer(200, "one");
    const reply rows[] = {
        {one + one},                                 // In one piece.
        {one, after_reply::keep, {{20ms, one}}},     // While it is idle.
        {one, after_reply::close, {{20ms, "\r\n"}}}, // Not even an answer.
    };
    for (const auto& first : rows)
    {
        relay_fixture it;
        it.upstream.set_replies({first, {signed_answer(200, "two")}});
        CHECK_EQ(it.call(relay_request("/order/1", "a")).body, "one");
        // Waits until the connection's unasked bytes are sent.
        CHECK(it.state.wait([&] {
            return it.upstream.replies_sent == 1;
        }));
        const auto got = it.call(relay_request("/order/2", "b"));
        CHECK_EQ(got.body, "two");
        it.state.with([&] {
            CHECK_EQ(it.upstream.connections, 2);
        });
    }
}

// Guards against a promise that a request has not run, made of the refusal of
// another one, while the upstream runs the request.
TEST_CASE("a late copy of a refusal never says that another call has not run")
{
    struct copy_case
    {
        const char* name;
        std::string second;
        std::vector<delayed_bytes> later;
        after_reply then;
        unsigned status; // Of the second call's answer.
    };
    const auto two = signed_answer(200, "two");
    const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
    for (const unsigned status : {400U, 408U, 421U, 429U, 503U})
    {
        const auto copy = not_run(status, "{earlier_id}");
        auto closing = copy;
        closing.insert(closing.find("\r\n") + 2, "Connection: close\r\n");
        const copy_case cases[] = {
            {"before the answer", copy + two, {}, after_reply::hold, 200},
            {"twice before the answer",
             copy + copy + two,
             {},
             after_reply::hold,
             200},
            {"before the answer, with interim answers",
             interim + copy + interim + two,
             {},
             after_reply::hold,
             200},
            {"in two pieces before the answer",
             copy.substr(0, 40),
             {{20ms, copy.substr(40)}, {20ms, two}},
             after_reply::hold,
             200},
            {"after the answer", two + copy, {}, after_reply::hold, 200},
            {"instead of the answer", copy, {}, after_reply::hold, 504},
            {"and the end of the connection",
             copy,
             {},
             after_reply::close,
             502},
            {"and a reset", copy, {}, after_reply::reset, 502},
            {"which ends the connection", closing, {}, after_reply::hold, 502},
            {"cut in its head",
             copy.substr(0, 40),
             {},
             after_reply::close,
             502},
            {"cut in its body",
             copy.substr(0, copy.size() - 2),
             {},
             after_reply::close,
             502},
            {"without identifier",
             anonymous(status, "x-not-run: 1\r\n") + two,
             {},
             after_reply::hold,
             502},
            {"more than are skipped",
             copy + copy + copy + two,
             {},
             after_reply::hold,
             502},
        };
        for (const auto& row : cases)
        {
            CAPTURE(status);
            CAPTURE(row.name);
            relay_fixture it;
            const std::string deadline = "x-deadline-ms: 400\r\n";
            it.upstream.set_replies(
                {{not_run(status, "{id}")}, {row.second, row.then, row.later}});
            (void)it.call(relay_request("/order/1", "a"));
            const auto got = it.call(relay_request("/order/2", "b", deadline));
            CHECK_EQ(got.status, row.status);
            if (row.status == 200)
            {
                CHECK_EQ(got.body, "two");
            }
            it.state.with([&] {
                CHECK_EQ(it.upstream.connections, 1);
                CHECK_EQ(it.upstream.received.size(), 2);
            });
        }
    }
}

TEST_CASE("a refusal without an identifier counts on a new connection only")
{
    relay_fixture it;
    const auto refusal = anonymous(503, "x-not-run: 1\r\n");
    it.upstream.set_replies({{refusal}});
    CHECK_EQ(it.call(relay_request("/order/1", "a")).status, 503);
    CHECK_EQ(it.call(relay_request("/order/2", "b")).status, 502);
}

TEST_CASE("half a refusal on an idle connection ends its use")
{
    relay_fixture it;
    const auto one = signed_answer(200, "one");
    const auto copy = not_run("{id}");
    it.upstream.set_replies(
        {{one, after_reply::keep, {{20ms, copy.substr(0, 40)}}},
         {signed_answer(200, "two"), after_reply::keep, {}, copy.substr(40)}});
    CHECK_EQ(it.call(relay_request("/order/1", "a")).body, "one");
    CHECK(it.state.wait([&] {
        return it.upstream.replies_sent == 1;
    }));
    CHECK_EQ(it.call(relay_request("/order/2", "b")).body, "two");
}

// Guards against the same where only the connection tells the two apart: both
// calls have the identifier of one request.
TEST_CASE("two calls with one identifier don't share a connection")
{
    for (const unsigned status : {400U, 408U, 421U, 429U, 503U})
    {
        CAPTURE(status);
        relay_fixture it;
        const auto refusal = not_run(status, "{id}");
        it.upstream.set_replies(
            {{refusal},
             {signed_answer(200, "two"), after_reply::keep, {}, refusal},
             {signed_answer(200, "three"), after_reply::keep, {}, refusal}});
        (void)it.call(relay_request("/order/1", "a"));
        CHECK_EQ(it.call(relay_request("/order/1", "a")).body, "two");
        CHECK_EQ(it.call(relay_request("/order/1", "a")).body, "three");
        it.state.with([&] {
            CHECK_EQ(it.upstream.received.size(), 3);
        });
    }
}

TEST_CASE("a relayed call doesn't share a connection with an earlier attempt")
{
    relay_fixture it;
    auto peers = std::make_shared<relay::peer_handler>(it.services);
    const reserved_address reserved;
    auto thread = std::make_shared<http::traffic_thread>();
    auto created =
        http::http_server::create({reserved.text()}, {thread}, peers);
    REQUIRE(created.ok());
    (*created)->start();
    relay::relay_ticket ticket;
    ticket.request_id = "a";
    ticket.role = "service";
    ticket.time_left = 2s;
    const auto refusal = not_run("{id}");
    it.upstream.set_replies(
        {{refusal},
         {signed_answer(200, "two"), after_reply::keep, {}, refusal}});
    const auto call = [&] {
        test_caller caller(reserved.text());
        caller.send(relay_request(
            "/order/1", "a",
            core::concat(
                relay::ticket_header, ": ", relay::encode(ticket, "fleet key"),
                "\r\n")));
        return caller.read();
    };
    CHECK_EQ(call().status, 503);
    const auto got = call();
    CHECK_EQ(got.status, 200);
    CHECK_EQ(got.body, "two");
    (*created)->drain();
    thread->stop();
}
