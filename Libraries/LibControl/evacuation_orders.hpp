#ifndef HYSSOPLOFT_LIBCONTROL_EVACUATION_ORDERS_HPP
#define HYSSOPLOFT_LIBCONTROL_EVACUATION_ORDERS_HPP

// Takes operators' orders to evacuate data centres and to end evacuations. An
// order can grow old in a process that stands still: in its socket, in its
// queues and in its repeats. Only an order whose caller waits is proposed, and
// on the order revision that was read before the caller was seen to wait. An
// order that was acknowledged since then has changed the revision, so that the
// log does not apply the old one.

#include <LibControl/manifest_store.hpp>
#include <LibCore/clock.hpp>
#include <LibHttp/types.hpp>

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace hyssoploft::control {

/// The replicated orders. Handlers may run on another thread.
class evacuation_log
{
public:
    virtual ~evacuation_log() = default;

    using revision_handler = std::function<void(std::uint64_t)>;
    /// Order revision of a data centre as this VM knows it; 0 without a
    /// replica.
    virtual void
    read_evacuation_order(std::string data_center, revision_handler done) = 0;

    using change_handler =
        std::function<void(absl::StatusOr<evacuation_result>)>;
    /// UNAVAILABLE if the change is certainly not in the log,
    /// DEADLINE_EXCEEDED if it may still be applied.
    virtual void
    change_evacuation(evacuation_change change, change_handler done) = 0;
};

struct evacuation_order
{
    std::string data_center;
    bool active = false; ///< Start, or end.
};

class evacuation_orders
{
public:
    /// `log` outlives this object and its calls.
    evacuation_orders(evacuation_log& log, std::shared_ptr<core::clock> clock)
        : log_(log), clock_(std::move(clock))
    {}

    /// Called on the executor's thread.
    using presence = std::function<bool()>;

    /// Replicates an order. ABORTED if the caller is gone or newer orders for
    /// the data centre came first; else errors of change_evacuation().
    http::asio::awaitable<absl::Status> submit(
        http::asio::any_io_executor executor, evacuation_order order,
        presence caller_waits);

private:
    evacuation_log& log_;
    std::shared_ptr<core::clock> clock_;
};

} // namespace hyssoploft::control

#endif
