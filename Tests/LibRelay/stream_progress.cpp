// Guards against streams that are cut although their upstream is only slow, and
// against stalled ones that are kept because some bytes arrive.

#include "relay_fixture.hpp"

#include <LibCore/text.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::tests;
using namespace std::chrono_literals;

namespace {

/// `piece` again and again, longer than the timeout of the routes.
std::vector<delayed_bytes> trickle(const std::string& piece)
{
    return std::vector<delayed_bytes>(250, {20ms, piece});
}

} // namespace

TEST_CASE(
    "a stream whose upstream sends bytes but no event is resumed elsewhere")
{
    struct row
    {
        std::string name;
        std::string start; // After the head.
        std::string piece;
        std::string rest; // Events that the second upstream has to send.
    };
    const row rows[] = {
        {"before the first event", "", raw_chunk("x"),
         numbered_event(1) + numbered_event(2)},
        {"comments before the first event", "", raw_chunk(": wait\n\n"),
         numbered_event(1) + numbered_event(2)},
        {"inside an event", numbered_event(1) + raw_chunk("id: 2\nda"),
         raw_chunk("x"), numbered_event(2)},
        {"comments", numbered_event(1), raw_chunk(": wait\n\n"),
         numbered_event(2)},
        {"empty lines", numbered_event(1), raw_chunk("\n\n"),
         numbered_event(2)},
        {"chunk extension", numbered_event(1) + "5;", "x", numbered_event(2)},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        relay_fixture it;
        scripted_upstream second(it.state);
        it.add_upstream("second", second.address());
        it.set_busy("second");
        it.upstream.set_replies(
            {{signed_stream_head() + row.start, after_reply::hold,
              trickle(row.piece)}});
        second.set_replies({{signed_stream_head() + row.rest + last_chunk()}});
        const auto got = it.call(relay_request("/resume/1", "a"));
        CHECK(got.whole);
        CHECK_NE(got.body.find("part 1"), std::string::npos);
        CHECK_NE(got.body.find("part 2"), std::string::npos);
        it.state.with([&] {
            CHECK_EQ(second.received.size(), 1);
        });
    }
}

TEST_CASE("a slow stream of a sound upstream arrives whole")
{
    struct row
    {
        std::string name;
        std::string path;
        std::chrono::milliseconds pause; // The target is 100 ms.
        bool second; // Another upstream could take over, but is slow as well.
    };
    const row rows[] = {
        {"may not resume", "/stream/1", 350ms, true},
        {"no other upstream", "/resume/1", 350ms, false},
        {"a little late", "/resume/1", 150ms, true},
        {"all upstreams are slow", "/resume/1", 350ms, true},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        relay_fixture it;
        scripted_upstream second(it.state);
        const reply slow{
            signed_stream_head() + numbered_event(1),
            after_reply::keep,
            {{row.pause, numbered_event(2)},
             {row.pause, numbered_event(3) + last_chunk()}}};
        it.upstream.set_replies({slow});
        second.set_replies({slow});
        if (row.second)
        {
            it.add_upstream("second", second.address());
            it.set_busy("second");
        }
        const auto got = it.call(relay_request(row.path, "a"));
        CHECK_EQ(got.status, 200);
        CHECK(got.whole);
        CHECK_NE(got.body.find("part 3"), std::string::npos);
    }
}

TEST_CASE("a stalled stream that may not resume ends at its deadline")
{
    relay_fixture it;
    it.upstream.set_replies(
        {{signed_stream_head() + numbered_event(1), after_reply::hold,
          trickle(raw_chunk(": wait\n\n"))}});
    const auto got = it.call(relay_request("/stream/1", "a"));
    CHECK_EQ(got.status, 200);
    CHECK_FALSE(got.whole);
    CHECK_NE(got.body.find("part 1"), std::string::npos);
}

TEST_CASE("a whole answer that stalls is asked for again if it may run twice")
{
    relay_fixture it;
    scripted_upstream second(it.state);
    it.add_upstream("second", second.address());
    it.set_busy("second");
    it.upstream.set_replies(
        {{core::concat(
              "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-signature: s\r\n"
              "Content-Length: 1000\r\n\r\n"),
          after_reply::hold, trickle("x")}});
    second.set_replies({{signed_answer(200, "whole")}});
    const auto got = it.call(relay_request("/read/1", "a"));
    CHECK_EQ(got.status, 200);
    CHECK_EQ(got.body, "whole");
}
