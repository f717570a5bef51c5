#ifndef HYSSOPLOFT_LIBHTTP_TYPES_HPP
#define HYSSOPLOFT_LIBHTTP_TYPES_HPP

// Names for the Asio and Beast types that the gateway uses, and the bounds of
// messages.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hyssoploft::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

using request = bhttp::request<bhttp::string_body>;
using response = bhttp::response<bhttp::string_body>;

inline constexpr std::uint32_t max_header_bytes = 16 * 1024;
inline constexpr std::uint64_t max_request_body_bytes = 4 << 20;
inline constexpr std::uint64_t max_answer_body_bytes = 4 << 20;
/// Read from a client's connection and not parsed. A head has to fit.
inline constexpr std::size_t max_read_ahead_bytes = 32 * 1024;

/// Time for a caller to send one whole request, against slow clients.
inline constexpr std::chrono::seconds request_read_timeout{15};
/// Time that a connection may stay open between requests.
inline constexpr std::chrono::seconds keep_alive_timeout{60};
/// Time for one write to make progress, against readers that stopped.
inline constexpr std::chrono::seconds write_timeout{30};

/// Sets a status by its number: an enumerated one is lost if it has no
/// registered name.
inline void set_status(bhttp::response_header<>& to, unsigned code)
{
    to.result(code);
    if (to.result() == bhttp::status::unknown)
    {
        // In place of Beast's "<unknown-status>".
        to.reason("Unknown");
    }
}

/// The value of a header, or an empty text.
template <typename Message>
std::string_view header_value(const Message& message, std::string_view name)
{
    const auto it = message.find(beast::string_view(name.data(), name.size()));
    if (it == message.end())
    {
        return {};
    }
    return {it->value().data(), it->value().size()};
}

} // namespace hyssoploft::http

#endif
