// Guards against events that are split, joined or cut by the transport.

#include <LibHttp/sse_parser.hpp>

#include <doctest.h>

using namespace hyssoploft;

TEST_CASE("events are the same however the bytes are cut")
{
    const std::string text = ": comment\n\ndata: one\n\nevent: error\r\n"
                             "data: two\r\ndata:three\r\n\r\ndata: [DONE]\n\n";
    for (std::size_t size = 1; size <= text.size(); ++size)
    {
        http::sse_parser parser;
        std::vector<http::sse_event> events;
        for (std::size_t n = 0; n < text.size(); n += size)
        {
            REQUIRE(parser.feed(text.substr(n, size), events).ok());
        }
        REQUIRE_EQ(events.size(), 3);
        CHECK_EQ(events[0].data, "one");
        CHECK_EQ(events[1].type, "error");
        CHECK_EQ(events[1].data, "two\nthree");
        CHECK_EQ(events[2].data, "[DONE]");
        CHECK(parser.at_boundary());
    }
}

TEST_CASE("a cut event is noticed and a huge one is refused")
{
    http::sse_parser parser;
    std::vector<http::sse_event> events;
    REQUIRE(parser.feed("data: cut", events).ok());
    CHECK_FALSE(parser.at_boundary());
    REQUIRE(parser.feed("\n", events).ok());
    CHECK_FALSE(parser.at_boundary());
    const std::string huge(http::sse_parser::max_event_bytes + 1, 'x');
    CHECK(absl::IsResourceExhausted(parser.feed(huge, events)));
}
