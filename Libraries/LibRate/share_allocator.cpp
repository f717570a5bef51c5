// Allocation of rate shares by demand, and accounting of their leases.

#include <LibRate/share_allocator.hpp>

#include <LibRate/declared_rates.hpp>

#include <algorithm>
#include <vector>

namespace hyssoploft::rate {

namespace {

/// Fraction of a rate that is divided evenly regardless of demand, so that the
/// first requests of a VM need not wait for the next exchange.
constexpr double even_part = 0.2;
/// Fraction of its rate that a restarted grantor grants while leases of its
/// previous process may be in force. Over that wait it adds up to 0.7 s of the
/// rate, within the 10% by which rates may be exceeded over 8 s.
constexpr double waiting_part = 0.35;
/// Bounds the grants that are tracked for one VM and account.
constexpr std::size_t max_counted_parts = 64;

} // namespace

share_allocator::share_allocator(core::time_point started, bool fresh)
    : grants_from_(fresh ? started : started + share_lease_time_at_grantor)
{}

double share_allocator::counted(const vm_account& it, core::time_point now)
{
    double out = 0;
    for (const auto& sent : it.parts)
    {
        out = now < sent.end ? std::max(out, sent.part) : out;
    }
    return out;
}

void share_allocator::take_request(
    vm_state& it, const share_request& request, core::time_point now)
{
    for (auto& [account, state] : it.accounts)
    {
        state.demand = 0;
        while (!state.parts.empty() &&
               (state.parts.front().end <= now ||
                state.parts.front().sequence < request.applied))
        {
            state.parts.pop_front();
        }
    }
    for (const auto& demand : request.demands)
    {
        it.accounts[demand.account].demand =
            std::max(0.0F, demand.tokens_per_second);
    }
}

double
share_allocator::target(const vm_state& own, const std::string& account) const
{
    double demands = 0;
    double vms = 0;
    for (const auto& [id, it] : vms_)
    {
        const auto found = it.accounts.find(account);
        if (found != it.accounts.end())
        {
            demands += found->second.demand;
            vms += 1;
        }
    }
    const double even = even_part / std::max(1.0, vms);
    if (demands <= 0)
    {
        return 1.0 / std::max(1.0, vms);
    }
    const double wanted = own.accounts.at(account).demand / demands;
    return even + (1.0 - even_part) * wanted;
}

double share_allocator::free_for(
    const vm_state& own, const std::string& account, core::time_point now) const
{
    double others = 0;
    for (const auto& [id, it] : vms_)
    {
        const auto found = it.accounts.find(account);
        if (&it != &own && found != it.accounts.end())
        {
            others += counted(found->second, now);
        }
    }
    return std::max(0.0, 1.0 - others);
}

void share_allocator::forget_silent(core::time_point now)
{
    std::erase_if(vms_, [now](const auto& it) {
        return now - it.second.heard > share_lease_time_at_grantor;
    });
}

share_grant share_allocator::handle(
    const std::string& vm, std::uint64_t incarnation,
    const share_request& request, std::uint32_t grantors, core::time_point now)
{
    share_grant out;
    forget_silent(now);
    // Grants to an earlier process of the VM count until they expire.
    auto& own = vms_[{vm, incarnation}];
    own.heard = now;
    if (request.sequence <= own.sequence || grantors == 0)
    {
        return out;
    }
    own.sequence = request.sequence;
    take_request(own, request, now);
    out.sequence = request.sequence;
    out.grantors = grantors;
    for (const auto& demand : request.demands)
    {
        auto& it = own.accounts[demand.account];
        double part = target(own, demand.account);
        if (now < grants_from_)
        {
            part = std::max<double>(
                std::clamp<double>(demand.held, 0.0, 1.0), waiting_part * part);
        }
        part = std::min(part, free_for(own, demand.account, now));
        if (it.parts.size() >= max_counted_parts)
        {
            // The oldest part may still be in force, so it is merged into
            // the next one, which then counts as the larger of the two.
            it.parts[1].part =
                std::max(it.parts[1].part, it.parts.front().part);
            it.parts.pop_front();
        }
        it.parts.push_back(
            {request.sequence, now + share_lease_time_at_grantor, part});
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
        out += found == it.accounts.end() ? 0.0 : counted(found->second, now);
    }
    return out;
}

} // namespace hyssoploft::rate
