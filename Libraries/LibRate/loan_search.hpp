#ifndef HYSSOPLOFT_LIBRATE_LOAN_SEARCH_HPP
#define HYSSOPLOFT_LIBRATE_LOAN_SEARCH_HPP

// Which grantors a VM asks for the credit of one request: those of its region
// one after the other, then all others at once. Pure.

#include <LibCore/time.hpp>
#include <LibRate/credit_messages.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace hyssoploft::rate {

class loan_search
{
public:
    /// `near` and `far` are grantors, in the order in which they are asked.
    loan_search(
        double wanted, std::vector<std::string> near,
        std::vector<std::string> far);

    struct question
    {
        std::string grantor;
        double tokens = 0;
    };

    /// The questions of the next round; empty when the search has ended. All
    /// of a round must be answered before the next one.
    std::vector<question> next_round();

    /// An answer, or a default one if none came.
    void answered(const loan_answer& it);

    /// May exceed what was wanted.
    double lent() const
    {
        return lent_;
    }

    /// The shortest time after which a grantor that lent nothing expects
    /// credit; zero if none said so.
    core::duration retry_after() const
    {
        return retry_after_;
    }

private:
    const double wanted_;
    std::vector<std::string> near_; // Not asked yet.
    std::vector<std::string> far_;
    double lent_ = 0;
    core::duration retry_after_{};
};

} // namespace hyssoploft::rate

#endif
