#ifndef HYSSOPLOFT_LIBGATEWAY_GATEWAY_HPP
#define HYSSOPLOFT_LIBGATEWAY_GATEWAY_HPP

// Entry point of all requests at a VM's --http_address.

#include <LibGateway/request_context.hpp>
#include <LibHttp/request_handler.hpp>

#include <atomic>
#include <memory>

namespace hyssoploft::gateway {

class gateway final : public http::request_handler
{
public:
    explicit gateway(std::unique_ptr<gateway_services> services);

    http::asio::awaitable<void> handle(http::exchange& it) override;

    /// Housekeeping: call about every dispatcher::tick_interval.
    void tick();

    void set_ready(bool ready)
    {
        ready_ = ready;
    }

    /// New requests are refused from now on; those that were accepted are
    /// finished.
    void shut_down();

    /// Accepted requests that are not answered yet.
    std::size_t pending() const
    {
        return services_->dispatch->pending();
    }

private:
    http::asio::awaitable<void> handle_chat(http::exchange& it);
    http::asio::awaitable<void> handle_service(http::exchange& it);

    std::unique_ptr<gateway_services> services_; // Never null.
    std::atomic<bool> ready_{false};
};

} // namespace hyssoploft::gateway

#endif
