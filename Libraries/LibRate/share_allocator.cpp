// Allocation of rate shares by demand, and accounting of their leases.

#include <LibRate/share_allocator.hpp>

#include <LibRate/declared_rates.hpp>

#include <algorithm>
#include <vector>

namespace hyssoploft::rate {

namespace {

/// Fraction of a rate that is divided evenly regardless of demand, so that the
/// first requests of a VM need not wait for the next exchange.
constexpr double even_fraction = 0.2;
/// Fraction of its rate that a restarted grantor grants while leases of its
/// previous process may be in force. Over that wait it adds up to 0.7 s of the
/// rate, within the 10% by which rates may be exceeded over 8 s.
constexpr double restart_fraction = 0.35;
/// Bounds the grants that are tracked for one VM and account.
constexpr std::size_t max_tracked_parts = 64;

} // namespace

share_allocator::share_allocator(core::time_point started, bool first_start)
    : unrestricted_from_(
          first_start ? started : started + share_lease_time_at_grantor)
{}

double
share_allocator::outstanding_part(const vm_account& it, core::time_point now)
{
    double out = 0;
    for (const auto& granted : it.parts)
    {
        out = now < granted.expires_at ? std::max(out, granted.part) : out;
    }
    return out;
}

share_allocator::vm_account&
share_allocator::account_of(vm_state& it, const std::string& account)
{
    const auto [found, added] = it.accounts.try_emplace(account);
    totals_[account].vms += added ? 1 : 0;
    return found->second;
}

void share_allocator::set_demand(
    const std::string& account, vm_account& it, double demand)
{
    totals_[account].demand += demand - it.demand;
    it.demand = demand;
}

void share_allocator::count_part(
    const std::string& account, vm_account& it, core::time_point now)
{
    const double part = outstanding_part(it, now);
    totals_[account].outstanding += part - it.counted_part;
    it.counted_part = part;
}

void share_allocator::apply_request(
    vm_state& it, const share_request& request, core::time_point now)
{
    for (auto& [account, state] : it.accounts)
    {
        set_demand(account, state, 0);
        while (!state.parts.empty() &&
               (state.parts.front().expires_at <= now ||
                state.parts.front().sequence < request.applied))
        {
            state.parts.pop_front();
        }
        count_part(account, state, now);
    }
    for (const auto& demand : request.demands)
    {
        set_demand(
            demand.account, account_of(it, demand.account),
            std::max(0.0F, demand.tokens_per_second));
    }
}

double share_allocator::target_part(
    const vm_account& requester, const std::string& account)
{
    const auto& totals = totals_[account];
    const auto vms = static_cast<double>(std::max<std::size_t>(1, totals.vms));
    if (requester.demand <= 0)
    {
        return (totals.demand <= 0 ? 1.0 : even_fraction) / vms;
    }
    return even_fraction / vms +
           (1.0 - even_fraction) *
               std::min(1.0, requester.demand / totals.demand);
}

double share_allocator::available_part(
    const vm_account& requester, const std::string& account)
{
    const double others = totals_[account].outstanding - requester.counted_part;
    return std::clamp(1.0 - others, 0.0, 1.0);
}

void share_allocator::expire_silent_vms(core::time_point now)
{
    for (auto it = vms_.begin(); it != vms_.end();)
    {
        if (now - it->second.last_request_at < share_lease_time_at_grantor)
        {
            ++it;
            continue;
        }
        remove_from_totals(it->second);
        it = vms_.erase(it);
    }
}

void share_allocator::remove_from_totals(vm_state& it)
{
    for (auto& [account, state] : it.accounts)
    {
        set_demand(account, state, 0);
        auto& totals = totals_[account];
        totals.outstanding -= state.counted_part;
        totals.vms -= 1;
        if (totals.vms == 0)
        {
            // Sums of many additions would not end at exactly 0.
            totals_.erase(account);
        }
    }
}

share_grant share_allocator::handle(
    const std::string& vm, std::uint64_t incarnation,
    const share_request& request, std::uint32_t grantors, core::time_point now)
{
    share_grant out;
    expire_silent_vms(now);
    // Grants to an earlier process of the VM count until they expire.
    auto& requester = vms_[{vm, incarnation}];
    requester.last_request_at = now;
    if (request.sequence <= requester.sequence || grantors == 0)
    {
        return out;
    }
    requester.sequence = request.sequence;
    apply_request(requester, request, now);
    out.sequence = request.sequence;
    out.grantors = grantors;
    for (const auto& demand : request.demands)
    {
        auto& it = account_of(requester, demand.account);
        double part = target_part(it, demand.account);
        if (now < unrestricted_from_)
        {
            part = std::max<double>(
                std::clamp<double>(demand.held, 0.0, 1.0),
                restart_fraction * part);
        }
        part = std::min(part, available_part(it, demand.account));
        if (it.parts.size() >= max_tracked_parts)
        {
            // The oldest part may still be in force, so it is merged into
            // the next one, which then counts as the larger of the two.
            it.parts[1].part =
                std::max(it.parts[1].part, it.parts.front().part);
            it.parts.pop_front();
        }
        it.parts.push_back(
            {request.sequence, now + share_lease_time_at_grantor, part});
        count_part(demand.account, it, now);
        out.shares.push_back({demand.account, static_cast<float>(part)});
    }
    return out;
}

double share_allocator::outstanding(
    const std::string& account, core::time_point now) const
{
    double out = 0;
    for (const auto& [id, it] : vms_)
    {
        const auto found = it.accounts.find(account);
        out += found == it.accounts.end()
                   ? 0.0
                   : outstanding_part(found->second, now);
    }
    return out;
}

} // namespace hyssoploft::rate
