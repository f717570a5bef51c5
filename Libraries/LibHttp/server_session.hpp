#ifndef HYSSOPLOFT_LIBHTTP_SERVER_SESSION_HPP
#define HYSSOPLOFT_LIBHTTP_SERVER_SESSION_HPP

// One connection of a caller: reads requests one after the other and hands
// them to the handler. It keeps itself alive until the connection ends.

#include <LibCore/memory_account.hpp>
#include <LibHttp/request_handler.hpp>

#include <boost/beast/http/parser.hpp>

#include <atomic>
#include <memory>
#include <optional>

namespace hyssoploft::http {

/// Numbers shared by the sessions of one server.
struct server_load
{
    std::atomic<std::size_t> connections{0};
    std::atomic<std::size_t> requests{0}; ///< Being handled now.
    std::atomic<bool> draining{false};    ///< Close after the next answer.
};

class server_session : public std::enable_shared_from_this<server_session>
{
public:
    /// Without an account only single messages are bounded.
    server_session(
        tcp::socket socket, connection_pool& pool,
        std::shared_ptr<request_handler> handler,
        std::shared_ptr<server_load> load,
        std::shared_ptr<core::memory_account> account = nullptr);
    ~server_session();

    /// Starts on the executor of the socket.
    void start();

private:
    using parser_type = bhttp::request_parser<bhttp::string_body>;

    asio::awaitable<void> run();
    asio::awaitable<bool> read_request(request& out);
    asio::awaitable<void> read_head(parser_type& parser, error_code& ec);
    /// Reads into buffer_. The end of the connection is the end of the stream,
    /// or a partial message if a part of one was read.
    asio::awaitable<void> read_more(const parser_type& parser, error_code& ec);
    /// Reserves memory before it reads; `ec` is no_buffer_space if there is
    /// none.
    asio::awaitable<void> read_body(parser_type& parser, error_code& ec);
    asio::awaitable<bool> reserve(std::size_t bytes);
    /// For small parts: never waits.
    bool reserve_at_once(std::size_t bytes);
    void set_phase(core::connection_phase it);
    void release();
    void give_way();
    asio::awaitable<void> reject(const error_code& ec);
    /// False if the connection is to be closed.
    asio::awaitable<bool> handle_one(request message);
    void watch_caller(const std::shared_ptr<exchange>& it);

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_; // Bytes of the next request.
    connection_pool& pool_;
    std::shared_ptr<request_handler> handler_;
    std::shared_ptr<server_load> load_;
    asio::ip::address remote_;
    std::optional<core::account_entry> entry_; // None without an account.
};

} // namespace hyssoploft::http

#endif
