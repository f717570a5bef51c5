#ifndef HYSSOPLOFT_LIBADMISSION_FAIR_QUEUE_HPP
#define HYSSOPLOFT_LIBADMISSION_FAIR_QUEUE_HPP

// Start-time fair queueing (Goyal, Vin and Cheng, 1996) of requests, in
// tokens divided by the weight of the account. Within an account requests
// keep their order.

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
    /// Appends to the queue of its account. The identifier must be new.
    void push(const waiting_request& request);

    /// The request to run next; null if none waits.
    const waiting_request* front() const;

    /// Removes front() and charges its account.
    waiting_request pop();

    /// Charges a request that runs without having waited.
    void charge(const waiting_request& request);

    /// Corrects a charge by the real cost. Negative: less than charged.
    void correct(const std::string& account, double tokens, double weight);

    /// Removes a waiting request. False if it doesn't wait here.
    bool erase(std::uint64_t id);

    /// Forgets what accounts were served. Call when nothing waits or runs.
    void end_busy_period();

    std::size_t size() const
    {
        return places_.size();
    }

    std::size_t size(const std::string& account) const;

    /// Tokens that wait, of all accounts or of one.
    double tokens() const
    {
        return tokens_;
    }

    double tokens(const std::string& account) const;

    /// Sum of the weights of the accounts that wait.
    double weights() const
    {
        return weights_;
    }

private:
    struct account_queue
    {
        std::list<waiting_request> requests;
        double tokens = 0;     // Of `requests`.
        double finish_tag = 0; // Virtual time when its service ends.
        double start_tag = 0;  // Of the first request, if there is one.
        double weight = 1;     // As counted in weights_.
    };

    struct place
    {
        std::string account;
        std::list<waiting_request>::iterator position;
    };

    using account_map = std::map<std::string, account_queue>;

    void enter(account_map::iterator account);
    void leave(account_map::iterator account);
    void charge(account_queue& queue, double start, double cost, double weight);
    void forget_idle();

    account_map accounts_;
    std::set<std::pair<double, std::string>> order_; // Start tag and account.
    std::unordered_map<std::uint64_t, place> places_;
    double virtual_time_ = 0; // Never decreases.
    double last_finish_ = 0;
    double tokens_ = 0;
    double weights_ = 0;
};

} // namespace hyssoploft::admission

#endif
