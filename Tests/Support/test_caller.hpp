#ifndef HYSSOPLOFT_TESTS_SUPPORT_TEST_CALLER_HPP
#define HYSSOPLOFT_TESTS_SUPPORT_TEST_CALLER_HPP

// A caller on a raw socket with blocking calls.

#include <LibHttp/types.hpp>

#include <boost/beast/http/parser.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace hyssoploft::tests {

/// The answer that a caller received.
struct answer
{
    unsigned status = 0;
    std::string reason;
    std::string not_run;
    std::string request_id;
    std::string retry_after;
    std::string body; ///< Without the chunked encoding.
    bool whole = false;
};

/// A connection of a caller with blocking calls.
class test_caller
{
public:
    explicit test_caller(const std::string& address);

    void send(const std::string& text);
    /// Reads until the body has `text`; false at the end of the answer.
    bool read_until(const std::string& text);
    answer read();
    /// The bytes that have come once an answer's head is among them.
    std::string read_head();
    /// All bytes until the connection ends.
    std::string read_bytes();
    /// Resets the connection.
    void leave();

private:
    answer it_;
    http::asio::io_context context_;
    http::tcp::socket socket_;
    http::beast::flat_buffer buffer_;
    std::unique_ptr<http::bhttp::response_parser<http::bhttp::string_body>>
        parser_;
};

/// The bytes of a request. `headers` are complete header lines.
std::string request_text(
    std::string_view method, std::string_view target, std::string_view body,
    std::string_view headers);

} // namespace hyssoploft::tests

#endif
