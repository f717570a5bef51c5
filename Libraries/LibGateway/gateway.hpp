#ifndef HYSSOPLOFT_LIBGATEWAY_GATEWAY_HPP
#define HYSSOPLOFT_LIBGATEWAY_GATEWAY_HPP

// Handles all requests that arrive at a VM's --http_address.

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

    /// Periodic work. Call about every dispatcher::tick_interval.
    void tick();

    void set_ready(bool ready)
    {
        ready_ = ready;
    }

    /// Refuses new requests from now on; accepted ones run to their end.
    void shut_down();

    /// Number of accepted requests without a complete answer.
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
