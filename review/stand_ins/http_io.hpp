#ifndef HYSSOPLOFT_REVIEW_HTTP_IO_HPP
#define HYSSOPLOFT_REVIEW_HTTP_IO_HPP

// Small HTTP/1.1 reader and writer for the stand-ins of the review: clients,
// the operator and workers. It shares nothing with the project's own code.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace review {

namespace asio = boost::asio;
using asio::ip::tcp;
using task = asio::awaitable<void>;
using clock = std::chrono::steady_clock;

struct message
{
    std::string start; ///< Request line or status line.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    int status() const
    {
        return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
    }

    std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

/// A connection that is closed when its time is over.
class channel
{
public:
    explicit channel(tcp::socket socket)
        : socket_(std::make_shared<tcp::socket>(std::move(socket))),
          timer_(socket_->get_executor())
    {}

    ~channel()
    {
        timer_.cancel();
        boost::system::error_code ec;
        socket_->close(ec);
    }

    /// Closes the connection after this time, unless it is set anew.
    void limit(std::chrono::milliseconds time)
    {
        timer_.expires_after(time);
        timer_.async_wait([held = std::weak_ptr<tcp::socket>(socket_)](
                              const boost::system::error_code& ec) {
            const auto socket = held.lock();
            if (!ec && socket)
            {
                boost::system::error_code ignored;
                socket->close(ignored);
            }
        });
    }

    void close()
    {
        boost::system::error_code ec;
        socket_->close(ec);
    }

    asio::awaitable<void> connect(const tcp::endpoint& to)
    {
        co_await socket_->async_connect(to, asio::use_awaitable);
        socket_->set_option(tcp::no_delay(true));
    }

    asio::awaitable<void> send(const std::string& bytes)
    {
        co_await asio::async_write(
            *socket_, asio::buffer(bytes), asio::use_awaitable);
    }

    /// As receive(), but an answer to HEAD has no body.
    asio::awaitable<message> receive_answer_to(std::string method)
    {
        has_body_ = method != "HEAD";
        auto out = co_await receive();
        has_body_ = true;
        co_return out;
    }

    /// A head and a body of stated length. Throws at the connection's end.
    asio::awaitable<message> receive()
    {
        message out;
        std::size_t end = 0;
        while ((end = read_.find("\r\n\r\n")) == std::string::npos)
        {
            co_await read_more();
        }
        parse_head(read_.substr(0, end), out);
        read_.erase(0, end + 4);
        const auto length = out.header("content-length");
        const std::size_t size =
            length.empty() || !has_body_ ? 0 : std::stoull(length);
        while (read_.size() < size)
        {
            co_await read_more();
        }
        out.body = read_.substr(0, size);
        read_.erase(0, size);
        co_return out;
    }

private:
    asio::awaitable<void> read_more()
    {
        char part[65536];
        const auto n = co_await socket_->async_read_some(
            asio::buffer(part), asio::use_awaitable);
        read_.append(part, n);
    }

    static void parse_head(const std::string& head, message& out)
    {
        std::size_t at = head.find("\r\n");
        out.start = head.substr(0, at);
        while (at != std::string::npos)
        {
            const auto next = head.find("\r\n", at + 2);
            const auto line = head.substr(
                at + 2, next == std::string::npos ? next : next - at - 2);
            const auto colon = line.find(':');
            if (colon != std::string::npos)
            {
                auto name = line.substr(0, colon);
                std::transform(
                    name.begin(), name.end(), name.begin(),
                    [](unsigned char c) {
                        return static_cast<char>(std::tolower(c));
                    });
                const auto from = line.find_first_not_of(' ', colon + 1);
                out.headers[name] = from == std::string::npos
                                        ? std::string()
                                        : line.substr(from);
            }
            at = next;
        }
    }

    std::shared_ptr<tcp::socket> socket_;
    asio::steady_timer timer_;
    std::string read_;
    bool has_body_ = true;
};

inline tcp::endpoint endpoint_of(const std::string& address)
{
    const auto colon = address.rfind(':');
    return {
        asio::ip::make_address(address.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

/// One call on a new connection. Status 0: no answer within the time.
inline asio::awaitable<message>
call(std::string address, std::string request, std::chrono::milliseconds limit)
{
    message out;
    try
    {
        channel it(tcp::socket(co_await asio::this_coro::executor));
        it.limit(limit);
        co_await it.connect(endpoint_of(address));
        co_await it.send(request);
        out = co_await it.receive();
    }
    catch (const std::exception&)
    {
        out = message();
    }
    co_return out;
}

inline std::string request_text(
    const std::string& method, const std::string& path,
    const std::string& headers, const std::string& body)
{
    return method + " " + path + " HTTP/1.1\r\n" + headers +
           (body.empty() && method == "GET"
                ? std::string()
                : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

inline asio::awaitable<void> pause(std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace review

#endif
