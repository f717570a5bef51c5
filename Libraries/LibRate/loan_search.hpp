#ifndef HYSSOPLOFT_LIBRATE_LOAN_SEARCH_HPP
#define HYSSOPLOFT_LIBRATE_LOAN_SEARCH_HPP

// Selects the grantors from which a VM borrows credit for one request: those of
// its region one after the other, then all others at once. Performs no I/O.

#include <LibCore/time.hpp>
#include <LibRate/credit_messages.hpp>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace hyssoploft::rate {

/// Grantors that did not answer in time. A request that asks them waits for
/// their timeout, so they are left out until they are heard again.
class silent_grantors
{
public:
    void timed_out(const std::string& grantor);

    /// The grantor sent an answer of any kind.
    void answered(const std::string& grantor);

    /// Removes the silent grantors from both lists, unless no grantor would be
    /// left.
    void remove_from(
        std::vector<std::string>& same_region,
        std::vector<std::string>& other_regions) const;

private:
    std::set<std::string> silent_;
};

/// Time for which a VM asks for no credit of an account after every grantor
/// refused it. A grantor gets at most `max_refused_requests` such requests a
/// second from all `entry_vms`, also for an account far above its rate.
core::duration refused_loan_backoff(std::uint32_t entry_vms);

inline constexpr std::uint32_t max_refused_requests = 500; ///< Per second.

class loan_search
{
public:
    /// Both lists name grantors, in the order in which they are asked.
    loan_search(
        double wanted, std::vector<std::string> same_region,
        std::vector<std::string> other_regions);

    struct question
    {
        std::string grantor;
        double tokens = 0;
    };

    /// Requests to send in the next round; empty when the search has ended. All
    /// requests of a round must be answered before the next round.
    std::vector<question> next_round();

    /// Records an answer; a default one stands for a missing answer.
    void answered(const loan_answer& it);

    /// Tokens lent so far; may exceed the amount wanted.
    double lent() const
    {
        return lent_;
    }

    /// Shortest retry time reported by a grantor that lent nothing; zero if
    /// none reported one.
    core::duration retry_after() const
    {
        return retry_after_;
    }

private:
    const double wanted_;
    std::vector<std::string> same_region_; // Not asked yet.
    std::vector<std::string> other_regions_;
    double lent_ = 0;
    core::duration retry_after_{};
};

} // namespace hyssoploft::rate

#endif
