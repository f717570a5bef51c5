// Declared rates at the grantor, and the demand and flexible parts that depend
// on them.

#include <LibRate/lease_grantor.hpp>

#include <algorithm>

namespace hyssoploft::rate {

namespace {

// Factor by which demand can rise between two renewals.
constexpr double need_margin = 1.2;

constexpr std::size_t max_older_rates = 8;

} // namespace

void lease_grantor::install(const declared_rates& rates, core::time_point now)
{
    if (rates.version < rates_.version)
    {
        return;
    }
    older_rates older{rates.version, {}};
    for (const auto& [name, it] : rates_.accounts)
    {
        const auto pos = rates.accounts.find(name);
        // A removed account may be declared again with a smaller floor.
        if (pos == rates.accounts.end() ||
            pos->second.floor_fraction < it.floor_fraction)
        {
            older.floor_fractions.emplace(name, it.floor_fraction);
        }
    }
    if (!older.floor_fractions.empty())
    {
        older_.push_back(std::move(older));
    }
    if (older_.size() > max_older_rates)
    {
        for (const auto& [name, fraction] : older_[0].floor_fractions)
        {
            double& kept = older_[1].floor_fractions[name];
            kept = std::max(kept, fraction);
        }
        older_.erase(older_.begin());
    }
    rates_ = rates;
    // A removed account keeps its state while its leases can be in force, as
    // it may be declared again.
    forget_ended(now);
    for (auto& [name, it] : accounts_)
    {
        it.declared = {0, 0, 1};
    }
    std::erase_if(accounts_, [&](const auto& it) {
        return it.second.leases == 0 && !rates.accounts.contains(it.first);
    });
    std::erase_if(vms_, [&](const auto& it) {
        return !rates.vms.contains(it.first);
    });
    table_.clear();
    table_id_ = rates.account_table();
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
        it.unleased.advance(now);
        it.declared = declared;
    }
    recount_demands();
    update_flexible();
}

void lease_grantor::recount_demands()
{
    for (auto& [name, it] : accounts_)
    {
        it.demands = 0;
        it.needs = 0;
        it.asking = 0;
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

double lease_grantor::need(const account_state& it, double demand) const
{
    const double rate = it.declared.tokens_per_second;
    if (rate <= 0 || rates_.floor_slots == 0)
    {
        return 0;
    }
    const double floor = it.declared.floor_fraction / rates_.floor_slots;
    return std::max(0.0, need_margin * demand / rate - floor);
}

void lease_grantor::set_demand(vm_lease& lease, double demand) const
{
    account_state& it = *lease.account;
    it.asking += (demand > 0 ? 1 : 0);
    it.asking -= (lease.demand > 0 ? 1 : 0);
    if (it.asking == 0)
    {
        // Clears accumulated rounding errors.
        it.demands = 0;
        it.needs = 0;
    }
    else
    {
        it.demands += demand - lease.demand;
        it.needs += need(it, demand) - need(it, lease.demand);
    }
    lease.demand = demand;
}

void lease_grantor::update_flexible()
{
    for (auto& [name, it] : accounts_)
    {
        double floors = it.declared.floor_fraction;
        for (const auto& older : older_)
        {
            const auto pos = older.floor_fractions.find(name);
            if (pos != older.floor_fractions.end())
            {
                floors = std::max(floors, pos->second);
            }
        }
        it.flexible = std::max(0.0, 1.0 - floors);
        configure_unleased(it);
    }
}

void lease_grantor::drop_confirmed()
{
    if (older_.empty())
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
    if (std::erase_if(older_, [&](const older_rates& it) {
            return it.until_version <= confirmed;
        }) > 0)
    {
        update_flexible();
    }
}

} // namespace hyssoploft::rate
