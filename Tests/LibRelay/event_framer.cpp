// Guards against events that are cut, doubled or lost when a stream breaks and
// goes on elsewhere.

#include <LibRelay/event_framer.hpp>

#include <doctest.h>

#include <string>

using hyssoploft::relay::event_framer;

namespace {

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) +
           "\n\n";
}

} // namespace

TEST_CASE("bytes pass unchanged, whatever the pieces")
{
    const std::string stream = event(1) + event(2) + "data: no id\n\n" +
                               "id: 3\r\ndata: crlf\r\n\r\n" + event(4);
    for (std::size_t size = 1; size <= stream.size(); ++size)
    {
        CAPTURE(size);
        event_framer framer;
        std::string out;
        for (std::size_t n = 0; n < stream.size(); n += size)
        {
            out += framer.feed(stream.substr(n, size)).value();
        }
        CHECK(out == stream);
        CHECK(framer.events() == 5);
        CHECK(framer.last_id() == "4");
        CHECK(framer.at_boundary());
    }
}

TEST_CASE("a cut event is kept back and dropped")
{
    event_framer framer;
    CHECK(framer.feed(event(1) + "id: 2\nda").value() == event(1));
    CHECK_FALSE(framer.at_boundary());
    framer.drop_partial();
    CHECK(framer.last_id() == "1");
    CHECK(framer.feed(event(2)).value() == event(2));
}

TEST_CASE("an upstream that starts too early sends no event twice")
{
    event_framer framer;
    framer.feed(event(1) + event(2)).value();
    CHECK(framer.feed(event(1) + event(2) + event(3)).value() == event(3));
    CHECK(framer.events() == 3);
}

TEST_CASE("an event without an end is refused")
{
    event_framer framer;
    CHECK_FALSE(
        framer.feed(std::string(event_framer::max_event_bytes + 1, 'x')).ok());
}
