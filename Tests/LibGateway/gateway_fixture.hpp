#ifndef HYSSOPLOFT_TESTS_LIBGATEWAY_GATEWAY_FIXTURE_HPP
#define HYSSOPLOFT_TESTS_LIBGATEWAY_GATEWAY_FIXTURE_HPP

// Runs a gateway on the loopback interface with fakes for its services and with
// test callers.

#include "fakes.hpp"

#include <Support/reserved_address.hpp>
#include <Support/scripted_upstream.hpp>
#include <Support/skipping_clock.hpp>
#include <Support/test_caller.hpp>

#include <LibCore/keyed_hash.hpp>
#include <LibGateway/gateway.hpp>
#include <LibHttp/http_server.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace hyssoploft::tests {

inline constexpr std::string_view key_secret = "secret of keys";
inline constexpr std::string_view fleet_key = "fleet key";
inline constexpr std::string_view good_key = "sk-good-key";

std::string digest_of(std::string_view key);

/// Header line with a valid key.
std::string key_header();

/// A chat completion request, by default with a valid key.
std::string
chat_text(bool stream = false, std::string_view headers = key_header());

/// A booking request on a route that is not idempotent.
std::string booking_text(std::string_view headers = {});

class gateway_fixture
{
public:
    gateway_fixture();
    /// Stops the gateway, then checks that each routing choice, admission and
    /// reservation was finished exactly once.
    ~gateway_fixture();

    answer call(const std::string& text) const;

    void add_upstream(
        const std::string& id, const std::string& role,
        const std::string& region, const std::string& address);

    /// Number of requests that `upstream` received.
    std::size_t calls();

    /// Waits until every routing choice, admission and reservation is finished.
    bool wait_idle();

    monitor state;
    const reserved_address reserved;
    const std::string address = reserved.text();
    std::shared_ptr<skipping_clock> clock = std::make_shared<skipping_clock>();
    std::shared_ptr<fake_control> control;
    std::shared_ptr<fake_ledger> ledger;
    std::shared_ptr<fake_limiter> limiter;
    router_record routing;
    admission_record admission;
    telemetry::metrics metrics;
    scripted_upstream upstream; ///< Engine and booking upstream of "north".
    std::shared_ptr<gateway::gateway> gate;

private:
    std::unique_ptr<gateway::gateway_services> make_services();
    void declare();
    bool idle() const;

    std::shared_ptr<core::system_random> random_;
    core::seeded_random retry_random_{1};
    std::shared_ptr<http::traffic_thread> thread_;
    std::shared_ptr<http::http_server> server_;
};

} // namespace hyssoploft::tests

#endif
