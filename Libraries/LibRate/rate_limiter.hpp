#ifndef HYSSOPLOFT_LIBRATE_RATE_LIMITER_HPP
#define HYSSOPLOFT_LIBRATE_RATE_LIMITER_HPP

// Interface that the gateway uses to keep client accounts within their rate.
// Implementations are thread safe: traffic threads reserve, the control
// thread installs rates and leases.

#include <LibCore/time.hpp>

#include <cstdint>
#include <string>

namespace hyssoploft::rate {

/// Identifies a reservation until it is settled.
struct reservation
{
    std::string account;
    double tokens = 0;
    std::uint64_t epoch = 0; ///< Credit period that it was taken from.
};

struct reserve_result
{
    bool granted = false;
    reservation taken;            ///< Valid if granted.
    core::duration retry_after{}; ///< If not; when to try again at this VM.
    double credit = 0;            ///< If not: tokens at this VM, for the log.
    double share = 0; ///< If not: part of the rate that this VM holds.
};

class rate_limiter
{
public:
    virtual ~rate_limiter() = default;

    /// Takes `tokens` of the account's credit at this VM, all or nothing. An
    /// account without a declared rate is refused.
    virtual reserve_result reserve(
        const std::string& account, double tokens, core::time_point now) = 0;

    /// The same with `lent` tokens that were borrowed for this request; what
    /// is left of them is not lost. By default nothing can be borrowed.
    virtual reserve_result reserve_with_loan(
        const std::string& account, double tokens, double lent,
        core::time_point now)
    {
        (void)lent;
        return reserve(account, tokens, now);
    }

    /// Gives back what was reserved but not used. Credit of a period that has
    /// ended is not given back.
    virtual void settle(
        const reservation& taken, double used_tokens, core::time_point now) = 0;
};

} // namespace hyssoploft::rate

#endif
