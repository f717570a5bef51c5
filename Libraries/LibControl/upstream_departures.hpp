#ifndef HYSSOPLOFT_LIBCONTROL_UPSTREAM_DEPARTURES_HPP
#define HYSSOPLOFT_LIBCONTROL_UPSTREAM_DEPARTURES_HPP

// Takes the departures of upstreams. One that names no incarnation can grow
// old in a process that stands still, like an operator's order. It therefore
// means an incarnation that was determined before its caller was seen to wait:
// a later start has not called by then.

#include <LibCore/clock.hpp>
#include <LibFleet/departed_upstreams.hpp>
#include <LibHttp/types.hpp>

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hyssoploft::control {

/// The departures that a VM knows. Handlers may run on another thread.
class departure_log
{
public:
    virtual ~departure_log() = default;

    using incarnation_handler = std::function<void(std::uint64_t)>;
    /// As fleet::upstream_table::find_departing().
    virtual void find_departing(
        std::string upstream, std::uint64_t unix_ms,
        incarnation_handler done) = 0;

    using record_handler = std::function<void(absl::Status)>;
    /// Takes the incarnation and earlier ones out of use. OK once the departure
    /// is committed; UNAVAILABLE or DEADLINE_EXCEEDED if it may get lost with
    /// this VM.
    virtual void record_departure(fleet::departure it, record_handler done) = 0;
};

class upstream_departures
{
public:
    /// `log` outlives this object and its calls.
    upstream_departures(departure_log& log, std::shared_ptr<core::clock> clock)
        : log_(log), clock_(std::move(clock))
    {}

    /// Called on the executor's thread.
    using presence = std::function<bool()>;

    /// Records the departure of an upstream that may name its incarnation.
    /// ABORTED if it names none and its caller is gone; else errors of
    /// record_departure().
    http::asio::awaitable<absl::Status> submit(
        http::asio::any_io_executor executor, std::string upstream,
        std::optional<std::uint64_t> incarnation, presence caller_waits);

private:
    departure_log& log_;
    std::shared_ptr<core::clock> clock_;
};

} // namespace hyssoploft::control

#endif
