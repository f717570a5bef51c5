#ifndef HYSSOPLOFT_LIBRATE_CREDIT_POOL_HPP
#define HYSSOPLOFT_LIBRATE_CREDIT_POOL_HPP

// One grantor's part of the credit that VMs borrow from for requests that
// their own credit does not cover. Pure.
//
// Invariant: what the pool lends in any time is at most its part of the burst
// and what accrued or was returned meanwhile.

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
    /// A pool that is not `fresh` had an earlier process, whose loans are not
    /// known: it starts with a small part of its credit.
    explicit credit_pool(bool fresh) : fresh_(fresh) {}

    /// Puts declared rates in force. `extra_burst` is added to each burst, in
    /// tokens, as at the VMs.
    void install(
        const std::map<std::string, account_rate>& rates, double extra_burst,
        core::time_point now);

    /// Grantors among which the pools' credit is divided evenly; 0: this VM
    /// lends nothing.
    void set_grantors(std::uint32_t grantors, core::time_point now);

    /// Lends up to `wanted` tokens. While credit is scarce, a request of any
    /// size gets all that is left or nothing, so that small requests don't
    /// take all of it away from large ones.
    loan_answer
    lend(const std::string& account, double wanted, core::time_point now);

    /// Credit that accrued at a VM whose bucket was full.
    void
    put_back(const std::string& account, double tokens, core::time_point now);

    /// Tokens that could be lent now; 0 for an unknown account.
    double credit(const std::string& account, core::time_point now);

private:
    struct account_state
    {
        explicit account_state(core::time_point now) : bucket(now) {}

        account_rate declared;
        token_bucket bucket;
    };

    void configure(account_state& it, core::time_point now) const;

    const bool fresh_;
    double extra_burst_ = 0;
    std::uint32_t grantors_ = 0;
    // Accounts that are not declared any more stay with a rate of 0, so that
    // one that is declared again does not get a second burst.
    std::map<std::string, account_state> accounts_;
};

} // namespace hyssoploft::rate

#endif
