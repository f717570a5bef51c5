// One HTTP exchange with a time limit.

#include <hyssopctl/beast_transport.hpp>

#include <LibCore/text.hpp>
#include <LibHttp/answer_rules.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <optional>
#include <utility>

namespace hyssoploft::ctl {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// A listing of 3,000 accounts with two keys each is about 3 MB.
constexpr std::uint64_t max_reply_bytes = std::uint64_t{64} * 1024 * 1024;

std::optional<asio::ip::tcp::endpoint> parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto [at, number_error] =
        std::from_chars(text.data() + colon + 1, end, port);
    boost::system::error_code ec;
    const auto ip = asio::ip::make_address(host, ec);
    if (ec || number_error != std::errc() || at != end || port == 0)
    {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(ip, port);
}

/// One connection, run to its end on the calling thread.
class exchange
{
public:
    explicit exchange(core::duration timeout) : stream_(context_)
    {
        stream_.expires_after(timeout);
        parser_.body_limit(max_reply_bytes);
    }

    absl::StatusOr<http_reply>
    run(const asio::ip::tcp::endpoint& to, http::request<http::string_body> out)
    {
        out_ = std::move(out);
        stream_.async_connect(to, [this](beast::error_code ec) {
            if (!failed(ec, "connect"))
            {
                write();
            }
        });
        context_.run();
        if (!failure_.ok())
        {
            return failure_;
        }
        return http_reply{
            parser_.get().result_int(), std::move(parser_.get().body())};
    }

private:
    bool failed(beast::error_code ec, std::string_view step)
    {
        if (ec)
        {
            failure_ =
                absl::UnavailableError(core::concat(step, ": ", ec.message()));
        }
        return ec.failed();
    }

    void write()
    {
        http::async_write(
            stream_, out_, [this](beast::error_code ec, std::size_t /*n*/) {
                if (!failed(ec, "send"))
                {
                    read();
                }
            });
    }

    void read()
    {
        http::async_read(
            stream_, buffer_, parser_,
            [this](beast::error_code ec, std::size_t /*n*/) {
                if (!failed(ec, "receive"))
                {
                    check_head();
                }
            });
    }

    void check_head()
    {
        const auto status =
            hyssoploft::http::check_answer_head(parser_.get().base());
        if (!status.ok())
        {
            failure_ = absl::UnavailableError(
                core::concat("receive: ", core::to_std(status.message())));
        }
    }

    asio::io_context context_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> out_;
    http::response_parser<http::string_body> parser_;
    absl::Status failure_;
};

} // namespace

absl::StatusOr<http_reply>
beast_transport::send(const std::string& address, const http_request& request)
{
    const auto to = parse_address(address);
    if (!to)
    {
        return absl::UnavailableError("not an IP:port address");
    }
    http::request<http::string_body> out;
    out.version(11);
    out.method(request.method == "POST" ? http::verb::post : http::verb::get);
    out.target(request.target);
    out.set(http::field::host, address);
    out.set(http::field::connection, "close");
    if (!request.token.empty())
    {
        out.set(http::field::authorization, "Bearer " + request.token);
    }
    if (!request.body.empty())
    {
        out.set(http::field::content_type, "application/json");
        out.body() = request.body;
    }
    out.prepare_payload();
    return exchange(request.timeout).run(*to, std::move(out));
}

} // namespace hyssoploft::ctl
