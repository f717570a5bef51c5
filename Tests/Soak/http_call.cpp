// Sends one request and reads its answer.

#include <Soak/http_call.hpp>

#include <platform/names.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace hyssoploft::soak {

namespace {

namespace asio = http::asio;

void close(kept_connection& it)
{
    it.stream.close();
    it.buf.clear();
    it.open = false;
}

} // namespace

asio::awaitable<caller_answer> call(
    kept_connection& from, http::tcp::endpoint to, http::request message,
    std::chrono::milliseconds limit)
{
    caller_answer out;
    http::error_code ec;
    from.stream.expires_after(limit);
    if (!from.open)
    {
        co_await from.stream.async_connect(
            to, asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
        {
            close(from);
            co_return out;
        }
        from.open = true;
    }
    message.prepare_payload();
    co_await http::bhttp::async_write(
        from.stream, message, asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
    {
        close(from);
        co_return out;
    }
    http::bhttp::response_parser<http::bhttp::string_body> parser;
    parser.body_limit(http::max_answer_body_bytes);
    co_await http::bhttp::async_read(
        from.stream, from.buf, parser,
        asio::redirect_error(asio::use_awaitable, ec));
    if (parser.is_header_done())
    {
        out.status = parser.get().result_int();
        out.stamp = std::string(http::header_value(
            parser.get(), platform::names::upstream_signature));
        out.body = parser.get().body();
        out.complete = !ec && parser.is_done();
    }
    if (ec || !parser.get().keep_alive())
    {
        close(from);
    }
    co_return out;
}

} // namespace hyssoploft::soak
