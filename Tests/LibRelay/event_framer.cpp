// Guards against events that are truncated, duplicated or lost when a stream
// breaks and resumes at another upstream.

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

TEST_CASE("bytes are unchanged for any chunk size")
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
        CHECK(framer.event_count() == 5);
        CHECK(framer.last_id() == "4");
        CHECK(framer.at_boundary());
    }
}

TEST_CASE("an incomplete event is buffered and can be discarded")
{
    event_framer framer;
    CHECK(framer.feed(event(1) + "id: 2\nda").value() == event(1));
    CHECK_FALSE(framer.at_boundary());
    framer.drop_partial();
    CHECK(framer.last_id() == "1");
    CHECK(framer.feed(event(2)).value() == event(2));
}

TEST_CASE("events repeated by a resumed stream are left out")
{
    event_framer framer;
    framer.feed(event(1) + event(2)).value();
    CHECK(framer.feed(event(1) + event(2) + event(3)).value() == event(3));
    CHECK(framer.event_count() == 3);
}

TEST_CASE("an event above the size limit is rejected")
{
    event_framer framer;
    CHECK_FALSE(
        framer.feed(std::string(event_framer::max_event_bytes + 1, 'x')).ok());
}
