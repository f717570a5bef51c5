#ifndef HYSSOPLOFT_LIBRELAY_RELAY_HANDLER_HPP
#define HYSSOPLOFT_LIBRELAY_RELAY_HANDLER_HPP

// Decides whose a request is, which route it takes and whether it is within
// its account's rate, and starts its run.

#include <LibHttp/request_handler.hpp>
#include <LibRelay/relay_services.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace hyssoploft::relay {

/// Requests of callers.
class entry_handler final : public http::request_handler
{
public:
    explicit entry_handler(std::shared_ptr<relay_services> services)
        : services_(std::move(services))
    {}

    http::asio::awaitable<void> handle(http::exchange& it) override;

private:
    std::variant<request_terms, gateway::refusal>
    accept(const http::exchange& it);

    /// Takes the request's tokens from the account's credit here, and borrows
    /// what is missing.
    http::asio::awaitable<std::optional<gateway::refusal>>
    reserve(request_terms& terms, const http::exchange& it);

    std::shared_ptr<relay_services> services_;
};

/// Calls that VMs of other regions send to upstreams of this one.
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
