#ifndef HYSSOPLOFT_TESTS_SOAK_HTTP_CALL_HPP
#define HYSSOPLOFT_TESTS_SOAK_HTTP_CALL_HPP

// A plain HTTP client of the soak's callers, upstreams and operator. It is
// apart from the gateway's client, whose faults it would share.

#include <LibHttp/types.hpp>
#include <Soak/promise_checker.hpp>

#include <chrono>
#include <memory>

namespace hyssoploft::soak {

/// A connection that a caller keeps between requests.
struct kept_connection
{
    explicit kept_connection(http::asio::io_context& io) : stream(io) {}

    http::beast::tcp_stream stream;
    http::beast::flat_buffer buf;
    bool open = false;
};

/// Sends a request, after connecting to `to` if needed, and reads the answer
/// until it ends or `limit` has passed. Closes the connection on any error.
http::asio::awaitable<caller_answer> call(
    kept_connection& from, http::tcp::endpoint to, http::request message,
    std::chrono::milliseconds limit);

} // namespace hyssoploft::soak

#endif
