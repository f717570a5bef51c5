#ifndef HYSSOPLOFT_LIBGATEWAY_AWAIT_CALLBACK_HPP
#define HYSSOPLOFT_LIBGATEWAY_AWAIT_CALLBACK_HPP

// Waits in a coroutine for a completion handler that another thread calls.

#include <LibHttp/types.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace hyssoploft::gateway {

/// Calls `start` with a completion handler for a Result and waits for it. The
/// handler must be called exactly once, on any thread. `executor` is that of
/// the calling coroutine and must be single-threaded.
template <typename Result, typename Start>
http::asio::awaitable<Result>
await_callback(http::asio::any_io_executor executor, Start start)
{
    namespace asio = http::asio;
    auto result = std::make_shared<std::optional<Result>>();
    auto timer = std::make_shared<asio::steady_timer>(
        executor, asio::steady_timer::time_point::max());
    start([result, timer, executor](Result it) {
        asio::post(executor, [result, timer, it = std::move(it)]() mutable {
            result->emplace(std::move(it));
            timer->cancel();
        });
    });
    http::error_code ec;
    while (!result->has_value())
    {
        co_await timer->async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return std::move(**result);
}

} // namespace hyssoploft::gateway

#endif
