#ifndef HYSSOPLOFT_TESTS_SUPPORT_SCRIPTED_UPSTREAM_HPP
#define HYSSOPLOFT_TESTS_SUPPORT_SCRIPTED_UPSTREAM_HPP

// An upstream on a raw socket that sends scripted bytes for each request, so
// that answers can be complete, truncated or reset.

#include <Support/monitor.hpp>

#include <LibHttp/traffic_thread.hpp>

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoploft::tests {

/// Action on the connection after the bytes of a reply were sent.
enum class after_reply
{
    keep,  // Reads the next request.
    close, // Closes the connection.
    reset, // Resets the connection.
    hold   // Waits until the gateway closes it.
};

/// Bytes that are sent after a pause.
struct delayed_bytes
{
    std::chrono::milliseconds pause{};
    std::string bytes;
};

struct reply
{
    /// "{id}" is replaced by the x-request-id of the request, "{earlier_id}" by
    /// that of the request before it.
    std::string bytes;
    after_reply then = after_reply::keep;
    std::vector<delayed_bytes> later = {}; ///< Sent before `then`.
    /// Sent before `bytes` on a connection that carried another request.
    std::string if_reused = {};
    /// Answers the head of the request; its body is never read.
    bool before_body = false;
};

class scripted_upstream
{
public:
    explicit scripted_upstream(monitor& state);
    ~scripted_upstream();

    const std::string& address() const
    {
        return address_;
    }

    /// Sets the replies, sent in order; the last one repeats. Call before the
    /// first request.
    void set_replies(std::vector<reply> replies);

    /// The members below are guarded by the monitor.
    std::vector<http::request> received;
    std::size_t closed_by_gateway = 0; ///< During after_reply::hold.
    std::size_t connections = 0;
    std::size_t replies_sent = 0; ///< With their delayed bytes.

private:
    http::asio::awaitable<void> accept();
    http::asio::awaitable<void> serve(http::tcp::socket socket);

    monitor& state_;
    std::deque<reply> replies_;
    http::traffic_thread thread_;
    http::tcp::acceptor acceptor_;
    std::string address_;
};

/// An answer with Content-Length and the identifier of its request.
std::string whole_answer(
    unsigned status, std::string_view body, std::string_view headers = {});

/// A chat completion of two tokens.
std::string chat_answer();

/// Head of a streamed answer.
std::string stream_head();

/// One chunk with one event that carries `text`.
std::string token_chunk(std::string_view text);

std::string raw_chunk(std::string_view bytes);

/// The end marker and the end of the body.
std::string stream_end();

} // namespace hyssoploft::tests

#endif
