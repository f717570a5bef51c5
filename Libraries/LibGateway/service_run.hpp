#ifndef HYSSOPLOFT_LIBGATEWAY_SERVICE_RUN_HPP
#define HYSSOPLOFT_LIBGATEWAY_SERVICE_RUN_HPP

// One call of a plain service. On routes that are not idempotent the ledger
// makes sure that it runs at most once.

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
    struct call_result
    {
        std::optional<http::response> answer; ///< Complete answer.
        std::optional<refusal> refused;       ///< Set if there is no answer.
    };

    std::optional<refusal> reserve();
    http::asio::awaitable<void> run_at_most_once();
    http::asio::awaitable<ledger::begin_result> begin_record(
        const ledger::begin_request& request, std::optional<refusal>& out);
    http::asio::awaitable<void> replay_answer(
        const ledger::begin_request& request, ledger::begin_result record);
    http::asio::awaitable<void> run_new_record(ledger::begin_request request);
    http::asio::awaitable<call_result> call_upstreams();
    http::asio::awaitable<bool>
    wait_for_retry(const retry::call_failure& failure);
    http::asio::awaitable<void> sleep_for(core::duration d);
    http::asio::awaitable<void> send_result(call_result end);
    http::asio::awaitable<void> refuse(refusal it);
    ledger::begin_request make_begin_request(std::string_view key) const;
    http::request make_upstream_message() const;
    bool is_repeatable() const;
    double cost_tokens() const;
    void settle(bool ran);
    void write_span() const;

    gateway_services& services_;
    http::exchange& caller_;
    request_context context_;
    admission_ticket ticket_;
    std::optional<rate::reservation> reservation_;
    std::set<std::string> excluded_upstreams_;
    target_call* current_call_ = nullptr;
    std::optional<refusal> refused_;
    std::uint32_t attempt_count_ = 0;
    unsigned sent_status_ = 0;  // HTTP status of the answer sent; 0: none.
    bool may_have_run_ = false; // An attempt may have reached an upstream.
    bool upstream_overloaded_ = false;
    bool replayed_ = false;
};

} // namespace hyssoploft::gateway

#endif
