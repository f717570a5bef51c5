#ifndef HYSSOPLOFT_LIBADMISSION_FAIR_QUEUE_HPP
#define HYSSOPLOFT_LIBADMISSION_FAIR_QUEUE_HPP

// Start-time fair queueing (Goyal, Vin and Cheng, 1996) of requests. Virtual
// time counts tokens divided by the weight of the account. Requests of one
// account keep their order.

#include <LibAdmission/admission.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace hyssoploft::admission {

class fair_queue
{
public:
    /// Appends `request` to the queue of its account. Its id must be new.
    void push(const waiting_request& request);

    /// The request to run next, or null if none waits.
    const waiting_request* front() const;

    /// Removes front() and charges its account.
    waiting_request pop();

    /// Charges the account of a request that runs without having waited.
    void charge(const waiting_request& request);

    /// Adds the real cost minus the charged cost to the account's charge;
    /// negative if less than the estimate was used.
    void
    adjust_charge(const std::string& account, double tokens, double weight);

    /// Removes a waiting request. Returns false if it is not in the queue.
    bool erase(std::uint64_t id);

    /// Resets the service received by accounts. Call when no request waits or
    /// runs.
    void end_busy_period();

    std::size_t size() const
    {
        return entries_.size();
    }

    std::size_t size(const std::string& account) const;

    /// Cost of the waiting requests of all accounts or of one.
    double queued_tokens() const
    {
        return queued_tokens_;
    }

    double queued_tokens(const std::string& account) const;

    /// Sum of the weights of the accounts that have waiting requests.
    double total_weight() const
    {
        return total_weight_;
    }

private:
    struct account_queue
    {
        std::list<waiting_request> requests;
        double queued_tokens = 0; // Of `requests`.
        double finish_tag = 0;    // Virtual time at which its service ends.
        double start_tag = 0;     // Of the first request, if there is one.
        double weight = 1;        // As counted in total_weight_.
    };

    /// Where a waiting request is stored.
    struct entry
    {
        std::string account;
        std::list<waiting_request>::iterator position;
    };

    using account_map = std::map<std::string, account_queue>;

    void activate(account_map::iterator account);
    void deactivate(account_map::iterator account);
    void charge(account_queue& queue, double start, double cost, double weight);
    void evict_idle_accounts();

    account_map accounts_;
    // Start tag and name of each account that has waiting requests.
    std::set<std::pair<double, std::string>> active_accounts_;
    std::unordered_map<std::uint64_t, entry> entries_;
    double virtual_time_ = 0; // Never decreases.
    double max_finish_tag_ = 0;
    double queued_tokens_ = 0;
    double total_weight_ = 0;
};

} // namespace hyssoploft::admission

#endif
