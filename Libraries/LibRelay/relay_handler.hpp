#ifndef HYSSOPLOFT_LIBRELAY_RELAY_HANDLER_HPP
#define HYSSOPLOFT_LIBRELAY_RELAY_HANDLER_HPP

// Request handlers for callers and for other VMs: determine account and route,
// check the account's rate, and run the request.

#include <LibHttp/request_handler.hpp>
#include <LibRelay/relay_services.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace hyssoploft::relay {

/// Handles requests of callers.
class entry_handler final : public http::request_handler
{
public:
    explicit entry_handler(std::shared_ptr<relay_services> services)
        : services_(std::move(services))
    {}

    http::asio::awaitable<void> handle(http::exchange& it) override;

private:
    std::variant<request_terms, gateway::refusal>
    admit(const http::exchange& it);

    /// Refuses a quarantined prompt before it takes credit.
    std::optional<gateway::refusal>
    check_prompt(const request_terms& terms) const;

    /// Charges the request's tokens to the account's credit at this VM and
    /// borrows missing tokens from other VMs.
    http::asio::awaitable<std::optional<gateway::refusal>>
    reserve_rate(request_terms& terms, const http::exchange& it);

    std::shared_ptr<relay_services> services_;
};

/// Handles calls that VMs of other regions forward to upstreams of this one.
class peer_handler final : public http::request_handler
{
public:
    explicit peer_handler(std::shared_ptr<relay_services> services)
        : services_(std::move(services))
    {}

    http::asio::awaitable<void> handle(http::exchange& it) override;

private:
    std::shared_ptr<relay_services> services_;
};

} // namespace hyssoploft::relay

#endif
