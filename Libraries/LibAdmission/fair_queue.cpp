// Start tags, finish tags and virtual time of start-time fair queueing.

#include <LibAdmission/fair_queue.hpp>

#include <algorithm>

namespace hyssoploft::admission {

namespace {

// A request without cost would not advance the finish tag of its account.
constexpr double min_cost_tokens = 1.0;

// From this number of accounts on, those that have neither waiting requests nor
// a finish tag in the future are evicted.
constexpr std::size_t idle_eviction_threshold = 4096;

double cost_of(const waiting_request& it)
{
    return std::max(min_cost_tokens, it.cost_tokens);
}

} // namespace

void fair_queue::activate(account_map::iterator account)
{
    account_queue& queue = account->second;
    queue.start_tag = std::max(virtual_time_, queue.finish_tag);
    queue.weight = queue.requests.front().weight;
    total_weight_ += queue.weight;
    active_accounts_.emplace(queue.start_tag, account->first);
}

void fair_queue::deactivate(account_map::iterator account)
{
    active_accounts_.erase({account->second.start_tag, account->first});
    total_weight_ -= account->second.weight;
    if (active_accounts_.empty())
    {
        total_weight_ = 0; // Removes rounding errors.
    }
}

void fair_queue::push(const waiting_request& request)
{
    evict_idle_accounts();
    const auto account = accounts_.try_emplace(request.account).first;
    account_queue& queue = account->second;
    queue.requests.push_back(request);
    queue.queued_tokens += cost_of(request);
    queued_tokens_ += cost_of(request);
    entries_.emplace(
        request.id, entry{request.account, std::prev(queue.requests.end())});
    if (queue.requests.size() == 1)
    {
        activate(account);
    }
}

const waiting_request* fair_queue::front() const
{
    return active_accounts_.empty()
               ? nullptr
               : &accounts_.at(active_accounts_.begin()->second)
                      .requests.front();
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
    evict_idle_accounts();
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
    max_finish_tag_ = std::max(max_finish_tag_, queue.finish_tag);
}

void fair_queue::adjust_charge(
    const std::string& account, double tokens, double weight)
{
    const auto pos = accounts_.find(account);
    if (pos == accounts_.end())
    {
        return;
    }
    account_queue& queue = pos->second;
    const bool is_active = !queue.requests.empty();
    if (is_active)
    {
        deactivate(pos);
    }
    queue.finish_tag += tokens / weight;
    max_finish_tag_ = std::max(max_finish_tag_, queue.finish_tag);
    if (is_active)
    {
        activate(pos);
    }
}

bool fair_queue::erase(std::uint64_t id)
{
    const auto pos = entries_.find(id);
    if (pos == entries_.end())
    {
        return false;
    }
    const auto account = accounts_.find(pos->second.account);
    account_queue& queue = account->second;
    const double cost = cost_of(*pos->second.position);
    const bool was_first = pos->second.position == queue.requests.begin();
    if (was_first)
    {
        deactivate(account);
    }
    queue.queued_tokens -= cost;
    queued_tokens_ -= cost;
    queue.requests.erase(pos->second.position);
    entries_.erase(pos);
    if (entries_.empty())
    {
        queued_tokens_ = 0; // Removes rounding errors.
    }
    if (queue.requests.empty())
    {
        queue.queued_tokens = 0;
    }
    else if (was_first)
    {
        activate(account);
    }
    return true;
}

void fair_queue::end_busy_period()
{
    if (entries_.empty())
    {
        accounts_.clear();
        virtual_time_ = std::max(virtual_time_, max_finish_tag_);
    }
}

void fair_queue::evict_idle_accounts()
{
    if (accounts_.size() < idle_eviction_threshold)
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

double fair_queue::queued_tokens(const std::string& account) const
{
    const auto pos = accounts_.find(account);
    return pos == accounts_.end() ? 0.0 : pos->second.queued_tokens;
}

} // namespace hyssoploft::admission
