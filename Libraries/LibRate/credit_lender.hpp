#ifndef HYSSOPLOFT_LIBRATE_CREDIT_LENDER_HPP
#define HYSSOPLOFT_LIBRATE_CREDIT_LENDER_HPP

// Interface through which traffic borrows credit that its VM does not hold.

#include <LibCore/time.hpp>

#include <functional>
#include <string>

namespace hyssoploft::rate {

struct loan
{
    double tokens = 0;            ///< Taken from the pools, in any case.
    core::duration retry_after{}; ///< If less than asked for.
};

class credit_lender
{
public:
    virtual ~credit_lender() = default;

    using loan_handler = std::function<void(loan)>;

    /// Collects up to `tokens` or a little more. `done` is called once, from
    /// any thread. Thread safe; returns at once.
    virtual void
    borrow(const std::string& account, double tokens, loan_handler done) = 0;
};

} // namespace hyssoploft::rate

#endif
