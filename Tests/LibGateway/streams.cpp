// Guards against lost, repeated or extra tokens when an upstream fails before,
// during or after a streamed answer.

#include "gateway_fixture.hpp"

#include <LibCore/text.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::tests;

namespace {

std::size_t count(const std::string& text, std::string_view part)
{
    std::size_t n = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + part.size()))
    {
        ++n;
    }
    return n;
}

std::string event(std::string_view type, std::string_view data)
{
    return raw_chunk(core::concat("event: ", type, "\ndata: ", data, "\n\n"));
}

// A failing reply of the first upstream; the second one serves the rest.
struct stream_fault
{
    const char* name;
    reply first;
    const char* rest; // Tokens of the second upstream.
};

} // namespace

TEST_CASE(
    "a broken stream continues at another upstream without repeated tokens")
{
    const auto head = stream_head();
    const auto a = token_chunk("a ");
    const stream_fault rows[] = {
        {"reset before the head", {"", after_reply::reset}, "a b "},
        {"reset after the head", {head, after_reply::reset}, "a b "},
        // The partial event must not be joined with the next answer.
        {"reset inside the first event",
         {head + raw_chunk("data: {\"choi"), after_reply::reset},
         "a b "},
        {"error event first",
         {head + event("error", "{\"error\":{}}"), after_reply::close},
         "a b "},
        {"no event stream", {whole_answer(200, "hello")}, "a b "},
        {"overloaded", {whole_answer(503, "")}, "a b "},
        {"server error", {whole_answer(500, "")}, "a b "},
        {"reset after a token", {head + a, after_reply::reset}, "b "},
        {"close after a token", {head + a, after_reply::close}, "b "},
        {"end of the body without end marker", {head + a + "0\r\n\r\n"}, "b "},
        {"reset inside the second event",
         {head + a + raw_chunk("data: {\"choices\":[{\"del"),
          after_reply::reset},
         "b "},
        {"malformed event", {head + a + raw_chunk("data: {\n\n")}, "b "},
        {"error event in mid-stream",
         {head + a + event("error", "{}"), after_reply::hold},
         "b "},
        {"malformed chunk", {head + a + "zz\r\n", after_reply::hold}, "b "},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        gateway_fixture it;
        scripted_upstream second(it.state);
        it.add_upstream("engine-2", "engine", "north", second.address());
        it.upstream.set_replies({row.first});
        std::string bytes = head;
        for (const char c : std::string_view(row.rest))
        {
            if (c != ' ')
            {
                bytes += token_chunk(std::string(1, c) + " ");
            }
        }
        second.set_replies({{bytes + stream_end()}});
        const auto got = it.call(chat_text(true));
        CHECK_EQ(got.status, 200);
        CHECK(got.whole);
        CHECK_EQ(count(got.body, "\"a \""), 1);
        CHECK_EQ(count(got.body, "\"b \""), 1);
        CHECK_EQ(count(got.body, "[DONE]"), 1);
        CHECK(it.wait_idle());
        const bool resumed = row.rest == std::string("b ");
        it.state.with([&] {
            REQUIRE_EQ(second.received.size(), 1);
            const auto& body = second.received.front().body();
            CHECK_EQ(
                body.find("continue_final_message") != std::string::npos,
                resumed);
            REQUIRE_EQ(it.routing.finished.size(), 2);
            CHECK(
                it.routing.finished[0].result.outcome !=
                routing::call_outcome::completed);
            CHECK(
                it.routing.finished[1].result.outcome ==
                routing::call_outcome::completed);
        });
    }
}

TEST_CASE("a stream that can't be resumed never looks complete")
{
    gateway_fixture it;
    scripted_upstream second(it.state);
    it.add_upstream("engine-2", "engine", "north", second.address());
    // No upstream can resume after delivered text.
    it.control->change_fleet([](auto& fleet) {
        fleet.upstreams["engine-2"].capabilities.resume = false;
    });
    it.upstream.set_replies(
        {{stream_head() + token_chunk("a "), after_reply::reset}});
    const auto got = it.call(chat_text(true));
    CHECK_EQ(got.status, 200);
    CHECK_FALSE(got.whole);
    CHECK(got.body.find("event: error") != std::string::npos);
    CHECK(got.body.find("stream_broken") != std::string::npos);
    CHECK(got.body.find("\"not_run\":false") != std::string::npos);
    CHECK_EQ(count(got.body, "[DONE]"), 0);
    CHECK_EQ(
        it.state.with([&] {
            return second.received.size();
        }),
        0);
}

TEST_CASE("an upstream that leaves the body open does not delay the request")
{
    gateway_fixture it;
    it.upstream.set_replies(
        {{stream_head() + token_chunk("a ") + raw_chunk("data: [DONE]\n\n"),
          after_reply::hold}});
    const auto got = it.call(chat_text(true));
    CHECK(got.whole);
    CHECK_EQ(count(got.body, "[DONE]"), 1);
    // The connection is not reused.
    CHECK(it.state.wait([&] {
        return it.upstream.closed_by_gateway == 1;
    }));
}

TEST_CASE("nothing after the end marker reaches the caller")
{
    gateway_fixture it;
    it.upstream.set_replies(
        {{stream_head() + token_chunk("a ") + raw_chunk("data: [DONE]\n\n") +
          token_chunk("late ") + "0\r\n\r\n"}});
    const auto got = it.call(chat_text(true));
    CHECK_EQ(count(got.body, "late"), 0);
}

TEST_CASE("the first token is reported to the router once and before the end")
{
    gateway_fixture it;
    it.upstream.set_replies(
        {{stream_head() + token_chunk("a "), after_reply::hold}});
    test_caller caller(it.address);
    caller.send(chat_text(true));
    CHECK(caller.read_until("\"a \""));
    it.state.with([&] {
        CHECK_EQ(it.routing.first_tokens.size(), 1);
        CHECK(it.routing.finished.empty());
    });
    caller.leave();
    CHECK(it.wait_idle());
    it.state.with([&] {
        CHECK_EQ(it.routing.first_tokens.size(), 1);
        const auto& end = it.routing.finished.at(0).result;
        CHECK(end.outcome == routing::call_outcome::cancelled);
        CHECK_GT(end.first_token.count(), 0);
        CHECK_GE(end.total, end.first_token);
    });
}

TEST_CASE("a failed call has no first token")
{
    const reply rows[] = {
        {"", after_reply::reset},
        {stream_head(), after_reply::reset},
        {whole_answer(500, "")},
    };
    for (const auto& row : rows)
    {
        gateway_fixture it;
        it.upstream.set_replies({row});
        (void)it.call(chat_text(true));
        CHECK(it.wait_idle());
        CHECK_EQ(it.routing.first_tokens.size(), 0);
        CHECK_EQ(it.routing.finished.at(0).result.first_token.count(), 0);
    }
}

// An upstream that sends a byte now and then kept a caller waiting for good.
TEST_CASE("a stalled stream ends at its deadline although bytes arrive")
{
    using namespace std::chrono_literals;
    struct row
    {
        const char* name;
        std::string start; // After the head.
        std::string piece;
        int status;
    };
    const row rows[] = {
        {"before the first event", "", raw_chunk(": wait\n\n"), 504},
        {"after a token", token_chunk("a "), raw_chunk(": wait\n\n"), 200},
        {"inside an event", token_chunk("a ") + raw_chunk("data: {"),
         raw_chunk(" "), 200},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        gateway_fixture it;
        it.control->configure([](auto& to) {
            to.routes["quotes"].deadline = 500ms;
        });
        it.upstream.set_replies(
            {{stream_head() + row.start, after_reply::hold,
              std::vector<delayed_bytes>(250, {20ms, row.piece})}});
        const auto begun = it.clock->now();
        const auto got = it.call(chat_text(true));
        CHECK(it.clock->now() - begun < 2s);
        CHECK_EQ(got.status, row.status);
        CHECK_EQ(got.body.find("[DONE]"), std::string::npos);
    }
}
