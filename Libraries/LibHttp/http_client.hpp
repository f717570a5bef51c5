#ifndef HYSSOPLOFT_LIBHTTP_HTTP_CLIENT_HPP
#define HYSSOPLOFT_LIBHTTP_HTTP_CLIENT_HPP

// One call to an upstream or to another VM: whole, or streamed piece by
// piece. The call says how far it came, since that decides whether the call
// may be sent again.

#include <LibCore/enum_table.hpp>
#include <LibHttp/connection_pool.hpp>
#include <LibHttp/types.hpp>

#include <absl/status/statusor.h>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace hyssoploft::http {

enum class call_stage : std::uint8_t
{
    connecting,     ///< Nothing was sent.
    sending,        ///< Some bytes may have been sent.
    waiting,        ///< The whole request was sent.
    reading_answer, ///< The head of an answer came.
    complete
};

inline constexpr core::enum_table<call_stage, 5> call_stage_names{
    {{call_stage::connecting, "connecting"},
     {call_stage::sending, "sending"},
     {call_stage::waiting, "waiting"},
     {call_stage::reading_answer, "reading_answer"},
     {call_stage::complete, "complete"}}};

class http_call : public std::enable_shared_from_this<http_call>
{
public:
    explicit http_call(connection_pool& pool) : pool_(pool) {}

    /// Sends `message` to "IP:port" and reads the head of the answer.
    /// UNAVAILABLE for a broken connection, DEADLINE_EXCEEDED after `timeout`
    /// (for connecting, sending and the head together), CANCELLED after
    /// cancel(), DATA_LOSS for a malformed answer, INVALID_ARGUMENT for a
    /// message that can't be sent, of which nothing was.
    asio::awaitable<absl::Status> start(
        std::string address, request message, bool fresh_connection,
        std::chrono::nanoseconds timeout);

    using message_maker = std::function<absl::StatusOr<request>()>;

    /// The same, with a message that is made once the connection is there:
    /// what it states, and whether it may be sent at all, can depend on the
    /// time of sending. After an error of `make_message` nothing was sent; it
    /// is returned, and stage() is `connecting`.
    asio::awaitable<absl::Status> start(
        std::string address, message_maker make_message, bool fresh_connection,
        std::chrono::nanoseconds timeout);

    /// The call fails if its peer acknowledges nothing for this time; the
    /// default is connection::default_silence_timeout. Call before start().
    void set_silence_timeout(std::chrono::milliseconds timeout)
    {
        silence_timeout_ = timeout;
    }

    /// Keeps the call off connections that have carried one with the same
    /// identifier: a late answer to that one would look like the answer to
    /// this one. Call before start().
    void set_identifier(std::string id)
    {
        identifier_ = std::move(id);
    }

    /// Reads the head of one more answer on the same connection, in place of
    /// the current one, which belongs to another call. Errors as start();
    /// UNAVAILABLE if the connection ends with the current answer.
    asio::awaitable<absl::Status> next_answer(std::chrono::nanoseconds timeout);

    /// Head of the answer; valid once start() was OK.
    const bhttp::response_header<>& head() const
    {
        return parser_->get();
    }

    /// Whether the answer has neither a length nor chunks. Valid with head().
    bool ends_with_connection() const
    {
        return ends_with_connection_;
    }

    /// The next piece of the body; empty at its end. DATA_LOSS when the
    /// connection ended before the body did.
    asio::awaitable<absl::StatusOr<std::string>>
    read_some(std::chrono::nanoseconds timeout);

    /// The rest of the body, all of it within `timeout`. RESOURCE_EXHAUSTED
    /// above `limit` bytes, or if the pool's budget has no room for them. The
    /// bytes are charged until the end of this object.
    asio::awaitable<absl::StatusOr<std::string>>
    read_all(std::size_t limit, std::chrono::nanoseconds timeout);

    /// Charges the pool's budget for bytes of the answer that are kept
    /// elsewhere. False if there is no room.
    bool hold_bytes(std::size_t n);

    /// Ends the call from another coroutine of the same thread; the
    /// connection is closed, which upstreams take as a cancellation.
    void cancel();

    call_stage stage() const
    {
        return stage_;
    }

    /// True if the call went over a connection that had carried another one.
    bool reused_connection() const
    {
        return reused_;
    }

    /// Bytes of the request and of the answer's body.
    std::uint64_t bytes() const
    {
        return bytes_;
    }

private:
    absl::Status to_status(const error_code& ec) const;
    asio::awaitable<absl::Status> read_head();
    asio::awaitable<absl::StatusOr<std::string>>
    read_piece(std::chrono::steady_clock::time_point until);
    asio::awaitable<absl::StatusOr<std::string>>
    read_some_until(std::chrono::steady_clock::time_point until);
    void finish();

    connection_pool& pool_;
    std::unique_ptr<connection> connection_; // Null before and after the call.
    std::optional<bhttp::response_parser<bhttp::buffer_body>> parser_;
    std::chrono::milliseconds silence_timeout_ =
        connection::default_silence_timeout;
    std::string identifier_;      // Empty: not known.
    core::byte_reservation held_; // Of the answer, for its sender.
    call_stage stage_ = call_stage::connecting;
    bool cancelled_ = false;
    bool reused_ = false;
    bool is_head_request_ = false; // Its answer has no body.
    bool ends_with_connection_ = false;
    std::uint64_t bytes_ = 0;
};

} // namespace hyssoploft::http

#endif
