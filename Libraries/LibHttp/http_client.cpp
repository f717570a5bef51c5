// Client side of HTTP/1.1 calls.

#include <LibHttp/http_client.hpp>

#include <LibCore/text.hpp>
#include <LibHttp/answer_rules.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <stdexcept>
#include <utility>

namespace hyssoploft::http {

namespace {

constexpr std::size_t read_piece_bytes = 16 * 1024;
// Upstreams and VMs are some tens of milliseconds away; one that does not
// accept within this time is taken as down.
constexpr std::chrono::nanoseconds connect_timeout = std::chrono::seconds(2);

/// Interim answers (1xx) that are passed over before an answer.
constexpr int max_interim_answers = 4;

/// The peer closes an idle connection at the time that it states; a request
/// that is on its way then is lost.
constexpr std::chrono::milliseconds keep_alive_margin{500};

// How long the connection may be kept, by "Keep-Alive: timeout=SECONDS".
std::chrono::nanoseconds idle_limit(const bhttp::response_header<>& head)
{
    constexpr std::string_view name = "timeout=";
    const auto text = header_value(head, "keep-alive");
    const auto at = text.find(name);
    int seconds = 0;
    const char* begin = at == std::string_view::npos
                            ? text.data() + text.size()
                            : text.data() + at + name.size();
    const auto parsed =
        std::from_chars(begin, text.data() + text.size(), seconds);
    if (parsed.ec != std::errc())
    {
        return connection_pool::max_idle;
    }
    return std::max<std::chrono::nanoseconds>(
        std::chrono::nanoseconds(0),
        std::chrono::seconds(seconds) - keep_alive_margin);
}

absl::StatusOr<request> prepare(
    const http_call::message_maker& make_message, const std::string& address)
{
    // Beast throws where a message can't be sent as it is: a body of a method
    // that has none, a value that is too long.
    try
    {
        auto out = make_message();
        if (!out.ok())
        {
            return out;
        }
        out->version(11);
        // A call that is passed on keeps the host that its caller named.
        if (out->find(bhttp::field::host) == out->end())
        {
            out->set(bhttp::field::host, address);
        }
        out->keep_alive(true);
        out->prepare_payload();
        return out;
    }
    catch (const std::logic_error& error)
    {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace

asio::awaitable<absl::Status> http_call::start(
    std::string address, request message, bool fresh_connection,
    std::chrono::nanoseconds timeout)
{
    const auto make_message = [&message]() -> absl::StatusOr<request> {
        return std::move(message);
    };
    co_return co_await start(
        std::move(address), make_message, fresh_connection, timeout);
}

asio::awaitable<absl::Status> http_call::start(
    std::string address, message_maker make_message, bool fresh_connection,
    std::chrono::nanoseconds timeout)
{
    const auto began = std::chrono::steady_clock::now();
    held_ = core::byte_reservation(pool_.answer_budget(), address);
    auto acquired = co_await pool_.acquire(
        address, fresh_connection, std::min(timeout, connect_timeout),
        identifier_);
    if (cancelled_)
    {
        co_return absl::CancelledError("call cancelled");
    }
    if (!acquired.ok())
    {
        co_return acquired.status();
    }
    auto made = prepare(make_message, address);
    if (!made.ok())
    {
        pool_.release(*std::move(acquired));
        co_return made.status();
    }
    auto& message = *made;
    is_head_request_ = message.method() == bhttp::verb::head;
    connection_ = *std::move(acquired);
    connection_->limit_silence(silence_timeout_);
    connection_->add_call(identifier_);
    reused_ = connection_->reused;
    stage_ = call_stage::sending;
    auto& stream = connection_->stream;
    stream.expires_after(timeout - (std::chrono::steady_clock::now() - began));
    bytes_ += message.body().size();
    error_code ec;
    co_await bhttp::async_write(
        stream, message, asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
    {
        co_return to_status(ec);
    }
    stage_ = call_stage::waiting;
    co_return co_await read_head();
}

asio::awaitable<absl::Status> http_call::read_head()
{
    for (int n = 0; n <= max_interim_answers; ++n)
    {
        parser_.emplace();
        parser_->header_limit(max_header_bytes);
        parser_->body_limit(boost::none);
        parser_->skip(is_head_request_);
        error_code ec;
        co_await bhttp::async_read_header(
            connection_->stream, connection_->buffer, *parser_,
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
        {
            co_return to_status(ec);
        }
        if (is_interim_status(parser_->get().result_int()))
        {
            continue;
        }
        auto status = check_answer_head(parser_->get());
        if (!status.ok())
        {
            connection_->stream.close();
            co_return status;
        }
        stage_ = call_stage::reading_answer;
        ends_with_connection_ = parser_->need_eof();
        co_return absl::OkStatus();
    }
    connection_->stream.close();
    co_return absl::DataLossError("interim answers without an answer");
}

asio::awaitable<absl::Status>
http_call::next_answer(std::chrono::nanoseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (!parser_->is_done())
    {
        const auto piece = co_await read_piece(until);
        if (!piece.ok())
        {
            co_return piece.status();
        }
    }
    if (!parser_->keep_alive())
    {
        co_return absl::UnavailableError(
            "the connection ended with an answer to another call");
    }
    stage_ = call_stage::waiting;
    connection_->stream.expires_at(until);
    co_return co_await read_head();
}

asio::awaitable<absl::StatusOr<std::string>>
http_call::read_some(std::chrono::nanoseconds timeout)
{
    co_return co_await read_some_until(
        std::chrono::steady_clock::now() + timeout);
}

asio::awaitable<absl::StatusOr<std::string>>
http_call::read_some_until(std::chrono::steady_clock::time_point until)
{
    auto piece = co_await read_piece(until);
    if (piece.ok() && piece->empty())
    {
        finish();
    }
    co_return piece;
}

asio::awaitable<absl::StatusOr<std::string>>
http_call::read_piece(std::chrono::steady_clock::time_point until)
{
    if (cancelled_)
    {
        co_return absl::CancelledError("call cancelled");
    }
    // Once for all reads: an upstream may send bytes for ever that are no
    // part of the body.
    connection_->stream.expires_at(until);
    std::string piece;
    while (piece.empty() && !parser_->is_done())
    {
        std::array<char, read_piece_bytes> buf;
        auto& body = parser_->get().body();
        body.data = buf.data();
        body.size = buf.size();
        body.more = true;
        error_code ec;
        co_await bhttp::async_read_some(
            connection_->stream, connection_->buffer, *parser_,
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec && ec != bhttp::error::need_buffer)
        {
            co_return to_status(ec);
        }
        piece.append(buf.data(), buf.size() - body.size);
    }
    bytes_ += piece.size();
    co_return piece;
}

asio::awaitable<absl::StatusOr<std::string>>
http_call::read_all(std::size_t limit, std::chrono::nanoseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    std::string all;
    for (;;)
    {
        auto piece = co_await read_some_until(until);
        if (!piece.ok())
        {
            co_return piece.status();
        }
        if (piece->empty())
        {
            co_return all;
        }
        const auto size = all.size() + piece->size();
        if (size > limit)
        {
            cancel();
            co_return absl::ResourceExhaustedError(
                core::concat("answer of more than ", limit, " bytes"));
        }
        // The text's memory grows by doubling.
        if (!hold_bytes(std::max(size, all.capacity())))
        {
            cancel();
            co_return absl::ResourceExhaustedError(core::concat(
                "no memory for the answer after ", all.size(), " bytes"));
        }
        all += *piece;
    }
}

bool http_call::hold_bytes(std::size_t n)
{
    return held_.resize(n);
}

void http_call::cancel()
{
    cancelled_ = true;
    if (connection_)
    {
        connection_->stream.close();
    }
}

absl::Status http_call::to_status(const error_code& ec) const
{
    if (cancelled_)
    {
        return absl::CancelledError("call cancelled");
    }
    const auto text = core::concat(
        core::name_of(call_stage_names, stage_), ": ", ec.message());
    // The second one: the peer acknowledged nothing for the silence timeout.
    if (ec == beast::error::timeout || ec == asio::error::timed_out)
    {
        return absl::DeadlineExceededError(text);
    }
    // NOTE: partial_message is a body that ended early, end_of_stream a
    // connection that was closed before any byte of an answer.
    const bool malformed =
        ec.category() ==
            make_error_code(bhttp::error::bad_version).category() &&
        ec != bhttp::error::end_of_stream &&
        ec != bhttp::error::partial_message;
    if (malformed || stage_ == call_stage::reading_answer)
    {
        return absl::DataLossError(text);
    }
    return absl::UnavailableError(text);
}

void http_call::finish()
{
    stage_ = call_stage::complete;
    if (connection_ && parser_->keep_alive())
    {
        pool_.release(std::move(connection_), idle_limit(parser_->get()));
    }
    connection_.reset();
}

} // namespace hyssoploft::http
