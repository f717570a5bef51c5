#ifndef HYSSOPLOFT_LIBRATE_RATE_LIMITER_HPP
#define HYSSOPLOFT_LIBRATE_RATE_LIMITER_HPP

// Interface that the gateway uses to keep client accounts within their rate.
// Implementations are thread safe: traffic threads reserve tokens, the control
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
    std::uint64_t epoch = 0; ///< Identifies the take() to refund.
};

struct reserve_result
{
    bool granted = false;
    reservation taken;            ///< Valid if granted.
    core::duration retry_after{}; ///< If refused: when to retry at this VM.
    double credit = 0;            ///< If refused: tokens at this VM.
    double share = 0; ///< If refused: part of the rate that this VM holds.
};

class rate_limiter
{
public:
    virtual ~rate_limiter() = default;

    /// Takes `tokens` of the account's credit at this VM, all or nothing. An
    /// account without a declared rate is refused.
    virtual reserve_result reserve(
        const std::string& account, double tokens, core::time_point now) = 0;

    /// Like reserve(), with `lent` tokens that were borrowed for this request;
    /// unused ones are kept or returned. The default ignores the loan.
    virtual reserve_result reserve_with_loan(
        const std::string& account, double tokens, double lent,
        core::time_point now)
    {
        (void)lent;
        return reserve(account, tokens, now);
    }

    /// Refunds the reserved tokens that were not used. Credit that would have
    /// overflowed the cap in the meantime is not refunded.
    virtual void settle(
        const reservation& taken, double used_tokens, core::time_point now) = 0;
};

} // namespace hyssoploft::rate

#endif
