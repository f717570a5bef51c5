#ifndef HYSSOPLOFT_LIBRATE_CREDIT_LENDER_HPP
#define HYSSOPLOFT_LIBRATE_CREDIT_LENDER_HPP

// Interface for borrowing credit that the local VM does not hold.

#include <LibCore/time.hpp>

#include <functional>
#include <string>

namespace hyssoploft::rate {

struct loan
{
    double tokens = 0;            ///< Taken from the pools, even if too few.
    core::duration retry_after{}; ///< If fewer tokens than requested.
};

class credit_lender
{
public:
    virtual ~credit_lender() = default;

    using loan_handler = std::function<void(loan)>;

    /// Borrows up to `tokens`, or slightly more. Calls `done` once, from any
    /// thread. Thread safe; does not block.
    virtual void
    borrow(const std::string& account, double tokens, loan_handler done) = 0;
};

} // namespace hyssoploft::rate

#endif
