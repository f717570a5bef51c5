#ifndef HYSSOPLOFT_TESTS_SOAK_FAULT_PROXY_HPP
#define HYSSOPLOFT_TESTS_SOAK_FAULT_PROXY_HPP

// A TCP proxy on a loopback address whose connections can be harmed.

#include <LibCore/enum_table.hpp>
#include <LibHttp/types.hpp>

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace hyssoploft::soak {

enum class link_fault : std::uint8_t
{
    none,
    delay,          ///< Each piece is passed on later.
    reset,          ///< Open connections are reset, new ones too.
    drop_requests,  ///< Connections fall silent towards the target, for good.
    drop_answers,   ///< The same from the target.
    repeat_answers, ///< A whole answer comes a second time, late.
    trickle_answers ///< Connections send a byte now and then, for good.
};

inline constexpr core::enum_table<link_fault, 7> link_fault_names{
    {{link_fault::none, "none"},
     {link_fault::delay, "delay"},
     {link_fault::reset, "reset"},
     {link_fault::drop_requests, "drop_requests"},
     {link_fault::drop_answers, "drop_answers"},
     {link_fault::repeat_answers, "repeat_answers"},
     {link_fault::trickle_answers, "trickle_answers"}}};

class fault_proxy : public std::enable_shared_from_this<fault_proxy>
{
public:
    /// Listens on `ip` at a free port. Errors of the socket.
    static absl::StatusOr<std::shared_ptr<fault_proxy>> create(
        http::asio::io_context& io, const std::string& ip,
        const http::tcp::endpoint& target);

    void start();

    /// Takes effect on open connections too.
    void set(link_fault fault);

    /// To connect to instead of the target.
    http::tcp::endpoint endpoint() const
    {
        return acceptor_.local_endpoint();
    }

    /// The same as "IP:port".
    std::string address() const;

private:
    struct link
    {
        http::tcp::socket near;
        http::tcp::socket far;
        bool is_answering = false; // A write to `near` is under way.
    };

    fault_proxy(http::asio::io_context& io, const http::tcp::endpoint& target);

    http::asio::awaitable<void> accept();
    http::asio::awaitable<void> carry(std::shared_ptr<link> it);
    http::asio::awaitable<void>
    pump(std::shared_ptr<link> it, bool towards_target);
    /// Writes `piece` to the caller a byte at a time.
    http::asio::awaitable<http::error_code>
    trickle(link& it, std::string piece);
    http::asio::awaitable<void>
    repeat(std::shared_ptr<link> it, std::string answer);
    http::asio::awaitable<void> wait(std::chrono::milliseconds d);
    static void reset(link& it);

    http::asio::io_context& io_;
    http::tcp::acceptor acceptor_;
    const http::tcp::endpoint target_;
    link_fault fault_ = link_fault::none;
    std::set<std::shared_ptr<link>> links_;
};

} // namespace hyssoploft::soak

#endif
