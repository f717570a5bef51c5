#ifndef HYSSOPLOFT_LIBHTTP_EXCHANGE_HPP
#define HYSSOPLOFT_LIBHTTP_EXCHANGE_HPP

// One request of a caller and the means to answer it, whole or as a stream.

#include <LibCore/memory_account.hpp>
#include <LibHttp/connection_pool.hpp>
#include <LibHttp/types.hpp>

#include <absl/status/status.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace hyssoploft::http {

class exchange
{
public:
    exchange(
        beast::tcp_stream& stream, connection_pool& pool, request message,
        asio::ip::address remote);

    const request& message() const
    {
        return message_;
    }

    request& message()
    {
        return message_;
    }

    /// Connections of the thread that runs this exchange.
    connection_pool& pool()
    {
        return pool_;
    }

    const asio::ip::address& remote() const
    {
        return remote_;
    }

    asio::any_io_executor executor() const
    {
        return stream_.get_executor();
    }

    /// HEAD: answers have no body, and the length that another method's would
    /// have (RFC 9110, section 9.3.2).
    bool is_head_request() const
    {
        return message_.method() == bhttp::verb::head;
    }

    /// Sends a whole answer. UNAVAILABLE when the caller went away. To HEAD
    /// only its head is sent, with the length that it states or else that of
    /// the body.
    asio::awaitable<absl::Status> respond(response answer);

    /// Sends the head of a streamed answer (chunked).
    asio::awaitable<absl::Status>
    begin_stream(bhttp::response<bhttp::empty_body> head);

    /// Sends one chunk. It returns when the bytes are with the system, so
    /// that a slow reader slows only its own stream.
    asio::awaitable<absl::Status> write(std::string_view bytes);

    /// Sends the end of a streamed answer.
    asio::awaitable<absl::Status> end_stream();

    /// The connection is closed after this answer. A stream that was begun
    /// and not ended is then seen as cut by every HTTP client.
    void close_after()
    {
        keep_alive_ = false;
    }

    /// Whether an answer that begins now says that the connection stays open.
    bool keep_alive() const
    {
        return keep_alive_ && !(draining_ && *draining_);
    }

    /// False if the answer said that the connection closes, or was cut. A
    /// connection is closed only then: its caller may have sent the next
    /// request already.
    bool stays_open() const
    {
        return keep_alive_;
    }

    /// Told while bytes of an answer wait for the caller; outlives the
    /// exchange. May be null.
    void set_account_entry(core::account_entry* it)
    {
        account_entry_ = it;
    }

    /// While this is set, answers say that the connection closes. The flag
    /// outlives the exchange.
    void close_while(const std::atomic<bool>& draining)
    {
        draining_ = &draining;
    }

    bool answer_started() const
    {
        return started_;
    }

    /// Called once, at once if the caller is gone already. An empty handler
    /// removes the last one.
    void on_caller_gone(std::function<void()> handler);

    /// Called by the session when the connection was closed by the caller.
    void set_caller_gone();

    bool caller_gone() const
    {
        return gone_;
    }

    /// Asks the system whether the caller still has the connection open, so
    /// that the answer is right also where the event of its close is queued,
    /// as after a pause of the process. Call it on the exchange's thread.
    bool caller_waits() const;

private:
    void set_phase(core::connection_phase it);

    beast::tcp_stream& stream_;
    connection_pool& pool_;
    request message_;
    asio::ip::address remote_;
    std::function<void()> gone_handler_;
    const std::atomic<bool>* draining_ = nullptr;
    core::account_entry* account_entry_ = nullptr;
    bool keep_alive_;
    bool started_ = false; // Bytes of an answer were sent.
    bool gone_ = false;
};

} // namespace hyssoploft::http

#endif
