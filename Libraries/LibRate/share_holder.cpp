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
constexpr double rise_weight = 0.6;
constexpr double fall_seconds = 1.5;
constexpr core::duration measure_interval = std::chrono::milliseconds(300);
/// Fraction of its cap that a VM starts with, so that the first requests need
/// not wait. A previous process of the VM may have used it already.
constexpr double first_credit = 0.3;
/// Upper bound of the time after which a refused caller is told to retry.
constexpr core::duration retry_after_renewal = std::chrono::seconds(1);

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
        it.excess += it.bucket.advance(now);
        it.declared = declared;
        configure(name, it, now);
        if (added)
        {
            it.bucket.add(first_credit * it.bucket.cap());
        }
    }
}

double
share_holder::share_of(const std::string& account, core::time_point now) const
{
    double out = 0;
    for (const auto& [name, it] : grantors_)
    {
        const auto found = it.parts.find(account);
        if (now < it.end && found != it.parts.end())
        {
            out += it.weight * found->second;
        }
    }
    return std::min(1.0, out);
}

void share_holder::configure(
    const std::string& name, account_state& it, core::time_point now)
{
    const double part = share_of(name, now);
    // The clock may run 1% fast; compensates so that accrual stays within the
    // rate in real time.
    it.bucket.configure(
        (1.0 - pool_rate_share) * part * it.declared.tokens_per_second /
            clock_drift,
        (1.0 - pool_burst_share) * (it.declared.burst_tokens + extra_burst_) /
            vms_);
}

void share_holder::measure_demand(core::time_point now)
{
    if (now - measured_ < measure_interval)
    {
        return;
    }
    const double seconds =
        std::clamp(core::to_seconds(now - measured_), 1e-3, fall_seconds);
    measured_ = now;
    for (auto& [name, it] : accounts_)
    {
        const double observed = it.asked / seconds;
        it.asked = 0;
        if (observed >= it.demand)
        {
            it.demand += rise_weight * (observed - it.demand);
        }
        else
        {
            const double keep = std::exp(-seconds / fall_seconds);
            it.demand = observed + keep * (it.demand - observed);
        }
    }
}

share_request
share_holder::build_request(const std::string& grantor, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    measure_demand(now);
    auto& own = grantors_[grantor];
    share_request out;
    out.sequence = ++own.sequence;
    out.applied = own.applied;
    own.sent[out.sequence] = now;
    std::erase_if(own.sent, [now](const auto& it) {
        return now - it.second > share_lease_time;
    });
    const bool in_force = now < own.end;
    for (auto& [name, it] : accounts_)
    {
        const auto held = own.parts.find(name);
        it.excess += it.bucket.advance(now);
        // Credit is returned only to a grantor whose lease is in force: other
        // VMs may no longer be grantors. It is lost if the request is lost.
        const double returned = in_force ? std::exchange(it.excess, 0.0) : 0.0;
        out.demands.push_back(
            {name, static_cast<float>(it.demand),
             in_force && held != own.parts.end()
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
    auto& own = grantors_[grantor];
    const auto sent = own.sent.find(grant.sequence);
    const bool usable = sent != own.sent.end() && grant.grantors > 0 &&
                        grant.sequence > own.applied;
    if (!usable)
    {
        return false;
    }
    for (auto& [name, it] : accounts_)
    {
        it.excess += it.bucket.advance(now);
    }
    own.applied = grant.sequence;
    own.end = sent->second + share_lease_time;
    own.weight = 1.0 / grant.grantors;
    own.parts.clear();
    for (const auto& it : grant.shares)
    {
        own.parts[it.account] = it.part;
    }
    for (auto& [name, it] : accounts_)
    {
        configure(name, it, now);
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
        out.retry_after = retry_after_renewal;
        return out;
    }
    found->second.asked += tokens;
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
        out.retry_after = retry_after_renewal;
        return out;
    }
    return take(account, found->second, tokens, lent, now);
}

reserve_result share_holder::take(
    const std::string& account, account_state& it, double tokens, double lent,
    core::time_point now)
{
    reserve_result out;
    it.excess += it.bucket.advance(now);
    configure(account, it, now);
    if (it.bucket.take(std::max(0.0, tokens - lent)))
    {
        it.excess += it.bucket.add(std::max(0.0, lent - tokens));
        out.granted = true;
        out.taken = {account, tokens, it.bucket.epoch()};
        return out;
    }
    out.credit = it.bucket.credit();
    out.share = share_of(account, now);
    out.retry_after = std::min<core::duration>(
        it.bucket.wait_for(tokens), retry_after_renewal);
    it.excess += it.bucket.add(lent);
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
    it.excess += it.bucket.advance(now);
    it.bucket.give_back(taken.epoch, taken.tokens - used_tokens);
}

double share_holder::share(const std::string& account, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    return share_of(account, now);
}

} // namespace hyssoploft::rate
