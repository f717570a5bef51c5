// Start-time fair queueing.

#include <LibAdmission/fair_queue.hpp>

#include <algorithm>

namespace hyssoploft::admission {

namespace {

// A request without cost would never advance its account's virtual time.
constexpr double min_cost = 1.0;

// Above this number, accounts without a queue or a debt are forgotten.
constexpr std::size_t max_idle_accounts = 4096;

double cost_of(const waiting_request& it)
{
    return std::max(min_cost, it.cost_tokens);
}

} // namespace

void fair_queue::enter(account_map::iterator account)
{
    account_queue& queue = account->second;
    queue.start_tag = std::max(virtual_time_, queue.finish_tag);
    queue.weight = queue.requests.front().weight;
    weights_ += queue.weight;
    order_.emplace(queue.start_tag, account->first);
}

void fair_queue::leave(account_map::iterator account)
{
    order_.erase({account->second.start_tag, account->first});
    weights_ -= account->second.weight;
    if (order_.empty())
    {
        weights_ = 0; // Drops rounding errors.
    }
}

void fair_queue::push(const waiting_request& request)
{
    forget_idle();
    const auto account = accounts_.try_emplace(request.account).first;
    account_queue& queue = account->second;
    queue.requests.push_back(request);
    queue.tokens += cost_of(request);
    tokens_ += cost_of(request);
    places_.emplace(
        request.id, place{request.account, std::prev(queue.requests.end())});
    if (queue.requests.size() == 1)
    {
        enter(account);
    }
}

const waiting_request* fair_queue::front() const
{
    return order_.empty()
               ? nullptr
               : &accounts_.at(order_.begin()->second).requests.front();
}

waiting_request fair_queue::pop()
{
    waiting_request request = *front();
    account_queue& queue = accounts_.at(request.account);
    const double start = queue.start_tag;
    charge(queue, start, cost_of(request), request.weight);
    erase(request.id);
    return request;
}

void fair_queue::charge(const waiting_request& request)
{
    forget_idle();
    account_queue& queue = accounts_[request.account];
    charge(
        queue, std::max(virtual_time_, queue.finish_tag), cost_of(request),
        request.weight);
}

void fair_queue::charge(
    account_queue& queue, double start, double cost, double weight)
{
    virtual_time_ = std::max(virtual_time_, start);
    queue.finish_tag = start + cost / weight;
    last_finish_ = std::max(last_finish_, queue.finish_tag);
}

void fair_queue::correct(
    const std::string& account, double tokens, double weight)
{
    const auto pos = accounts_.find(account);
    if (pos == accounts_.end())
    {
        return;
    }
    account_queue& queue = pos->second;
    const bool waits = !queue.requests.empty();
    if (waits)
    {
        leave(pos);
    }
    queue.finish_tag += tokens / weight;
    last_finish_ = std::max(last_finish_, queue.finish_tag);
    if (waits)
    {
        enter(pos);
    }
}

bool fair_queue::erase(std::uint64_t id)
{
    const auto pos = places_.find(id);
    if (pos == places_.end())
    {
        return false;
    }
    const auto account = accounts_.find(pos->second.account);
    account_queue& queue = account->second;
    const double cost = cost_of(*pos->second.position);
    const bool was_first = pos->second.position == queue.requests.begin();
    if (was_first)
    {
        leave(account);
    }
    queue.tokens -= cost;
    tokens_ -= cost;
    queue.requests.erase(pos->second.position);
    places_.erase(pos);
    if (places_.empty())
    {
        tokens_ = 0; // Drops rounding errors.
    }
    if (queue.requests.empty())
    {
        queue.tokens = 0;
    }
    else if (was_first)
    {
        enter(account);
    }
    return true;
}

void fair_queue::end_busy_period()
{
    if (places_.empty())
    {
        accounts_.clear();
        virtual_time_ = std::max(virtual_time_, last_finish_);
    }
}

void fair_queue::forget_idle()
{
    if (accounts_.size() < max_idle_accounts)
    {
        return;
    }
    std::erase_if(accounts_, [&](const auto& it) {
        return it.second.requests.empty() &&
               it.second.finish_tag <= virtual_time_;
    });
}

std::size_t fair_queue::size(const std::string& account) const
{
    const auto pos = accounts_.find(account);
    return pos == accounts_.end() ? 0 : pos->second.requests.size();
}

double fair_queue::tokens(const std::string& account) const
{
    const auto pos = accounts_.find(account);
    return pos == accounts_.end() ? 0.0 : pos->second.tokens;
}

} // namespace hyssoploft::admission
