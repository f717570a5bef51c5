// Writes answers to callers.

#include <LibHttp/exchange.hpp>

#include <LibCore/text.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace hyssoploft::http {

namespace {

absl::Status to_status(const error_code& ec)
{
    if (!ec)
    {
        return absl::OkStatus();
    }
    return absl::UnavailableError(
        core::concat("write to caller: ", ec.message()));
}

bool is_open_at_peer(beast::tcp_stream& stream)
{
    char c = 0;
    const auto n =
        ::recv(stream.socket().native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    // A caller that resets the connection is gone as well.
    return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK ||
                               errno == EINTR));
}

} // namespace

exchange::exchange(
    beast::tcp_stream& stream, connection_pool& pool, request message,
    asio::ip::address remote)
    : stream_(stream), pool_(pool), message_(std::move(message)),
      remote_(std::move(remote)), keep_alive_(message_.keep_alive())
{}

asio::awaitable<absl::Status> exchange::respond(response answer)
{
    started_ = true;
    answer.version(message_.version());
    keep_alive_ = keep_alive();
    answer.keep_alive(keep_alive_);
    stream_.expires_after(write_timeout);
    set_phase(core::connection_phase::writing);
    error_code ec;
    if (is_head_request())
    {
        if (!answer.has_content_length())
        {
            answer.prepare_payload();
        }
        bhttp::response_serializer<bhttp::string_body> serializer(answer);
        co_await bhttp::async_write_header(
            stream_, serializer, asio::redirect_error(asio::use_awaitable, ec));
        set_phase(core::connection_phase::running);
        co_return to_status(ec);
    }
    answer.prepare_payload();
    co_await bhttp::async_write(
        stream_, answer, asio::redirect_error(asio::use_awaitable, ec));
    set_phase(core::connection_phase::running);
    co_return to_status(ec);
}

asio::awaitable<absl::Status>
exchange::begin_stream(bhttp::response<bhttp::empty_body> head)
{
    started_ = true;
    head.version(message_.version());
    keep_alive_ = keep_alive();
    head.keep_alive(keep_alive_);
    head.chunked(true);
    stream_.expires_after(write_timeout);
    set_phase(core::connection_phase::writing);
    bhttp::response_serializer<bhttp::empty_body> serializer(head);
    error_code ec;
    co_await bhttp::async_write_header(
        stream_, serializer, asio::redirect_error(asio::use_awaitable, ec));
    set_phase(core::connection_phase::running);
    co_return to_status(ec);
}

asio::awaitable<absl::Status> exchange::write(std::string_view bytes)
{
    if (is_head_request())
    {
        co_return absl::OkStatus();
    }
    stream_.expires_after(write_timeout);
    set_phase(core::connection_phase::writing);
    error_code ec;
    co_await asio::async_write(
        stream_, bhttp::make_chunk(asio::buffer(bytes.data(), bytes.size())),
        asio::redirect_error(asio::use_awaitable, ec));
    set_phase(core::connection_phase::running);
    co_return to_status(ec);
}

asio::awaitable<absl::Status> exchange::end_stream()
{
    if (is_head_request())
    {
        co_return absl::OkStatus();
    }
    stream_.expires_after(write_timeout);
    set_phase(core::connection_phase::writing);
    error_code ec;
    co_await asio::async_write(
        stream_, bhttp::make_chunk_last(),
        asio::redirect_error(asio::use_awaitable, ec));
    set_phase(core::connection_phase::running);
    co_return to_status(ec);
}

void exchange::set_phase(core::connection_phase it)
{
    if (account_entry_)
    {
        account_entry_->set_phase(it, std::chrono::steady_clock::now());
    }
}

void exchange::on_caller_gone(std::function<void()> handler)
{
    gone_handler_ = std::move(handler);
    if (gone_ && gone_handler_)
    {
        std::exchange(gone_handler_, nullptr)();
    }
}

bool exchange::caller_waits() const
{
    return !gone_ && is_open_at_peer(stream_);
}

void exchange::set_caller_gone()
{
    gone_ = true;
    if (gone_handler_)
    {
        std::exchange(gone_handler_, nullptr)();
    }
}

} // namespace hyssoploft::http
