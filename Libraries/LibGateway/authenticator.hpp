#ifndef HYSSOPLOFT_LIBGATEWAY_AUTHENTICATOR_HPP
#define HYSSOPLOFT_LIBGATEWAY_AUTHENTICATOR_HPP

// Finds the client account of a caller's key, and limits guessing.

#include <LibCore/time.hpp>
#include <LibGateway/control_view.hpp>
#include <LibGateway/refusal.hpp>
#include <LibHttp/exchange.hpp>

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace hyssoploft::gateway {

struct identity
{
    std::string account;
    std::string key_digest; ///< Hexadecimal; empty on an open route.
};

class authenticator
{
public:
    /// `secret` is the fleet's secret for keyed hashes of keys.
    explicit authenticator(std::string secret);

    /// The account of the key in `it`, or the refusal to answer with.
    std::variant<identity, refusal> authenticate(
        const http::exchange& it, const resource::configuration& declared,
        const control_view& control, core::time_point now);

private:
    struct failures
    {
        double credit = 0; // Bad keys that are still accepted.
        core::time_point updated{};
    };

    bool may_try(const std::string& address, core::time_point now);
    void count_failure(const std::string& address, core::time_point now);

    const std::string secret_;
    std::mutex mutex_; // Guards the members below.
    std::map<std::string, failures> by_address_;
    std::deque<std::string> order_; // Oldest first; bounds by_address_.
};

} // namespace hyssoploft::gateway

#endif
