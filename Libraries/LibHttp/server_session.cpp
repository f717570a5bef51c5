// Reads requests of one caller and watches whether it stays connected.

#include <LibHttp/server_session.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <glog/logging.h>

#include <exception>
#include <utility>

namespace hyssoploft::http {

namespace {

bhttp::status status_of(const error_code& ec)
{
    if (ec == bhttp::error::header_limit || ec == bhttp::error::buffer_overflow)
    {
        return bhttp::status::request_header_fields_too_large;
    }
    if (ec == bhttp::error::body_limit)
    {
        return bhttp::status::payload_too_large;
    }
    return bhttp::status::bad_request;
}

} // namespace

server_session::server_session(
    tcp::socket socket, connection_pool& pool,
    std::shared_ptr<request_handler> handler, std::shared_ptr<server_load> load)
    : stream_(std::move(socket)),
      buffer_(max_header_bytes + max_request_body_bytes), pool_(pool),
      handler_(std::move(handler)), load_(std::move(load))
{
    error_code ec;
    const auto endpoint = stream_.socket().remote_endpoint(ec);
    remote_ = ec ? asio::ip::address() : endpoint.address();
    stream_.socket().set_option(tcp::no_delay(true), ec);
    ++load_->connections;
}

server_session::~server_session()
{
    --load_->connections;
}

void server_session::start()
{
    asio::co_spawn(
        stream_.get_executor(),
        [self = shared_from_this()] {
            return self->run();
        },
        asio::detached);
}

asio::awaitable<void> server_session::run()
{
    // Keeps the session alive: the coroutine frame owns this copy.
    const auto self = shared_from_this();
    bool more = true;
    while (more)
    {
        request message;
        more = co_await read_request(message);
        if (more)
        {
            more = co_await handle_one(std::move(message)) &&
                   stream_.socket().is_open();
        }
    }
    error_code ec;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ec);
    stream_.close();
}

asio::awaitable<bool> server_session::read_request(request& out)
{
    bhttp::request_parser<bhttp::string_body> parser;
    parser.header_limit(max_header_bytes);
    parser.body_limit(max_request_body_bytes);
    error_code ec;
    stream_.expires_after(keep_alive_timeout);
    // Waiting for the first byte and reading the request have time limits of
    // their own.
    if (buffer_.size() == 0)
    {
        co_await bhttp::async_read_some(
            stream_, buffer_, parser,
            asio::redirect_error(asio::use_awaitable, ec));
    }
    if (!ec && !parser.is_done())
    {
        stream_.expires_after(request_read_timeout);
        co_await bhttp::async_read(
            stream_, buffer_, parser,
            asio::redirect_error(asio::use_awaitable, ec));
    }
    if (ec)
    {
        co_await reject(ec);
        co_return false;
    }
    out = parser.release();
    co_return true;
}

asio::awaitable<void> server_session::reject(const error_code& ec)
{
    const bool silent = ec == bhttp::error::end_of_stream ||
                        ec == beast::error::timeout ||
                        ec.category() == boost::system::system_category() ||
                        ec == asio::error::eof;
    if (silent)
    {
        co_return;
    }
    response answer(status_of(ec), 11);
    answer.set(bhttp::field::content_type, "application/json");
    answer.body() = R"({"error":{"message":"the request is malformed or )"
                    R"(exceeds a size limit","type":"invalid_request_error",)"
                    R"("reason":"malformed_request","not_run":true}})";
    answer.keep_alive(false);
    answer.prepare_payload();
    stream_.expires_after(write_timeout);
    error_code ignored;
    co_await bhttp::async_write(
        stream_, answer, asio::redirect_error(asio::use_awaitable, ignored));
    // Closing a socket with unread bytes resets it, and the caller could lose
    // the answer.
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    char discarded[4096];
    stream_.expires_after(std::chrono::seconds(1));
    while (!ignored)
    {
        co_await stream_.async_read_some(
            asio::buffer(discarded),
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<bool> server_session::handle_one(request message)
{
    ++load_->requests;
    const auto it =
        std::make_shared<exchange>(stream_, pool_, std::move(message), remote_);
    it->close_while(load_->draining);
    stream_.expires_never();
    watch_caller(it);
    bool failed = false;
    try
    {
        co_await handler_->handle(*it);
    }
    catch (const std::exception& error)
    {
        // Libraries report by status; what arrives here is a defect or lack of
        // memory, and must end this request only.
        LOG(ERROR) << "request_failed error=\"" << error.what() << "\"";
        failed = true;
    }
    if (failed && !it->answer_started() && !it->caller_gone())
    {
        // Says nothing about whether the request ran.
        response answer(bhttp::status::bad_gateway, 11);
        it->close_after();
        (void)co_await it->respond(std::move(answer));
    }
    it->on_caller_gone(nullptr);
    --load_->requests;
    // NOTE: Ends the wait of watch_caller() too, the only one outstanding.
    error_code ec;
    stream_.socket().cancel(ec);
    const bool stays_open = !failed && it->stays_open() && !it->caller_gone();
    if (!stays_open)
    {
        stream_.close();
    }
    co_return stays_open;
}

void server_session::watch_caller(const std::shared_ptr<exchange>& it)
{
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(),
         weak = std::weak_ptr<exchange>(it)](const error_code& ec) {
            const auto current = weak.lock();
            // Readable without being closed: the next request is pipelined.
            if (!ec && current && !current->caller_waits())
            {
                current->set_caller_gone();
            }
        });
}

} // namespace hyssoploft::http
