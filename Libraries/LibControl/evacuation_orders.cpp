// Proposes orders on the revision that their callers can know.

#include <LibControl/evacuation_orders.hpp>

#include <LibCore/log_line.hpp>
#include <LibGateway/await_callback.hpp>

#include <glog/logging.h>

#include <chrono>
#include <utility>

namespace hyssoploft::control {

namespace {

/// Time for which operators wait for an answer before they ask another VM. An
/// older order is not proposed on a newer revision.
constexpr std::chrono::seconds operator_timeout{1};

struct order_outcome
{
    std::string_view name;
    std::uint64_t based_on = 0;
    core::duration age{};
};

void log_outcome(const evacuation_order& order, const order_outcome& it)
{
    LOG(INFO) << core::log_line("evacuation_order")
                     .with("data_center", order.data_center)
                     .with("active", order.active ? 1 : 0)
                     .with("based_on", it.based_on)
                     .with("age_s", core::to_seconds(it.age))
                     .with("outcome", std::string(it.name));
}

} // namespace

http::asio::awaitable<absl::Status> evacuation_orders::submit(
    http::asio::any_io_executor executor, evacuation_order order,
    presence caller_waits)
{
    const auto read_at = clock_->now();
    auto based_on = co_await gateway::await_callback<std::uint64_t>(
        executor, [&](auto done) {
            log_.read_evacuation_order(order.data_center, done);
        });
    for (;;)
    {
        // NOTE: After the revision is known. A caller that waits now had not
        // sent a later order when the revision was read.
        if (!caller_waits())
        {
            log_outcome(
                order, {"caller_gone", based_on, clock_->now() - read_at});
            co_return absl::AbortedError("the caller has gone");
        }
        using result = absl::StatusOr<evacuation_result>;
        const auto changed =
            co_await gateway::await_callback<result>(executor, [&](auto done) {
                log_.change_evacuation(
                    {order.data_center, order.active, based_on}, done);
            });
        const auto age = clock_->now() - read_at;
        if (!changed.ok())
        {
            log_outcome(order, {"not_acknowledged", based_on, age});
            co_return changed.status();
        }
        if (changed->applied)
        {
            log_outcome(order, {"applied", based_on, age});
            co_return absl::OkStatus();
        }
        log_outcome(order, {"outdated", based_on, age});
        if (age >= operator_timeout)
        {
            co_return absl::AbortedError(
                "newer orders for the data centre came first");
        }
        based_on = changed->revision;
    }
}

} // namespace hyssoploft::control
