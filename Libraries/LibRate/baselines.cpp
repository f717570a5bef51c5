// Fixed shares and a model of a central counter.

#include <LibRate/baselines.hpp>

#include <algorithm>

namespace hyssoploft::rate {

fixed_share_limiter::fixed_share_limiter(
    const declared_rates& rates, double share, core::time_point now)
{
    for (const auto& [name, it] : rates.accounts)
    {
        token_bucket& bucket = buckets_.try_emplace(name, now).first->second;
        bucket.configure(
            share * it.tokens_per_second / clock_drift,
            share * it.burst_tokens);
    }
}

reserve_result fixed_share_limiter::reserve(
    const std::string& account, double tokens, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    reserve_result result;
    const auto pos = buckets_.find(account);
    if (pos == buckets_.end())
    {
        result.retry_after = renewal_interval;
        return result;
    }
    token_bucket& bucket = pos->second;
    bucket.advance(now);
    result.granted = bucket.take(tokens);
    if (result.granted)
    {
        result.taken = {account, tokens, bucket.epoch()};
        return result;
    }
    result.retry_after = bucket.time_until_available(tokens);
    return result;
}

void fixed_share_limiter::settle(
    const reservation& taken, double used_tokens, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    const auto pos = buckets_.find(taken.account);
    if (pos != buckets_.end())
    {
        pos->second.advance(now);
        pos->second.refund(
            taken.epoch, taken.tokens - std::max(0.0, used_tokens));
    }
}

reserve_result central_counter::reserve(
    const std::string& account, double tokens, core::time_point now)
{
    if (!reachable_)
    {
        reserve_result result;
        result.retry_after = renewal_interval;
        return result;
    }
    return counter_->reserve(account, tokens, now + round_trip_ / 2);
}

void central_counter::settle(
    const reservation& taken, double used_tokens, core::time_point now)
{
    if (reachable_)
    {
        counter_->settle(taken, used_tokens, now + round_trip_ / 2);
    }
}

} // namespace hyssoploft::rate
