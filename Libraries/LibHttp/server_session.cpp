// Reads requests of one caller and watches whether it stays connected.

#include <LibHttp/server_session.hpp>

#include <LibCore/log_line.hpp>
#include <LibHttp/transfer_coding.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <exception>
#include <utility>

namespace hyssoploft::http {

namespace {

/// What a parsed field costs beside its bytes, with the copy of it that is
/// sent on.
constexpr std::size_t field_cost = 192;
/// A body is held twice while it is sent on.
constexpr std::size_t copies_of_body = 2;
/// First reservation for chunks, whose sum isn't known; it doubles as they
/// come.
constexpr std::size_t small_chunked_body = 16 * 1024;
/// Held by an idle connection at most, and read at once of a head.
constexpr std::size_t idle_buffer_bytes = 4 * 1024;
/// The shortest field, with its line's end.
constexpr std::size_t shortest_field = 4;
/// Between two tries to reserve memory, and their number: 5 s.
constexpr std::chrono::milliseconds reserve_interval{50};
constexpr int max_reserve_tries = 100;

/// Of a head whose fields aren't known yet: it may be made of the shortest.
constexpr std::size_t unfinished_head_cost(std::size_t bytes)
{
    return idle_buffer_bytes + bytes / shortest_field * field_cost;
}

std::size_t head_cost(const request& it)
{
    std::size_t out = 0;
    for (const auto& field : it)
    {
        out += field_cost +
               2 * (field.name_string().size() + field.value().size());
    }
    return out;
}

core::time_point now()
{
    return std::chrono::steady_clock::now();
}

bool is_without_room(const error_code& ec)
{
    return ec == asio::error::no_buffer_space;
}

error_code check_framing(const request& it)
{
    const auto status = check_transfer_coding(it, it.version());
    if (absl::IsUnimplemented(status))
    {
        return make_error_code(boost::system::errc::not_supported);
    }
    return status.ok() ? error_code()
                       : make_error_code(bhttp::error::bad_transfer_encoding);
}

bhttp::status status_of(const error_code& ec)
{
    if (ec == boost::system::errc::not_supported)
    {
        return bhttp::status::not_implemented;
    }
    if (is_without_room(ec))
    {
        return bhttp::status::service_unavailable;
    }
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
    std::shared_ptr<request_handler> handler, std::shared_ptr<server_load> load,
    std::shared_ptr<core::memory_account> account)
    : stream_(std::move(socket)), buffer_(max_read_ahead_bytes), pool_(pool),
      handler_(std::move(handler)), load_(std::move(load))
{
    error_code ec;
    const auto endpoint = stream_.socket().remote_endpoint(ec);
    remote_ = ec ? asio::ip::address() : endpoint.address();
    stream_.socket().set_option(tcp::no_delay(true), ec);
    ++load_->connections;
    if (account)
    {
        entry_.emplace(
            std::move(account),
            [this] {
                give_way();
            },
            now());
    }
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
            release();
        }
    }
    error_code ec;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ec);
    stream_.close();
}

asio::awaitable<bool> server_session::read_request(request& out)
{
    error_code ec;
    {
        parser_type parser;
        parser.header_limit(max_header_bytes);
        parser.body_limit(max_request_body_bytes);
        co_await read_head(parser, ec);
        if (!ec && !parser.is_done())
        {
            // The parser adds trailers to the fields of the head.
            auto head = parser.chunked() ? std::optional(parser.get().base())
                                         : std::nullopt;
            co_await read_body(parser, ec);
            if (head)
            {
                parser.get().base() = *std::move(head);
            }
        }
        if (!ec)
        {
            out = parser.release();
        }
    }
    // The parser's memory is free before its reservation ends.
    if (ec)
    {
        co_await reject(ec);
        co_return false;
    }
    if (entry_ &&
        !reserve_at_once(head_cost(out) + copies_of_body * out.body().size()))
    {
        out = {};
        co_await reject(asio::error::no_buffer_space);
        co_return false;
    }
    set_phase(core::connection_phase::running);
    co_return true;
}

asio::awaitable<void>
server_session::read_head(parser_type& parser, error_code& ec)
{
    // Waiting for the first byte and reading the request have time limits of
    // their own.
    if (buffer_.size() == 0)
    {
        if (buffer_.capacity() > idle_buffer_bytes)
        {
            buffer_.shrink_to_fit();
        }
        set_phase(core::connection_phase::idle);
        stream_.expires_after(keep_alive_timeout);
        co_await read_more(parser, ec);
    }
    set_phase(core::connection_phase::reading);
    stream_.expires_after(request_read_timeout);
    // The parser bounds the part of a head that it looks at, and not the sum.
    std::size_t head_bytes = 0;
    while (!ec)
    {
        const auto used = parser.put(buffer_.data(), ec);
        buffer_.consume(used);
        head_bytes += used;
        if (ec == bhttp::error::need_more)
        {
            ec = {};
        }
        if (!ec && parser.is_header_done())
        {
            ec = check_framing(parser.get());
            co_return;
        }
        if (ec)
        {
            co_return;
        }
        const auto bytes = head_bytes + buffer_.size();
        if (bytes > max_header_bytes)
        {
            ec = bhttp::error::header_limit;
        }
        else if (!reserve_at_once(unfinished_head_cost(bytes)))
        {
            ec = asio::error::no_buffer_space;
        }
        else
        {
            co_await read_more(parser, ec);
        }
    }
}

asio::awaitable<void>
server_session::read_more(const parser_type& parser, error_code& ec)
{
    const auto n = co_await stream_.async_read_some(
        buffer_.prepare(
            std::min(idle_buffer_bytes, buffer_.max_size() - buffer_.size())),
        asio::redirect_error(asio::use_awaitable, ec));
    buffer_.commit(n);
    if (ec == asio::error::eof)
    {
        ec = parser.got_some() || buffer_.size() > 0
                 ? make_error_code(bhttp::error::partial_message)
                 : make_error_code(bhttp::error::end_of_stream);
    }
}

asio::awaitable<void>
server_session::read_body(parser_type& parser, error_code& ec)
{
    const auto head = head_cost(parser.get()) + max_read_ahead_bytes;
    const auto length = parser.content_length();
    const auto announced = length ? *length : small_chunked_body;
    if (!reserve_at_once(head) ||
        !co_await reserve(head + copies_of_body * announced))
    {
        ec = asio::error::no_buffer_space;
        co_return;
    }
    stream_.expires_after(request_read_timeout);
    const auto done = [&ec] {
        return asio::redirect_error(asio::use_awaitable, ec);
    };
    const bool waits_for_consent =
        beast::iequals(parser.get()[bhttp::field::expect], "100-continue") &&
        parser.get().version() == 11;
    if (waits_for_consent)
    {
        constexpr std::string_view consent = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(stream_, asio::buffer(consent), done());
    }
    std::size_t reserved = announced;
    while (!ec && !length && !parser.is_done())
    {
        co_await bhttp::async_read_some(stream_, buffer_, parser, done());
        if (!ec && parser.get().body().size() > reserved)
        {
            reserved = std::min<std::size_t>(
                2 * parser.get().body().size(), max_request_body_bytes);
            if (!co_await reserve(head + copies_of_body * reserved))
            {
                ec = asio::error::no_buffer_space;
            }
        }
    }
    if (!ec && !parser.is_done())
    {
        co_await bhttp::async_read(stream_, buffer_, parser, done());
    }
}

asio::awaitable<bool> server_session::reserve(std::size_t bytes)
{
    if (!entry_)
    {
        co_return true;
    }
    auto result = entry_->reserve(bytes, true, now());
    asio::steady_timer timer(stream_.get_executor());
    for (int n = 0;
         n < max_reserve_tries && result == core::reservation_result::wait; ++n)
    {
        timer.expires_after(reserve_interval);
        co_await timer.async_wait(asio::use_awaitable);
        result = entry_->reserve(bytes, true, now());
    }
    if (result == core::reservation_result::wait)
    {
        entry_->stop_waiting();
    }
    co_return result == core::reservation_result::granted;
}

bool server_session::reserve_at_once(std::size_t bytes)
{
    return !entry_ || entry_->reserve(bytes, false, now()) ==
                          core::reservation_result::granted;
}

void server_session::set_phase(core::connection_phase it)
{
    if (entry_)
    {
        entry_->set_phase(it, now());
    }
}

void server_session::release()
{
    if (entry_)
    {
        (void)entry_->reserve(0, false, now());
    }
}

void server_session::give_way()
{
    LOG_EVERY_T(INFO, 1) << core::log_line("connection_closed_for_room")
                                .with("client", remote_.to_string())
                                .with("buffered", buffer_.size());
    stream_.close();
}

asio::awaitable<void> server_session::reject(const error_code& ec)
{
    const bool silent = ec == bhttp::error::end_of_stream ||
                        ec == beast::error::timeout ||
                        ec.category() == boost::system::system_category() ||
                        ec == asio::error::eof;
    if (silent && !is_without_room(ec))
    {
        co_return;
    }
    const auto status = status_of(ec);
    response answer(status, 11);
    answer.set(bhttp::field::content_type, "application/json");
    answer.body() = R"({"error":{"message":"the request is malformed or )"
                    R"(exceeds a size limit","type":"invalid_request_error",)"
                    R"("reason":"malformed_request","not_run":true}})";
    if (is_without_room(ec))
    {
        LOG_EVERY_T(INFO, 1) << core::log_line("request_refused_for_room")
                                    .with("client", remote_.to_string());
        answer.set(bhttp::field::retry_after, "1");
        answer.set("x-hyssoploft-reason", "no_memory");
        answer.set("x-hyssoploft-not-run", "true");
        answer.body() = R"({"error":{"message":"no memory for the request",)"
                        R"("type":"overloaded_error","reason":"no_memory",)"
                        R"("retry_after":1,"not_run":true}})";
    }
    else
    {
        LOG_EVERY_T(INFO, 1)
            << core::log_line("request_malformed")
                   .with("client", remote_.to_string())
                   .with("status", static_cast<unsigned>(status))
                   .with("error", ec.message());
    }
    answer.keep_alive(false);
    answer.prepare_payload();
    // What was read is dropped: the connection ends.
    release();
    set_phase(core::connection_phase::writing);
    stream_.expires_after(write_timeout);
    error_code ignored;
    co_await bhttp::async_write(
        stream_, answer, asio::redirect_error(asio::use_awaitable, ignored));
    // Closing a socket with unread bytes resets it, and the caller could lose
    // the answer.
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    // The answer has gone out: a new connection may take this one's place.
    set_phase(core::connection_phase::idle);
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
    it->set_account_entry(entry_ ? &*entry_ : nullptr);
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
