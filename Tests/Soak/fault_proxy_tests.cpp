// Guards against faults of the soak that do nothing.

#include <Soak/fault_proxy.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest.h>

#include <array>

using namespace hyssoploft;
using soak::link_fault;

namespace {

namespace asio = http::asio;
using http::tcp;

const std::string whole_answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

// Gives each connection the same bytes for its first request and leaves it
// open.
asio::awaitable<void> serve(tcp::acceptor& acceptor, std::string bytes)
{
    http::error_code ec;
    auto socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, ec));
    std::array<char, 64> buf{};
    co_await socket.async_read_some(
        asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
    co_await asio::async_write(
        socket, asio::buffer(bytes),
        asio::redirect_error(asio::use_awaitable, ec));
    // Until the caller closes.
    co_await socket.async_read_some(
        asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void>
receive(tcp::socket& socket, tcp::endpoint to, std::string& received)
{
    http::error_code ec;
    co_await socket.async_connect(
        to, asio::redirect_error(asio::use_awaitable, ec));
    co_await asio::async_write(
        socket, asio::buffer("request", 7),
        asio::redirect_error(asio::use_awaitable, ec));
    std::array<char, 256> buf{};
    while (!ec)
    {
        const auto n = co_await socket.async_read_some(
            asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
        received.append(buf.data(), n);
    }
}

// What a caller receives of `bytes` within `time`.
std::string received_through(
    link_fault fault, const std::string& bytes, std::chrono::milliseconds time)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    auto proxy =
        soak::fault_proxy::create(io, "127.0.0.1", acceptor.local_endpoint());
    REQUIRE(proxy.ok());
    (*proxy)->start();
    (*proxy)->set(fault);
    tcp::socket socket(io);
    std::string received;
    asio::co_spawn(io, serve(acceptor, bytes), asio::detached);
    asio::co_spawn(
        io, receive(socket, (*proxy)->endpoint(), received), asio::detached);
    io.run_for(time);
    return received;
}

} // namespace

TEST_CASE("without a fault the proxy passes answers on as they are")
{
    CHECK_EQ(
        received_through(
            link_fault::none, whole_answer, std::chrono::milliseconds(300)),
        whole_answer);
}

TEST_CASE("a whole answer comes twice, a stream once")
{
    const std::chrono::milliseconds time(300);
    CHECK_EQ(
        received_through(link_fault::repeat_answers, whole_answer, time),
        whole_answer + whole_answer);
    const std::string stream =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
    CHECK_EQ(
        received_through(link_fault::repeat_answers, stream, time), stream);
}

TEST_CASE("a trickling connection sends a byte now and then")
{
    const auto received = received_through(
        link_fault::trickle_answers, whole_answer,
        std::chrono::milliseconds(1200));
    CHECK_FALSE(received.empty());
    CHECK(received.size() < 6);
    CHECK_EQ(whole_answer.substr(0, received.size()), received);
}
