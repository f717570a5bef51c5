// Determines which incarnation leaves and records that.

#include <LibControl/upstream_departures.hpp>

#include <LibCore/log_line.hpp>
#include <LibGateway/await_callback.hpp>

#include <glog/logging.h>

#include <utility>

namespace hyssoploft::control {

namespace {

/// Identifiers of other writers may be as long as a request's head.
constexpr std::size_t max_logged_id_bytes = 64;
constexpr std::uint64_t nanoseconds_per_millisecond = 1'000'000;

} // namespace

http::asio::awaitable<absl::Status> upstream_departures::submit(
    http::asio::any_io_executor executor, std::string upstream,
    std::optional<std::uint64_t> incarnation, presence caller_waits)
{
    if (!incarnation)
    {
        const auto unix_ms =
            clock_->unix_nanoseconds() / nanoseconds_per_millisecond;
        incarnation = co_await gateway::await_callback<std::uint64_t>(
            executor, [&](auto done) {
                log_.find_departing(upstream, unix_ms, done);
            });
        // NOTE: After the incarnation is known, which is not a later start
        // then.
        if (!caller_waits())
        {
            LOG_EVERY_N(WARNING, 20)
                << core::log_line("departure_abandoned")
                       .with(
                           "upstream", upstream.substr(0, max_logged_id_bytes));
            co_return absl::AbortedError("the caller has gone");
        }
    }
    const fleet::departure it{std::move(upstream), *incarnation};
    co_return co_await gateway::await_callback<absl::Status>(
        executor, [&](auto done) {
            log_.record_departure(it, done);
        });
}

} // namespace hyssoploft::control
