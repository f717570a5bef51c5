#ifndef HYSSOPLOFT_LIBGATEWAY_AUTHENTICATOR_HPP
#define HYSSOPLOFT_LIBGATEWAY_AUTHENTICATOR_HPP

// Finds the client account of a caller's key and limits guesses per address.

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
    /// `secret` is the fleet's secret for the keyed hashes of keys.
    explicit authenticator(std::string secret);

    /// The account of the key in `it`, or the refusal to answer with.
    std::variant<identity, refusal> authenticate(
        const http::exchange& it, const resource::configuration& declared,
        const control_view& control, core::time_point now);

private:
    struct bad_key_credit
    {
        double credit = 0; // Further bad keys that are accepted.
        core::time_point updated{};
    };

    bool may_try(const std::string& address, core::time_point now);
    void count_failure(const std::string& address, core::time_point now);

    const std::string secret_;
    std::mutex mutex_; // Guards the members below.
    std::map<std::string, bad_key_credit> credits_by_address_;
    std::deque<std::string> address_order_; // Oldest first, for eviction.
};

} // namespace hyssoploft::gateway

#endif
