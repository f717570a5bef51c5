#ifndef HYSSOPLOFT_LIBGATEWAY_SERVICE_RUN_HPP
#define HYSSOPLOFT_LIBGATEWAY_SERVICE_RUN_HPP

// One call of a plain service: passed through by route, and at most once
// where the route says that it may not be repeated.

#include <LibGateway/request_context.hpp>
#include <LibGateway/target_call.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace hyssoploft::gateway {

class service_run : public std::enable_shared_from_this<service_run>
{
public:
    /// `caller` and `services` outlive run().
    service_run(
        gateway_services& services, http::exchange& caller,
        request_context context);

    http::asio::awaitable<void> run();

private:
    struct call_end
    {
        std::optional<http::response> answer; ///< Whole answer.
        std::optional<refusal> refused;       ///< If there is none.
    };

    std::optional<refusal> reserve();
    http::asio::awaitable<void> run_once();
    http::asio::awaitable<ledger::begin_result>
    begin(const ledger::begin_request& request, std::optional<refusal>& out);
    http::asio::awaitable<void>
    replay(const ledger::begin_request& request, ledger::begin_result record);
    http::asio::awaitable<void> run_created(ledger::begin_request request);
    http::asio::awaitable<call_end> call_upstreams();
    http::asio::awaitable<bool> may_retry(const retry::call_failure& failure);
    http::asio::awaitable<void> pause(core::duration d);
    http::asio::awaitable<void> send(call_end end);
    http::asio::awaitable<void> refuse(refusal it);
    ledger::begin_request make_begin(std::string_view key) const;
    http::request message() const;
    bool repeatable() const;
    double cost_tokens() const;
    void settle(bool ran);
    void write_span() const;

    gateway_services& services_;
    http::exchange& caller_;
    request_context context_;
    admission_ticket ticket_;
    std::optional<rate::reservation> reserved_;
    std::set<std::string> excluded_;
    target_call* current_ = nullptr;
    std::optional<refusal> refused_;
    std::uint32_t attempts_ = 0;
    unsigned status_ = 0;       // Of the answer that was sent.
    bool may_have_run_ = false; // An attempt may have reached an upstream.
    bool overloaded_ = false;
    bool replayed_ = false;
};

} // namespace hyssoploft::gateway

#endif
