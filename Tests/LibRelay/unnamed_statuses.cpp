// Guards against statuses that have no registered name: callers got them as
// "HTTP/1.1 000", and a server error among them counted as a success.

#include "relay_fixture.hpp"

#include <LibCore/text.hpp>
#include <LibRelay/relay_ticket.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::tests;

namespace {

using namespace std::chrono_literals;

constexpr unsigned unnamed[] = {218, 299, 399, 419, 499, 520, 529, 561, 599};

std::string closing_request(std::string_view path, std::string_view headers)
{
    return relay_request(
        path, "a", core::concat("Connection: close\r\n", headers));
}

// As another VM forwards a request.
std::string ticket_line()
{
    relay::relay_ticket ticket;
    ticket.request_id = "a";
    ticket.role = "service";
    ticket.time_left = 2s;
    ticket.latency_target = 400ms;
    return core::concat(
        relay::ticket_header, ": ", relay::encode(ticket, "fleet key"), "\r\n");
}

void check_status(const std::string& bytes, unsigned status)
{
    CAPTURE(bytes);
    CHECK_EQ(bytes.rfind(core::concat("HTTP/1.1 ", status, " "), 0), 0);
    CHECK_EQ(bytes.find("<unknown-status>"), std::string::npos);
    CHECK_NE(bytes.find("x-signature: s"), std::string::npos);
}

} // namespace

TEST_CASE("a status without a registered name reaches the caller")
{
    for (const auto status : unnamed)
    {
        for (const bool is_forwarded : {false, true})
        {
            CAPTURE(status);
            CAPTURE(is_forwarded);
            relay_fixture it;
            it.upstream.set_replies({{signed_answer(status, "body")}});
            test_caller caller(is_forwarded ? it.peer_address : it.address);
            caller.send(closing_request(
                "/order/1", is_forwarded ? ticket_line() : std::string()));
            const auto bytes = caller.read_bytes();
            check_status(bytes, status);
            CHECK_NE(bytes.find("\r\n\r\nbody"), std::string::npos);
        }
    }
}

TEST_CASE("a stream keeps its status without a registered name")
{
    relay_fixture it;
    it.upstream.set_replies(
        {{"HTTP/1.1 299 X\r\nx-request-id: {id}\r\nx-signature: s\r\n"
          "Content-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n" +
          numbered_event(1) + last_chunk()}});
    test_caller caller(it.address);
    caller.send(closing_request("/stream/1", ""));
    const auto bytes = caller.read_bytes();
    check_status(bytes, 299);
    CHECK_NE(bytes.find("part 1"), std::string::npos);
}

TEST_CASE("a server error without a registered name is repeated elsewhere")
{
    relay_fixture it;
    scripted_upstream second(it.state);
    second.set_replies({{signed_answer(200, "second")}});
    it.upstream.set_replies({{signed_answer(529, "overloaded")}});
    it.add_upstream("second", second.address());
    it.set_busy("second");
    const auto got = it.call(relay_request("/read/1", "a"));
    CHECK_EQ(got.status, 200);
    CHECK_EQ(got.body, "second");
}
