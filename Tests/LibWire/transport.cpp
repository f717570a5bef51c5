// Guards against messages that get lost, mixed up or answered twice on a
// sound network.

#include <LibWire/transport_bench.hpp>

#include <boost/asio/post.hpp>
#include <doctest.h>

using namespace hyssoploft;
using namespace std::chrono_literals;
using tests::transport_bench;
using wire::message_type;

TEST_CASE("datagrams and frames arrive with their sender")
{
    transport_bench bench;
    const auto a = bench.open("vm-a");
    const auto b = bench.open("vm-b", {}, "127.0.0.1:0", 9);
    const auto& to = a->transport->address();
    CHECK(b->transport->send_datagram(to, message_type::ping, "one").ok());
    REQUIRE(bench.until([&] {
        return a->received.size() == 1;
    }));
    CHECK(a->received[0].datagram);
    CHECK_EQ(a->received[0].sender, "vm-b");
    CHECK_EQ(a->received[0].sender_incarnation, 9);
    CHECK_EQ(a->received[0].payload, "one");

    const std::string large(900 * 1024, 'x');
    CHECK(b->transport->send(to, message_type::state_sync, "two").ok());
    CHECK(b->transport->send(to, message_type::config_snapshot, large).ok());
    REQUIRE(bench.until([&] {
        return a->received.size() == 3;
    }));
    CHECK_FALSE(a->received[1].datagram);
    CHECK_FALSE(a->received[1].expects_response());
    CHECK_EQ(a->received[1].payload, "two");
    CHECK(a->received[2].payload == large);
    CHECK_EQ(b->transport->counters().connects, 1);
}

// Load notices waited behind the messages of all connections.
TEST_CASE("queued datagrams don't wait for a turn of the event loop each")
{
    transport_bench bench;
    const auto a = bench.open("vm-a");
    const auto b = bench.open("vm-b");
    constexpr std::size_t datagrams = 40;
    for (std::size_t n = 0; n < datagrams; ++n)
    {
        CHECK(b->transport
                  ->send_datagram(
                      a->transport->address(), message_type::ping, "x")
                  .ok());
    }
    std::size_t turns = 0; // Since the first datagram.
    std::function<void()> other_work = [&] {
        turns += a->received.empty() ? 0 : 1;
        if (a->received.size() < datagrams)
        {
            boost::asio::post(bench.io, other_work);
        }
    };
    other_work();
    REQUIRE(bench.until([&] {
        return a->received.size() == datagrams;
    }));
    CHECK(turns < datagrams / 4);
}

TEST_CASE("payloads beyond the bounds are refused")
{
    transport_bench bench;
    const auto a = bench.open("vm-a");
    const auto& to = a->transport->address();
    CHECK(absl::IsResourceExhausted(a->transport->send_datagram(
        to, message_type::ping, std::string(1200, 'x'))));
    CHECK(absl::IsResourceExhausted(a->transport->send(
        to, message_type::propose, std::string(1 << 20, 'x'))));
    for (const auto* bad :
         {"", "host:1", "1.2.3.4", "1.2.3.4:", "1.2.3.4:99999", "1.2.3.4:-1",
          "[::1:5"})
    {
        CAPTURE(bad);
        CHECK(absl::IsInvalidArgument(
            a->transport->send_datagram(bad, message_type::ping, "")));
        CHECK(absl::IsInvalidArgument(
            a->transport->send(bad, message_type::propose, "")));
    }
}

TEST_CASE("responses match their requests, also out of order")
{
    transport_bench bench;
    const auto a = bench.open("vm-a");
    const auto b = bench.open("vm-b");
    std::vector<std::string> answers;
    for (const auto* text : {"first", "second"})
    {
        b->transport->request(
            a->transport->address(), message_type::config_pull, text, 10s,
            [&answers, text](auto result) {
                answers.push_back(std::string(text) + ":" + result->payload);
            });
    }
    REQUIRE(bench.until([&] {
        return a->received.size() == 2;
    }));
    for (const int n : {1, 0})
    {
        const auto& it = a->received[static_cast<std::size_t>(n)];
        REQUIRE(it.expects_response());
        CHECK(a->transport
                  ->respond(it.reply, message_type::config_changes, it.payload)
                  .ok());
    }
    REQUIRE(bench.until([&] {
        return answers.size() == 2;
    }));
    CHECK_EQ(answers[0], "second:second");
    CHECK_EQ(answers[1], "first:first");
}

TEST_CASE("a request ends exactly once with its error")
{
    transport_bench bench;
    wire::transport_limits limits;
    limits.pending_requests = 1;
    const auto a = bench.open("vm-a");
    const auto b = bench.open("vm-b", limits);
    const auto& to = a->transport->address();
    std::vector<absl::StatusCode> ends;
    const auto done = [&](const auto& result) {
        ends.push_back(result.status().code());
    };
    b->transport->request(to, message_type::config_pull, "", 50ms, done);
    b->transport->request(to, message_type::config_pull, "", 50ms, done);
    CHECK(ends.empty());
    REQUIRE(bench.until([&] {
        return ends.size() == 2;
    }));
    CHECK(ends[0] == absl::StatusCode::kResourceExhausted);
    CHECK(ends[1] == absl::StatusCode::kDeadlineExceeded);
    // The late response is dropped and counted.
    REQUIRE(bench.until([&] {
        return a->received.size() == 1;
    }));
    CHECK(a->transport
              ->respond(a->received[0].reply, message_type::config_changes, "")
              .ok());
    REQUIRE(bench.until([&] {
        return b->transport->counters().late_responses == 1;
    }));

    b->transport->request(to, message_type::config_pull, "", 10s, done);
    b->transport->close();
    REQUIRE_EQ(ends.size(), 3);
    CHECK(ends[2] == absl::StatusCode::kCancelled);
    CHECK(absl::IsCancelled(b->transport->send(to, message_type::drain, "")));
}

TEST_CASE("an absent peer fails requests, and is reached once it is back")
{
    transport_bench bench;
    const auto b = bench.open("vm-b");
    auto a = bench.open("vm-a");
    const auto address = a->transport->address();
    a.reset();
    std::optional<absl::StatusCode> end;
    b->transport->request(
        address, message_type::config_pull, "", 10s, [&](const auto& result) {
            end = result.status().code();
        });
    REQUIRE(bench.until([&] {
        return end.has_value();
    }));
    CHECK(*end == absl::StatusCode::kUnavailable);
    CHECK_EQ(b->transport->counters().connect_failures, 1);

    a = bench.open("vm-a", {}, address, 2);
    CHECK(b->transport->send(address, message_type::drain, "back").ok());
    REQUIRE(bench.until([&] {
        return a->received.size() == 1;
    }));
    // A restart of the peer is found by the broken connection.
    a.reset();
    a = bench.open("vm-a", {}, address, 3);
    REQUIRE(bench.until([&] {
        (void)b->transport->send(address, message_type::drain, "again");
        return !a->received.empty();
    }));
}

TEST_CASE("keys rotate while connections are open")
{
    transport_bench bench;
    const auto a = bench.open("vm-a");
    const auto b = bench.open("vm-b");
    const auto& to = a->transport->address();
    const wire::fleet_key next{2, "the next key of thirty-two bytes"};
    const auto old = tests::test_keys().current;
    std::size_t n = 0;
    const auto exchange = [&] {
        CHECK(b->transport->send(to, message_type::drain, "").ok());
        CHECK(b->transport->send_datagram(to, message_type::ping, "").ok());
        n += 2;
        return bench.until([&] {
            return a->received.size() == n;
        });
    };
    REQUIRE(exchange());
    CHECK(a->transport->set_keys({old, next}).ok());
    CHECK(b->transport->set_keys({next, old}).ok());
    REQUIRE(exchange());
    CHECK(a->transport->set_keys({next, {}}).ok());
    REQUIRE(exchange());
    CHECK_EQ(b->transport->counters().connects, 1);
}
