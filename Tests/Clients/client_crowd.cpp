// A crowd of clients that stay inside or go beyond the limits of messages and
// don't behave. Each connection is opened once and sends a bounded number of
// bytes; the program prints "in place" when nothing more is sent, keeps what
// is open, and ends by itself.

#include <LibCore/enum_table.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::string, crowd, "", "name of the crowd");
ABSL_FLAG(std::string, ip, "", "address of the server");
ABSL_FLAG(int, port, 0, "port of the server");
ABSL_FLAG(std::string, path, "/", "path of the requests");

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using task = asio::awaitable<void>;
using namespace std::chrono_literals;
using namespace hyssoploft;

constexpr std::size_t legal_body = 4 << 20;
constexpr std::size_t legal_head = 16 << 10;
/// Sending ends after this time, whatever was sent.
constexpr auto sending_time = 8s;
constexpr auto life_time = 60s;

enum class crowd_kind : std::uint8_t
{
    whole_bodies,
    pieced_bodies,
    chunked_bodies,
    oversize_bodies,
    oversize_chunks,
    many_fields,
    sent_ahead,
    fields_ahead,
    slow_senders,
    slow_readers
};

constexpr core::enum_table<crowd_kind, 10> crowd_names{
    {{crowd_kind::whole_bodies, "whole_bodies"},
     {crowd_kind::pieced_bodies, "pieced_bodies"},
     {crowd_kind::chunked_bodies, "chunked_bodies"},
     {crowd_kind::oversize_bodies, "oversize_bodies"},
     {crowd_kind::oversize_chunks, "oversize_chunks"},
     {crowd_kind::many_fields, "many_fields"},
     {crowd_kind::sent_ahead, "sent_ahead"},
     {crowd_kind::fields_ahead, "fields_ahead"},
     {crowd_kind::slow_senders, "slow_senders"},
     {crowd_kind::slow_readers, "slow_readers"}}};

/// What each connection of a crowd does.
struct crowd_plan
{
    int connections;
    std::size_t declared; ///< Length of the body; 0 with chunks.
    std::size_t sent;     ///< Bytes of the body.
    std::size_t piece;    ///< Bytes of each write, and of each chunk.
    bool chunked;
    bool has_many_fields;
    int requests;       ///< Sent one behind the other.
    bool is_head_slow;  ///< A byte at a time, half of the head.
    bool reads_nothing; ///< With a small window.
};

crowd_plan plan_of(crowd_kind it)
{
    constexpr auto all = legal_body - 1;
    switch (it)
    {
    case crowd_kind::whole_bodies:
        return {40, legal_body, all, all, false, false, 1, false, false};
    case crowd_kind::pieced_bodies:
        return {40, legal_body, all, 1024, false, false, 1, false, false};
    case crowd_kind::chunked_bodies:
        return {40, 0, all, 1024, true, false, 1, false, false};
    case crowd_kind::oversize_bodies:
        return {40, 64 * legal_body, 2 * legal_body, 65536, false, false,
                1,  false,           false};
    case crowd_kind::oversize_chunks:
        return {40, 0, 2 * legal_body, 65536, true, false, 1, false, false};
    case crowd_kind::many_fields:
        return {300, 10, 9, 9, false, true, 1, false, false};
    case crowd_kind::sent_ahead:
        return {300, 2000, 2000, 2000, false, false, 200, false, true};
    case crowd_kind::fields_ahead:
        return {300, 10, 10, 10, false, true, 10, false, true};
    case crowd_kind::slow_senders:
        return {500, 10, 0, 1, false, false, 1, true, true};
    case crowd_kind::slow_readers:
        return {500, 10, 10, 10, false, false, 1, false, true};
    }
    return {};
}

class crowd
{
public:
    crowd(asio::io_context& io, const crowd_plan& plan, tcp::endpoint to)
        : io_(io), plan_(plan), to_(std::move(to)), life_(io), sending_(io)
    {}

    void start()
    {
        sockets_.reserve(static_cast<std::size_t>(plan_.connections));
        for (int n = 0; n < plan_.connections; ++n)
        {
            sockets_.emplace_back(io_);
            asio::co_spawn(io_, run(n), asio::detached);
        }
        sending_.expires_after(sending_time);
        sending_.async_wait([this](const boost::system::error_code&) {
            report();
        });
        life_.expires_after(life_time);
        life_.async_wait([this](const boost::system::error_code&) {
            io_.stop();
        });
    }

private:
    std::string head(int n, int request) const
    {
        std::string out = "POST " + absl::GetFlag(FLAGS_path) +
                          " HTTP/1.1\r\nHost: desk.example\r\n"
                          "Hyssoploft-Request-Id: c-" +
                          std::to_string(n) + "-" + std::to_string(request) +
                          "\r\nHyssoploft-Deadline-Ms: 4000\r\n";
        out +=
            plan_.chunked
                ? "Transfer-Encoding: chunked\r\n"
                : "Content-Length: " + std::to_string(plan_.declared) + "\r\n";
        while (plan_.has_many_fields && out.size() < legal_head - 64)
        {
            out += "a:\r\n";
        }
        return out + "\r\n";
    }

    std::string piece(std::size_t n) const
    {
        if (!plan_.chunked)
        {
            return std::string(n, 'x');
        }
        char size[32];
        (void)std::snprintf(size, sizeof(size), "%zx\r\n", n);
        return size + std::string(n, 'x') + "\r\n";
    }

    task run(int n)
    {
        auto& socket = sockets_[static_cast<std::size_t>(n)];
        boost::system::error_code ec;
        socket.open(tcp::v4());
        if (plan_.reads_nothing)
        {
            socket.set_option(asio::socket_base::receive_buffer_size(4096));
        }
        co_await socket.async_connect(
            to_, asio::redirect_error(asio::use_awaitable, ec));
        for (int it = 0; it < plan_.requests && !ec; ++it)
        {
            ec = co_await send(socket, head(n, it));
        }
        failed_ += ec ? 1 : 0;
        settled();
    }

    asio::awaitable<boost::system::error_code>
    send(tcp::socket& socket, std::string head)
    {
        boost::system::error_code ec;
        const auto done = [&ec] {
            return asio::redirect_error(asio::use_awaitable, ec);
        };
        if (plan_.is_head_slow)
        {
            asio::steady_timer pause(io_);
            // The first half at once, then a few single bytes.
            const auto half = head.size() / 2;
            co_await asio::async_write(
                socket, asio::buffer(head.data(), half), done());
            for (std::size_t it = 0; it < 8 && !ec; ++it)
            {
                pause.expires_after(300ms);
                co_await pause.async_wait(done());
                co_await asio::async_write(
                    socket, asio::buffer(head.data() + half + it, 1), done());
            }
            co_return ec;
        }
        co_await asio::async_write(socket, asio::buffer(head), done());
        for (std::size_t sent = 0; sent < plan_.sent && !ec;)
        {
            const auto bytes = std::min(plan_.piece, plan_.sent - sent);
            const auto buf = piece(bytes);
            co_await asio::async_write(socket, asio::buffer(buf), done());
            sent += bytes;
        }
        co_return ec;
    }

    void settled()
    {
        if (++settled_ == plan_.connections)
        {
            sending_.cancel();
        }
    }

    void report()
    {
        std::cout << "in place: " << settled_ << " of " << plan_.connections
                  << " connections sent all or were closed, " << failed_
                  << " of them closed" << std::endl;
    }

    asio::io_context& io_;
    crowd_plan plan_;
    tcp::endpoint to_;
    asio::steady_timer life_;
    asio::steady_timer sending_;
    std::vector<tcp::socket> sockets_;
    int settled_ = 0;
    int failed_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    const auto kind = core::value_of(crowd_names, absl::GetFlag(FLAGS_crowd));
    boost::system::error_code ec;
    const auto ip = asio::ip::make_address(absl::GetFlag(FLAGS_ip), ec);
    if (!kind || ec)
    {
        std::cerr << "client_crowd: unknown crowd or address\n";
        return 2;
    }
    asio::io_context io(1);
    crowd it(
        io, plan_of(*kind),
        {ip, static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port))});
    it.start();
    io.run();
    return 0;
}
