// Loan decisions and the division of credit between grantors.

#include <LibRate/credit_pool.hpp>

#include <LibRate/credit_split.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hyssoploft::rate {

namespace {

/// Initial fraction of the cap after a restart, since loans of the previous
/// process are unknown. Over an 8 s window this stays within the 10% by which
/// rates may be exceeded.
constexpr double restart_credit_fraction = 0.4;
/// No loan is made while credit is at or below this fraction of the cap. Above
/// it, a loan may take all available credit.
constexpr double reserve_fraction = 0.2;
constexpr core::duration min_retry_after = std::chrono::milliseconds(50);
constexpr core::duration max_retry_after = std::chrono::seconds(1);

} // namespace

void credit_pool::configure(account_state& it, core::time_point now) const
{
    it.bucket.advance(now);
    const double fraction = grantors_ == 0 ? 0.0 : 1.0 / grantors_;
    const bool declared = it.declared.tokens_per_second > 0;
    // The clock may run 1% fast; compensates so that accrual stays within the
    // rate in real time.
    it.bucket.configure(
        fraction * pool_rate_share * it.declared.tokens_per_second /
            clock_drift,
        declared ? fraction * pool_burst_share *
                       (it.declared.burst_tokens + extra_burst_)
                 : 0.0);
}

void credit_pool::install(
    const std::map<std::string, account_rate>& rates, double extra_burst,
    core::time_point now)
{
    extra_burst_ = extra_burst;
    for (auto& [name, it] : accounts_)
    {
        if (!rates.contains(name))
        {
            it.declared = {};
            configure(it, now);
        }
    }
    for (const auto& [name, declared] : rates)
    {
        const auto [found, added] = accounts_.try_emplace(name, now);
        auto& it = found->second;
        it.declared = declared;
        configure(it, now);
        if (added)
        {
            add_first_credit(it);
        }
    }
}

// A VM that becomes a voter again lent its first credit already.
void credit_pool::add_first_credit(account_state& it) const
{
    if (grantors_ == 0 || it.has_first_credit)
    {
        return;
    }
    it.has_first_credit = true;
    it.bucket.add(
        (first_start_ ? 1.0 : restart_credit_fraction) * it.bucket.cap());
}

void credit_pool::set_grantors(std::uint32_t grantors, core::time_point now)
{
    if (grantors == grantors_)
    {
        return;
    }
    grantors_ = grantors;
    for (auto& [name, it] : accounts_)
    {
        configure(it, now);
        add_first_credit(it);
    }
}

loan_answer credit_pool::lend(
    const std::string& account, double wanted, core::time_point now)
{
    loan_answer out;
    const auto found = accounts_.find(account);
    if (found == accounts_.end() || !std::isfinite(wanted) || wanted <= 0)
    {
        out.retry_after_ms = static_cast<std::uint32_t>(
            max_retry_after / std::chrono::milliseconds(1));
        return out;
    }
    auto& bucket = found->second.bucket;
    bucket.advance(now);
    const double reserve = reserve_fraction * bucket.cap();
    if (bucket.credit() > reserve)
    {
        // Rounded down, because the message carries single precision.
        const double lent =
            std::floor(std::min(std::ceil(wanted), bucket.credit()));
        if (lent >= 1 && bucket.take(lent))
        {
            out.tokens = static_cast<float>(lent);
            return out;
        }
    }
    const auto wait = std::clamp<core::duration>(
        bucket.time_until_available(std::max(reserve, 1.0)), min_retry_after,
        max_retry_after);
    out.retry_after_ms =
        static_cast<std::uint32_t>(wait / std::chrono::milliseconds(1));
    return out;
}

void credit_pool::put_back(
    const std::string& account, double tokens, core::time_point now)
{
    const auto found = accounts_.find(account);
    if (found == accounts_.end() || !std::isfinite(tokens) || tokens <= 0)
    {
        return;
    }
    found->second.bucket.advance(now);
    found->second.bucket.add(tokens);
}

double credit_pool::credit(const std::string& account, core::time_point now)
{
    const auto found = accounts_.find(account);
    if (found == accounts_.end())
    {
        return 0;
    }
    found->second.bucket.advance(now);
    return found->second.bucket.credit();
}

} // namespace hyssoploft::rate
