// Guards against peers that forge, replay, stall, break off or don't read.

#include <LibWire/transport_bench.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest.h>

using namespace hyssoploft;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using tests::transport_bench;
using wire::drop_reason;
using wire::message_type;

namespace {

const std::string nonce(16, 'n');
constexpr std::size_t hello_bytes = wire::frame_overhead(4) + 16;

std::uint16_t port_of(const std::string& address)
{
    return static_cast<std::uint16_t>(
        std::stoi(address.substr(address.rfind(':') + 1)));
}

/// A peer made of a bare socket, with the fleet key.
class bare_peer
{
public:
    bare_peer(transport_bench& bench, const std::string& to)
        : bench_(bench), to_(to), socket_(bench.io),
          codec_(wire::frame_codec::create(tests::test_keys()).value())
    {
        socket_.connect(
            {boost::asio::ip::make_address("127.0.0.1"), port_of(to)});
    }

    void write(const std::string& bytes)
    {
        boost::asio::write(socket_, boost::asio::buffer(bytes));
    }

    std::string hello() const
    {
        return codec_
            .encode(
                {message_type::hello, "bare", 1, 0, nonce}, "dial|" + to_, 1200)
            .value();
    }

    void shake_hands()
    {
        write(hello());
        std::string answer(hello_bytes, '\0');
        bool done = false;
        boost::asio::async_read(
            socket_, boost::asio::buffer(answer), [&](auto ec, std::size_t) {
                done = !ec;
            });
        REQUIRE(bench_.until([&] {
            return done;
        }));
        const auto decoded = codec_.decode(answer, "accept|" + nonce, 1200);
        REQUIRE(std::holds_alternative<wire::frame>(decoded));
        binding_ =
            "to_accept|" + nonce + std::get<wire::frame>(decoded).payload;
    }

    /// A frame with an empty message in its envelope.
    std::string data(
        std::uint64_t sequence, message_type type = message_type::drain,
        const std::string& sender = "bare") const
    {
        return codec_
            .encode(
                {type, sender, 1, sequence, std::string(3, '\0')}, binding_,
                1200)
            .value();
    }

    void close()
    {
        socket_.close();
    }

private:
    transport_bench& bench_;
    const std::string to_;
    tcp::socket socket_;
    wire::frame_codec codec_;
    std::string binding_;
};

} // namespace

TEST_CASE("forged, replayed and misdirected datagrams are dropped")
{
    transport_bench bench;
    const auto a = bench.open("vm-a");
    const auto& to = a->transport->address();
    const auto codec = wire::frame_codec::create(tests::test_keys()).value();
    udp::socket socket(bench.io, udp::v4());
    const udp::endpoint target(
        boost::asio::ip::make_address("127.0.0.1"), port_of(to));
    const auto send = [&](const std::string& bytes) {
        socket.send_to(boost::asio::buffer(bytes), target);
    };
    const auto frame = [&](const std::string& receiver) {
        return codec
            .encode(
                {message_type::ping, "bare", 1, 1, ""}, "datagram|" + receiver,
                1200)
            .value();
    };
    auto forged = frame(to);
    forged.back() = static_cast<char>(forged.back() ^ 1);
    send(forged);
    send(frame("127.0.0.9:1"));
    send(std::string(5000, 'x'));
    send(frame(to).substr(0, 40));
    send(frame(to));
    send(frame(to));
    REQUIRE(bench.until([&] {
        return a->drops(drop_reason::replayed) == 1;
    }));
    CHECK_EQ(a->received.size(), 1);
    // Forgetting a sender reaches its window.
    a->transport->forget_sender("bare");
    send(frame(to));
    REQUIRE(bench.until([&] {
        return a->received.size() == 2;
    }));
    CHECK_EQ(a->drops(drop_reason::forged), 2);
    CHECK_EQ(a->drops(drop_reason::truncated), 1);
    CHECK_EQ(a->drops(drop_reason::bad_magic), 1);
}

TEST_CASE("faults of a connection close it and are counted")
{
    struct fault
    {
        const char* what;
        std::function<void(bare_peer&)> act;
        drop_reason expected;
        std::size_t received;
    };
    const fault faults[] = {
        {"reset in mid-frame",
         [](auto& p) {
             p.write(p.data(1).substr(0, 30));
             p.close();
         },
         drop_reason::truncated, 0},
        {"stall in mid-frame",
         [](auto& p) {
             p.write(p.data(1).substr(0, 10));
         },
         drop_reason::read_deadline, 0},
        {"replayed frame",
         [](auto& p) {
             p.write(p.data(1) + p.data(1));
         },
         drop_reason::replayed, 1},
        {"skipped frame",
         [](auto& p) {
             p.write(p.data(2));
         },
         drop_reason::replayed, 0},
        {"other sender",
         [](auto& p) {
             p.write(p.data(1, message_type::drain, "else"));
         },
         drop_reason::unexpected_message, 0},
        {"second hello",
         [](auto& p) {
             p.write(p.data(1, message_type::hello));
         },
         drop_reason::unexpected_message, 0},
        {"no frame",
         [](auto& p) {
             p.write(std::string(100, 'x'));
         },
         drop_reason::bad_magic, 0},
    };
    for (const auto& it : faults)
    {
        CAPTURE(it.what);
        transport_bench bench;
        wire::transport_limits limits;
        limits.read_deadline = 50ms;
        const auto a = bench.open("vm-a", limits);
        bare_peer peer(bench, a->transport->address());
        peer.shake_hands();
        it.act(peer);
        REQUIRE(bench.until([&] {
            return a->drops(it.expected) == 1;
        }));
        CHECK_EQ(a->received.size(), it.received);
    }
}

TEST_CASE("a recorded connection can't be replayed")
{
    transport_bench bench;
    const auto a = bench.open("vm-a");
    bare_peer first(bench, a->transport->address());
    first.shake_hands();
    const auto recorded = first.hello() + first.data(1);
    first.write(first.data(1));
    REQUIRE(bench.until([&] {
        return a->received.size() == 1;
    }));
    bare_peer second(bench, a->transport->address());
    second.write(recorded);
    REQUIRE(bench.until([&] {
        return a->drops(drop_reason::forged) == 1;
    }));
    CHECK_EQ(a->received.size(), 1);
}

TEST_CASE("a peer that never says hello is cut off, and gets little memory")
{
    transport_bench bench;
    wire::transport_limits limits;
    limits.handshake = 50ms;
    const auto a = bench.open("vm-a", limits);
    const bare_peer silent(bench, a->transport->address());
    REQUIRE(bench.until([&] {
        return a->drops(drop_reason::read_deadline) == 1;
    }));
    bare_peer large(bench, a->transport->address());
    auto header = large.hello().substr(0, wire::frame_header_bytes);
    header[10] = 1; // 64 KiB of payload.
    large.write(header);
    REQUIRE(bench.until([&] {
        return a->drops(drop_reason::oversize) == 1;
    }));
}

TEST_CASE("the queue of a peer that doesn't read is bounded")
{
    transport_bench bench;
    tcp::acceptor acceptor(
        bench.io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const auto to =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    wire::transport_limits limits;
    limits.queued_frames = 3;
    limits.queued_bytes = 1000;
    limits.handshake = 50ms;
    const auto a = bench.open("vm-a", limits);
    CHECK(a->transport->send(to, message_type::drain, std::string(800, 'x'))
              .ok());
    CHECK(absl::IsResourceExhausted(
        a->transport->send(to, message_type::drain, std::string(800, 'x'))));
    CHECK(a->transport->send(to, message_type::drain, "").ok());
    CHECK(a->transport->send(to, message_type::drain, "").ok());
    std::optional<absl::StatusCode> end;
    a->transport->request(
        to, message_type::drain, "", 10s, [&](const auto& result) {
            end = result.status().code();
        });
    REQUIRE(bench.until([&] {
        return end.has_value();
    }));
    CHECK(*end == absl::StatusCode::kResourceExhausted);
    CHECK_EQ(a->drops(drop_reason::queue_full), 2);
    // The handshake never completes, so the connection ends and the queue
    // with it.
    REQUIRE(bench.until([&] {
        return a->drops(drop_reason::read_deadline) == 1;
    }));
    CHECK(a->transport->send(to, message_type::drain, std::string(800, 'x'))
              .ok());
}

TEST_CASE("a peer that stops reading is cut off")
{
    transport_bench bench;
    wire::transport_limits limits;
    limits.write_deadline = 100ms;
    const auto a = bench.open("vm-a", limits);
    // The bare peer asks for large responses and never reads them.
    bare_peer peer(bench, a->transport->address());
    peer.shake_hands();
    peer.write(peer.data(1));
    REQUIRE(bench.until([&] {
        return a->received.size() == 1;
    }));
    wire::reply_token to{a->received[0].reply.connection, 1};
    // Responses need the connection's number; a frame without a request has
    // none, so it is the first that the transport opened.
    to.connection = 1;
    const std::string large(1000 * 1024, 'x');
    for (int n = 0; n < 4; ++n)
    {
        CHECK(a->transport->respond(to, message_type::drain, large).ok());
    }
    REQUIRE(bench.until([&] {
        return absl::IsNotFound(
            a->transport->respond(to, message_type::drain, ""));
    }));
}

TEST_CASE("handlers may close the transport")
{
    transport_bench bench;
    const auto a = bench.open("vm-a");
    const auto b = bench.open("vm-b");
    bool closed = false;
    a->transport->set_handler([&](const auto&) {
        a->transport->close();
        closed = true;
    });
    std::optional<absl::StatusCode> end;
    b->transport->request(
        a->transport->address(), message_type::config_pull, "", 10s,
        [&](const auto& result) {
            b->transport->close();
            end = result.status().code();
        });
    REQUIRE(bench.until([&] {
        return end.has_value();
    }));
    CHECK(closed);
    CHECK(*end == absl::StatusCode::kUnavailable);
}
