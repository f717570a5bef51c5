// Declared rates at the grantor, and the demand and flexible parts that depend
// on them.

#include <LibRate/lease_grantor.hpp>

#include <algorithm>

namespace hyssoploft::rate {

namespace {

// Factor by which demand can rise between two renewals.
constexpr double demand_headroom = 1.2;

constexpr std::size_t max_superseded_rates = 8;

} // namespace

void lease_grantor::install(const declared_rates& rates, core::time_point now)
{
    if (rates.version < rates_.version)
    {
        return;
    }
    superseded_rates superseded{rates.version, {}};
    for (const auto& [name, it] : rates_.accounts)
    {
        const auto pos = rates.accounts.find(name);
        // A removed account may be declared again with a smaller floor.
        if (pos == rates.accounts.end() ||
            pos->second.floor_fraction < it.floor_fraction)
        {
            superseded.floor_fractions.emplace(name, it.floor_fraction);
        }
    }
    if (!superseded.floor_fractions.empty())
    {
        superseded_.push_back(std::move(superseded));
    }
    if (superseded_.size() > max_superseded_rates)
    {
        for (const auto& [name, fraction] : superseded_[0].floor_fractions)
        {
            double& kept = superseded_[1].floor_fractions[name];
            kept = std::max(kept, fraction);
        }
        superseded_.erase(superseded_.begin());
    }
    rates_ = rates;
    // A removed account keeps its state while its leases can be in force, as
    // it may be declared again.
    expire_records(now);
    for (auto& [name, it] : accounts_)
    {
        it.declared = {0, 0, 1};
    }
    std::erase_if(accounts_, [&](const auto& it) {
        return it.second.lease_count == 0 && !rates.accounts.contains(it.first);
    });
    std::erase_if(vms_, [&](const auto& it) {
        return !rates.vms.contains(it.first);
    });
    table_.clear();
    table_id_ = rates.account_table_id();
    for (const auto& [name, declared] : rates.accounts)
    {
        const auto [pos, is_new] = accounts_.try_emplace(name, now);
        account_state& it = pos->second;
        if (is_new)
        {
            it.id = next_account_id_++;
            it.name = name;
        }
        it.number = static_cast<std::uint32_t>(table_.size());
        table_.push_back(&it);
        it.unleased_credit.advance(now);
        it.declared = declared;
    }
    recount_demands();
    update_flexible_shares();
}

void lease_grantor::recount_demands()
{
    for (auto& [name, it] : accounts_)
    {
        it.total_demand = 0;
        it.total_need = 0;
        it.vms_with_demand = 0;
    }
    for (auto& record : records_)
    {
        for (auto& [id, lease] : record.leases)
        {
            const double demand =
                rates_.vms.contains(record.vm) ? lease.demand : 0.0;
            lease.demand = 0;
            set_demand(lease, demand);
        }
    }
}

double lease_grantor::needed_share(const account_state& it, double demand) const
{
    const double rate = it.declared.tokens_per_second;
    if (rate <= 0 || rates_.floor_slots == 0)
    {
        return 0;
    }
    const double floor = it.declared.floor_fraction / rates_.floor_slots;
    return std::max(0.0, demand_headroom * demand / rate - floor);
}

void lease_grantor::set_demand(vm_lease& lease, double demand) const
{
    account_state& it = *lease.account;
    it.vms_with_demand += (demand > 0 ? 1 : 0);
    it.vms_with_demand -= (lease.demand > 0 ? 1 : 0);
    if (it.vms_with_demand == 0)
    {
        // Clears accumulated rounding errors.
        it.total_demand = 0;
        it.total_need = 0;
    }
    else
    {
        it.total_demand += demand - lease.demand;
        it.total_need +=
            needed_share(it, demand) - needed_share(it, lease.demand);
    }
    lease.demand = demand;
}

void lease_grantor::update_flexible_shares()
{
    for (auto& [name, it] : accounts_)
    {
        double floor_fraction = it.declared.floor_fraction;
        for (const auto& superseded : superseded_)
        {
            const auto pos = superseded.floor_fractions.find(name);
            if (pos != superseded.floor_fractions.end())
            {
                floor_fraction = std::max(floor_fraction, pos->second);
            }
        }
        it.flexible_share = std::max(0.0, 1.0 - floor_fraction);
        configure_unleased_credit(it);
    }
}

void lease_grantor::drop_confirmed_rates()
{
    if (superseded_.empty())
    {
        return;
    }
    std::uint64_t confirmed = rates_.version;
    for (const auto& vm : rates_.vms)
    {
        const auto pos = vms_.find(vm);
        confirmed = std::min(
            confirmed, pos == vms_.end() ? 0 : pos->second.config_version);
    }
    if (std::erase_if(superseded_, [&](const superseded_rates& it) {
            return it.superseding_version <= confirmed;
        }) > 0)
    {
        update_flexible_shares();
    }
}

} // namespace hyssoploft::rate
