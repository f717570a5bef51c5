// Guards against idle connections to peers that are gone, which would use up
// the descriptors of the process.

#include <LibHttp/http_client.hpp>
#include <LibHttp/traffic_thread.hpp>
#include <Support/skipping_clock.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace hyssoploft;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

using namespace std::chrono_literals;

/// Answers one request on each connection and keeps it open.
class keeping_server
{
public:
    keeping_server()
        : acceptor_(
              thread_.context(),
              tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        asio::co_spawn(thread_.context(), accept(), asio::detached);
    }

    ~keeping_server()
    {
        thread_.stop();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /// Closes the first `n` connections.
    void close(std::size_t n)
    {
        asio::post(thread_.context(), asio::use_future([this, n] {
                       sockets_.erase(
                           sockets_.begin(),
                           sockets_.begin() + static_cast<std::ptrdiff_t>(n));
                   }))
            .get();
    }

private:
    asio::awaitable<void> accept()
    {
        for (;;)
        {
            boost::system::error_code ec;
            auto socket =
                std::make_shared<tcp::socket>(co_await acceptor_.async_accept(
                    asio::redirect_error(asio::use_awaitable, ec)));
            if (ec)
            {
                co_return;
            }
            sockets_.push_back(socket);
            char buf[1024];
            co_await socket->async_read_some(
                asio::buffer(buf),
                asio::redirect_error(asio::use_awaitable, ec));
            const std::string answer =
                "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\n"
                "Content-Length: 0\r\n\r\n";
            co_await asio::async_write(
                *socket, asio::buffer(answer),
                asio::redirect_error(asio::use_awaitable, ec));
        }
    }

    http::traffic_thread thread_;
    tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<tcp::socket>> sockets_; // On the thread.
};

/// Connections that are kept after `n` calls, each over a connection of its
/// own, and what is left of them later.
struct client
{
    ~client()
    {
        thread.stop();
    }

    asio::awaitable<absl::Status> call(std::string to)
    {
        const auto it = std::make_shared<http::http_call>(thread.pool());
        http::request message(http::bhttp::verb::get, "/", 11);
        const auto status =
            co_await it->start(to, std::move(message), true, 5s);
        if (!status.ok())
        {
            co_return status;
        }
        co_return (co_await it->read_all(1024, 5s)).status();
    }

    /// After so much more time.
    std::size_t idle_after(std::chrono::seconds passed)
    {
        clock.skip(passed);
        return asio::post(thread.context(), asio::use_future([this] {
                              thread.pool().close_unusable(clock.now());
                              return thread.pool().idle();
                          }))
            .get();
    }

    tests::skipping_clock clock;
    http::traffic_thread thread;
};

} // namespace

TEST_CASE("idle connections are closed although nobody asks for their address")
{
    keeping_server server;
    client it;
    constexpr std::size_t calls = 8;
    for (std::size_t n = 0; n < calls; ++n)
    {
        CHECK(asio::co_spawn(
                  it.thread.context(), it.call(server.address()),
                  asio::use_future)
                  .get()
                  .ok());
    }
    CHECK(it.idle_after(0s) == calls);
    // Quiet ones stay, up to half a second before their peer closes them.
    CHECK(it.idle_after(5s) == calls);
    server.close(5);
    CHECK(it.idle_after(0s) == calls - 5);
    CHECK(it.idle_after(5s) == 0);
}
