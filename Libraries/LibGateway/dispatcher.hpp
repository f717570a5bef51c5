#ifndef HYSSOPLOFT_LIBGATEWAY_DISPATCHER_HPP
#define HYSSOPLOFT_LIBGATEWAY_DISPATCHER_HPP

// Gives the traffic threads access to the decision modules, which are not
// thread safe: admission, routing and retries share one mutex, which is held
// for one decision at a time.

#include <LibAdmission/admission.hpp>
#include <LibCore/clock.hpp>
#include <LibCore/random_source.hpp>
#include <LibGateway/control_view.hpp>
#include <LibGateway/refusal.hpp>
#include <LibHttp/exchange.hpp>
#include <LibRate/rate_limiter.hpp>
#include <LibRetry/retry_policy.hpp>
#include <LibRouting/forwarding.hpp>
#include <LibRouting/router.hpp>
#include <LibTelemetry/metrics.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace hyssoploft::gateway {

struct decision_modules
{
    std::unique_ptr<routing::router> router;
    std::unique_ptr<admission::admission_controller> admission;
    std::unique_ptr<retry::retry_policy> retries;
    std::shared_ptr<rate::rate_limiter> rates;
};

/// An admitted request. Each ticket needs exactly one call of
/// dispatcher::finish_request().
struct admission_ticket
{
    std::uint64_t id = 0;
    core::time_point admitted_at{};
};

class dispatcher
{
public:
    dispatcher(
        decision_modules modules, std::shared_ptr<control_view> control,
        std::shared_ptr<core::clock> clock,
        std::shared_ptr<core::random_source> random,
        telemetry::metrics& metrics);

    core::time_point now() const
    {
        return clock_->now();
    }

    std::uint64_t unix_nanoseconds() const
    {
        return clock_->unix_nanoseconds();
    }

    /// Waits until the request may run; returns a refusal if it may not. The
    /// wait ends with a refusal if the caller disconnects.
    http::asio::awaitable<std::optional<refusal>> admit(
        http::exchange& caller, admission::waiting_request request,
        const std::string& route, admission_ticket& out);

    /// Ends an admitted request. `overloaded`: an upstream rejected it because
    /// of its load.
    void finish_request(
        const admission_ticket& ticket, const std::string& route, double tokens,
        bool overloaded);

    routing::routing_result choose(const routing::routing_request& request);

    routing::forwarding_result
    choose_vm(const routing::forwarding_request& request);

    /// Records that the first token, or the head of an answer that is not
    /// streamed, arrived `since_choice` after choose().
    void record_first_token(
        const std::string& upstream, const routing::routing_request& request,
        core::duration since_choice);

    void record_call_result(
        const std::string& upstream, const routing::routing_request& request,
        const routing::call_result& result);

    void apply_cache_event(
        const std::string& upstream, std::uint64_t sequence,
        const std::vector<std::uint64_t>& stored,
        const std::vector<std::uint64_t>& evicted);

    void count_request();
    retry::retry_decision decide_retry(const retry::failed_call& call);

    rate::reserve_result reserve(const std::string& account, double tokens);
    void settle(const rate::reservation& reserved, double used_tokens);

    /// Periodic work: applies new views and refuses waiting requests whose
    /// deadline has passed. Call about every tick_interval.
    void tick();

    /// Refuses new requests from now on; waiting ones still run.
    void shut_down();

    /// Number of requests that wait or run.
    std::size_t pending() const;

    static constexpr std::chrono::milliseconds tick_interval{100};

private:
    enum class wait_state
    {
        waiting,
        may_run,
        refused
    };

    using waiter = std::function<void(wait_state)>;

    admission::admission_answer submit(
        admission::waiting_request request, const std::string& route,
        const waiter& wake, admission_ticket& out);
    void cancel(std::uint64_t id);
    void apply_new_views(core::time_point now);
    void wake_waiters(const admission::admission_update& update);
    core::duration average_run_time(const std::string& route) const;

    std::shared_ptr<control_view> control_;
    std::shared_ptr<core::clock> clock_;
    std::shared_ptr<core::random_source> random_;
    telemetry::gauge& waiting_gauge_;
    telemetry::gauge& running_gauge_;

    mutable std::mutex mutex_; // Guards the members below.
    decision_modules modules_;
    std::shared_ptr<const membership::fleet_view> fleet_;
    std::shared_ptr<const resource::configuration> configuration_;
    std::map<std::uint64_t, waiter> waiters_;
    std::map<std::string, double>
        average_run_seconds_; // Moving average by route.
    std::uint64_t next_id_ = 1;
    bool published_overloaded_ = false; // Last value of set_overloaded().
};

} // namespace hyssoploft::gateway

#endif
