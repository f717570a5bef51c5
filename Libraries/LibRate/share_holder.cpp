// Combines the leases of several grantors into one token bucket per account.

#include <LibRate/share_holder.hpp>

#include <LibRate/credit_split.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace hyssoploft::rate {

namespace {

/// Demand is an exponential moving average that follows a rise within two
/// measurements and a fall more slowly, since requests come in bursts. The
/// decay is still fast, since callers move between regions within seconds.
constexpr double demand_rise_weight = 0.6;
constexpr double demand_decay_seconds = 1.5;
constexpr core::duration demand_interval = std::chrono::milliseconds(300);
/// Fraction of its cap that a VM starts with, so that the first requests need
/// not wait. A previous process of the VM may have used it already.
constexpr double initial_credit_fraction = 0.3;
/// Upper bound of the time after which a refused caller is told to retry.
constexpr core::duration max_retry_after = std::chrono::seconds(1);

} // namespace

void share_holder::install(
    const std::map<std::string, account_rate>& rates, double extra_burst,
    std::uint32_t vms, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    extra_burst_ = extra_burst;
    vms_ = std::max(1U, vms);
    std::erase_if(accounts_, [&](const auto& it) {
        return !rates.contains(it.first);
    });
    for (const auto& [name, declared] : rates)
    {
        const auto [found, added] = accounts_.try_emplace(name, now);
        auto& it = found->second;
        it.excess_tokens += it.bucket.advance(now);
        it.declared = declared;
        configure_bucket(name, it, now);
        if (added)
        {
            it.bucket.add(initial_credit_fraction * it.bucket.cap());
        }
    }
}

double share_holder::current_share(
    const std::string& account, core::time_point now) const
{
    double out = 0;
    for (const auto& [name, it] : grantors_)
    {
        const auto found = it.parts.find(account);
        if (now < it.lease_end && found != it.parts.end())
        {
            out += it.weight * found->second;
        }
    }
    return std::min(1.0, out);
}

void share_holder::configure_bucket(
    const std::string& name, account_state& it, core::time_point now)
{
    const double part = current_share(name, now);
    // The clock may run 1% fast; compensates so that accrual stays within the
    // rate in real time.
    it.bucket.configure(
        (1.0 - pool_rate_share) * part * it.declared.tokens_per_second /
            clock_drift,
        (1.0 - pool_burst_share) * (it.declared.burst_tokens + extra_burst_) /
            vms_);
}

void share_holder::update_demand(core::time_point now)
{
    if (now - demand_updated_at_ < demand_interval)
    {
        return;
    }
    const double seconds = std::clamp(
        core::to_seconds(now - demand_updated_at_), 1e-3, demand_decay_seconds);
    demand_updated_at_ = now;
    for (auto& [name, it] : accounts_)
    {
        const double observed = it.requested_tokens / seconds;
        it.requested_tokens = 0;
        if (observed >= it.demand)
        {
            it.demand += demand_rise_weight * (observed - it.demand);
        }
        else
        {
            const double decay = std::exp(-seconds / demand_decay_seconds);
            it.demand = observed + decay * (it.demand - observed);
        }
    }
}

share_request
share_holder::build_request(const std::string& grantor, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    update_demand(now);
    auto& state = grantors_[grantor];
    share_request out;
    out.sequence = ++state.sequence;
    out.applied = state.applied;
    state.requests_sent_at[out.sequence] = now;
    std::erase_if(state.requests_sent_at, [now](const auto& it) {
        return now - it.second > share_lease_time;
    });
    const bool in_force = now < state.lease_end;
    for (auto& [name, it] : accounts_)
    {
        const auto held = state.parts.find(name);
        it.excess_tokens += it.bucket.advance(now);
        // Credit is returned only to a grantor whose lease is in force: other
        // VMs may no longer be grantors. It is lost if the request is lost.
        const double returned =
            in_force ? std::exchange(it.excess_tokens, 0.0) : 0.0;
        out.demands.push_back(
            {name, static_cast<float>(it.demand),
             in_force && held != state.parts.end()
                 ? static_cast<float>(held->second)
                 : 0.0F,
             static_cast<float>(returned)});
    }
    return out;
}

bool share_holder::apply(
    const std::string& grantor, const share_grant& grant, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    auto& state = grantors_[grantor];
    const auto sent = state.requests_sent_at.find(grant.sequence);
    const bool is_applicable = sent != state.requests_sent_at.end() &&
                               grant.grantors > 0 &&
                               grant.sequence > state.applied;
    if (!is_applicable)
    {
        return false;
    }
    for (auto& [name, it] : accounts_)
    {
        it.excess_tokens += it.bucket.advance(now);
    }
    state.applied = grant.sequence;
    state.lease_end = sent->second + share_lease_time;
    state.weight = 1.0 / grant.grantors;
    state.parts.clear();
    for (const auto& it : grant.shares)
    {
        state.parts[it.account] = it.part;
    }
    for (auto& [name, it] : accounts_)
    {
        configure_bucket(name, it, now);
    }
    return true;
}

reserve_result share_holder::reserve(
    const std::string& account, double tokens, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    reserve_result out;
    const auto found = accounts_.find(account);
    if (found == accounts_.end())
    {
        out.retry_after = max_retry_after;
        return out;
    }
    found->second.requested_tokens += tokens;
    return take(account, found->second, tokens, 0, now);
}

reserve_result share_holder::reserve_with_loan(
    const std::string& account, double tokens, double lent,
    core::time_point now)
{
    const std::lock_guard lock(mutex_);
    reserve_result out;
    const auto found = accounts_.find(account);
    if (found == accounts_.end())
    {
        out.retry_after = max_retry_after;
        return out;
    }
    return take(account, found->second, tokens, lent, now);
}

reserve_result share_holder::take(
    const std::string& account, account_state& it, double tokens, double lent,
    core::time_point now)
{
    reserve_result out;
    it.excess_tokens += it.bucket.advance(now);
    configure_bucket(account, it, now);
    if (it.bucket.take(std::max(0.0, tokens - lent)))
    {
        it.excess_tokens += it.bucket.add(std::max(0.0, lent - tokens));
        out.granted = true;
        out.taken = {account, tokens, it.bucket.epoch()};
        return out;
    }
    out.credit = it.bucket.credit();
    out.share = current_share(account, now);
    out.retry_after = std::min<core::duration>(
        it.bucket.time_until_available(tokens), max_retry_after);
    it.excess_tokens += it.bucket.add(lent);
    return out;
}

void share_holder::settle(
    const reservation& taken, double used_tokens, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    const auto found = accounts_.find(taken.account);
    if (found == accounts_.end())
    {
        return;
    }
    auto& it = found->second;
    it.excess_tokens += it.bucket.advance(now);
    it.bucket.refund(taken.epoch, taken.tokens - used_tokens);
}

double share_holder::share(const std::string& account, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    return current_share(account, now);
}

} // namespace hyssoploft::rate
