// Sends requests on raw sockets and reads the answers.

#include <Support/test_caller.hpp>

#include <LibCore/text.hpp>
#include <LibHttp/connection_pool.hpp>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace hyssoploft::tests {

namespace asio = http::asio;
namespace bhttp = http::bhttp;

test_caller::test_caller(const std::string& address) : socket_(context_)
{
    socket_.connect(*http::parse_endpoint(address));
}

void test_caller::send(const std::string& text)
{
    http::error_code ec;
    asio::write(socket_, asio::buffer(text), ec);
    parser_ = std::make_unique<bhttp::response_parser<bhttp::string_body>>();
    parser_->body_limit(boost::none);
}

bool test_caller::read_until(const std::string& text)
{
    http::error_code ec;
    while (!ec && !parser_->is_done())
    {
        if (parser_->get().body().find(text) != std::string::npos)
        {
            return true;
        }
        bhttp::read_some(socket_, buffer_, *parser_, ec);
    }
    return parser_->get().body().find(text) != std::string::npos;
}

answer test_caller::read()
{
    http::error_code ec;
    bhttp::read(socket_, buffer_, *parser_, ec);
    const auto& message = parser_->get();
    answer out;
    out.status = parser_->is_header_done() ? message.result_int() : 0;
    out.reason = http::header_value(message, "x-hyssoploft-reason");
    out.not_run = http::header_value(message, "x-hyssoploft-not-run");
    out.request_id = http::header_value(message, "x-request-id");
    out.retry_after = http::header_value(message, "retry-after");
    out.body = message.body();
    out.whole = !ec && parser_->is_done();
    return out;
}

std::string test_caller::read_head()
{
    std::string out;
    http::error_code ec;
    asio::read_until(socket_, asio::dynamic_buffer(out), "\r\n\r\n", ec);
    return out;
}

std::string test_caller::read_bytes()
{
    std::string out;
    http::error_code ec;
    asio::read(socket_, asio::dynamic_buffer(out), ec);
    return out;
}

void test_caller::leave()
{
    http::error_code ec;
    socket_.set_option(asio::socket_base::linger(true, 0), ec);
    socket_.close(ec);
}

std::string request_text(
    std::string_view method, std::string_view target, std::string_view body,
    std::string_view headers)
{
    return core::concat(
        method, " ", target, " HTTP/1.1\r\nHost: vm\r\n", headers,
        "Content-Length: ", body.size(), "\r\n\r\n", body);
}

} // namespace hyssoploft::tests
