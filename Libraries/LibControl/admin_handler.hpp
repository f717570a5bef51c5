#ifndef HYSSOPLOFT_LIBCONTROL_ADMIN_HANDLER_HPP
#define HYSSOPLOFT_LIBCONTROL_ADMIN_HANDLER_HPP

// The HTTP interface for operators. Every request needs the operator token.

#include <LibControl/control_plane.hpp>
#include <LibHttp/request_handler.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace hyssoploft::control {

class admin_handler final : public http::request_handler
{
public:
    /// `drain` starts the shutdown of this VM; `running` returns the number of
    /// requests in progress.
    admin_handler(
        control_plane& control, std::string token,
        std::shared_ptr<core::clock> clock, std::function<void()> drain,
        std::function<std::size_t()> running);

    http::asio::awaitable<void> handle(http::exchange& it) override;

private:
    http::asio::awaitable<http::response> dispatch(http::exchange& it);
    http::asio::awaitable<http::response> apply(http::exchange& it);
    http::asio::awaitable<http::response> withdraw(http::exchange& it);
    http::asio::awaitable<http::response> watch(http::exchange& it);
    http::asio::awaitable<http::response> status(http::exchange& it);
    http::response list_resources(std::string_view target) const;
    http::response start_drain();

    control_plane& control_;
    const std::string token_;
    std::shared_ptr<core::clock> clock_;
    std::function<void()> drain_;
    std::function<std::size_t()> running_;
};

} // namespace hyssoploft::control

#endif
