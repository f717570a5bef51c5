#ifndef HYSSOPLOFT_LIBRATE_CREDIT_POOL_HPP
#define HYSSOPLOFT_LIBRATE_CREDIT_POOL_HPP

// One grantor's pool of credit, from which VMs borrow for requests that their
// own credit does not cover. Performs no I/O and reads no clock.
//
// Invariant: over any period the pool lends at most its part of the burst plus
// the credit that accrued or was returned in that period.

#include <LibCore/time.hpp>
#include <LibRate/credit_messages.hpp>
#include <LibRate/declared_rates.hpp>
#include <LibRate/token_bucket.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace hyssoploft::rate {

class credit_pool
{
public:
    /// Unless this is the first start of the VM, loans of the previous process
    /// are unknown, and the pool starts with a fraction of its credit.
    explicit credit_pool(bool first_start) : first_start_(first_start) {}

    /// Applies declared rates. `extra_burst` is added to each burst, in tokens;
    /// the share holders must use the same value.
    void install(
        const std::map<std::string, account_rate>& rates, double extra_burst,
        core::time_point now);

    /// Sets the number of grantors between which the credit is divided evenly;
    /// with 0 this VM lends nothing.
    void set_grantors(std::uint32_t grantors, core::time_point now);

    /// Lends up to `wanted` tokens. Lends nothing at or below a reserve, and
    /// any available amount above it, so that small requests don't starve
    /// large ones.
    loan_answer
    lend(const std::string& account, double wanted, core::time_point now);

    /// Adds credit that a VM returned because its bucket was full.
    void
    put_back(const std::string& account, double tokens, core::time_point now);

    /// Tokens in the pool; 0 for an unknown account.
    double credit(const std::string& account, core::time_point now);

private:
    struct account_state
    {
        explicit account_state(core::time_point now) : bucket(now) {}

        account_rate declared;
        token_bucket bucket;
        bool has_first_credit = false; // Given once in a process.
    };

    void configure(account_state& it, core::time_point now) const;
    void add_first_credit(account_state& it) const;

    const bool first_start_;
    double extra_burst_ = 0;
    std::uint32_t grantors_ = 0;
    // Removed accounts stay with a rate of 0, so that an account that is
    // declared again does not get a second burst.
    std::map<std::string, account_state> accounts_;
};

} // namespace hyssoploft::rate

#endif
