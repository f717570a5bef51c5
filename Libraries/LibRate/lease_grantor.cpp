// Division of flexible shares and the accounting of leases.

#include <LibRate/lease_grantor.hpp>

#include <algorithm>
#include <cmath>

namespace hyssoploft::rate {

namespace {

// Demand that was not renewed for this long is that of a lost VM.
constexpr core::duration demand_lifetime = std::chrono::seconds(3);

// Room for demand to rise between two renewals.
constexpr double need_margin = 1.2;

constexpr std::size_t max_grants_counted = 32;
constexpr std::size_t max_older_rates = 8;

// Rounds down, so that the share in the message is not above the one counted.
float round_down(double it)
{
    const auto rounded = static_cast<float>(it);
    return rounded > it ? std::nextafter(rounded, 0.0F) : rounded;
}

} // namespace

double lease_grantor::vm_lease::counted() const
{
    double share = 0;
    for (const auto& it : grants)
    {
        share = std::max(share, it.share);
    }
    return share;
}

void lease_grantor::vm_lease::remember(const grant_record& it)
{
    grants.push_back(it);
    if (grants.size() > max_grants_counted)
    {
        // Counts the two oldest as one that is at least as large and long.
        auto& merged = grants[1];
        merged.share = std::max(merged.share, grants[0].share);
        merged.end = std::max(merged.end, grants[0].end);
        grants.erase(grants.begin());
    }
}

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
        if (pos != rates.accounts.end() &&
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
    // The state of a removed account stays while leases of it can be in force:
    // the account may be declared again.
    for (auto& [name, it] : accounts_)
    {
        forget_ended(it, now);
        it.declared = {0, 0, 1};
    }
    std::erase_if(accounts_, [&](const auto& it) {
        return it.second.vms.empty() && !rates.accounts.contains(it.first);
    });
    std::erase_if(vms_, [&](const auto& it) {
        return !rates.vms.contains(it.first);
    });
    for (const auto& [name, declared] : rates.accounts)
    {
        account_state& it = accounts_.try_emplace(name, now).first->second;
        it.unleased.advance(now);
        it.declared = declared;
    }
    update_flexible();
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

void lease_grantor::elected(std::uint64_t term, core::time_point now)
{
    step_down();
    leader_ = true;
    term_ = term;
    grants_from_ = now + new_leader_wait;
    for (auto& [name, it] : accounts_)
    {
        // Credit of the flexible part may be with holders until then.
        it.unleased = token_bucket(grants_from_);
        configure_unleased(it);
    }
}

void lease_grantor::step_down()
{
    leader_ = false;
    vms_.clear();
    for (auto& [name, it] : accounts_)
    {
        it.vms.clear();
    }
}

std::optional<core::time_point> lease_grantor::grants_from() const
{
    return leader_ ? std::optional(grants_from_) : std::nullopt;
}

bool lease_grantor::accept(const lease_request& request)
{
    if (!leader_ || !rates_.vms.contains(request.vm))
    {
        return false;
    }
    vm_state& vm = vms_[request.vm];
    if (vm.incarnation == request.incarnation &&
        request.sequence <= vm.sequence)
    {
        return false;
    }
    vm.incarnation = request.incarnation;
    vm.sequence = request.sequence;
    vm.config_version = request.config_version;
    return true;
}

void lease_grantor::configure_unleased(account_state& it) const
{
    double leased = 0;
    for (const auto& entry : it.vms)
    {
        leased += entry.second.counted();
    }
    const double free = std::max(0.0, it.flexible - leased);
    it.unleased.configure(
        free * it.declared.tokens_per_second / clock_drift,
        free * it.declared.burst_tokens);
}

void lease_grantor::forget_ended(account_state& it, core::time_point now) const
{
    std::optional<core::time_point> last_end;
    for (auto pos = it.vms.begin(); pos != it.vms.end();)
    {
        vm_lease& lease = pos->second;
        std::erase_if(lease.grants, [&](const grant_record& grant) {
            if (grant.end > now)
            {
                return false;
            }
            last_end = std::max(last_end.value_or(grant.end), grant.end);
            return true;
        });
        if (now - lease.demand_at > demand_lifetime)
        {
            lease.demand = 0;
        }
        pos = lease.grants.empty() && lease.demand <= 0 ? it.vms.erase(pos)
                                                        : std::next(pos);
    }
    if (last_end)
    {
        // What ended has been free since then at the latest.
        it.unleased.advance(*last_end);
        configure_unleased(it);
    }
    it.unleased.advance(now);
}

void lease_grantor::count_acknowledged(
    account_state& it, const lease_request& request, double returned) const
{
    const auto pos = it.vms.find(request.vm);
    if (pos == it.vms.end())
    {
        return;
    }
    vm_lease& lease = pos->second;
    const double before = lease.counted();
    std::erase_if(lease.grants, [&](const grant_record& grant) {
        const bool superseded =
            settings_.use_acknowledgements && grant.sequence < request.applied;
        return grant.incarnation == request.incarnation &&
               (superseded || request.release);
    });
    // Credit counts as returned only within the share that this request gives
    // up: a late or repeated message adds nothing.
    const double given_up = before - lease.counted();
    if (settings_.keep_credit && request.term == term_ && given_up > 0)
    {
        configure_unleased(it);
        it.unleased.add(
            std::min(returned, given_up * it.declared.burst_tokens));
    }
}

double
lease_grantor::target(const account_state& it, const std::string& vm) const
{
    const double rate = it.declared.tokens_per_second;
    if (rate <= 0)
    {
        return 0;
    }
    const double floor = rates_.floor_share(vm, it.declared) * rate;
    const auto need = [&](const vm_lease& lease) {
        return std::max(0.0, need_margin * lease.demand - floor) / rate;
    };
    double demands = 0;
    double needs = 0;
    std::size_t asking = 0;
    for (const auto& entry : it.vms)
    {
        asking += entry.second.demand > 0 ? 1 : 0;
        demands += entry.second.demand;
        needs += need(entry.second);
    }
    const vm_lease& own = it.vms.at(vm);
    if (own.demand <= 0 || demands <= 0)
    {
        return 0;
    }
    const double part = own.demand / demands;
    double share = it.flexible * part;
    if (settings_.division == division_rule::need_first && needs > 0)
    {
        share = needs <= it.flexible ? need(own) + (it.flexible - needs) * part
                                     : it.flexible * need(own) / needs;
    }
    // The minimum shares together stay below half of the flexible part.
    const double minimum =
        std::min(settings_.minimum_share, 0.5 / static_cast<double>(asking));
    share = std::max(share, minimum * it.flexible);
    const double held = own.grants.empty() ? 0.0 : own.grants.back().share;
    return std::abs(share - held) < settings_.hysteresis * held ? held : share;
}

lease_share lease_grantor::grant_share(
    const std::string& account, account_state& it, const lease_request& request,
    core::time_point now) const
{
    vm_lease& own = it.vms.at(request.vm);
    const double counted = own.counted();
    double others = -counted;
    for (const auto& entry : it.vms)
    {
        others += entry.second.counted();
    }
    const double available = std::max(0.0, it.flexible - others);
    lease_share share;
    share.account = account;
    share.share = round_down(std::min(target(it, request.vm), available));
    own.remember(
        {request.incarnation, request.sequence, share.share,
         now + lease_time_at_grantor});

    const double grown = std::max(0.0, share.share - counted);
    const double burst = it.declared.burst_tokens;
    if (settings_.keep_credit)
    {
        share.credit =
            round_down(std::min(it.unleased.credit(), grown * burst));
        it.unleased.take(share.credit);
    }
    configure_unleased(it);
    return share;
}

std::optional<lease_grant>
lease_grantor::handle(const lease_request& request, core::time_point now)
{
    if (!accept(request))
    {
        return std::nullopt;
    }
    drop_confirmed();
    std::map<std::string_view, const account_demand*> named;
    for (const auto& it : request.accounts)
    {
        named.emplace(it.account, &it);
    }
    vm_state& vm = vms_[request.vm];
    for (auto pos = vm.accounts.begin(); pos != vm.accounts.end();)
    {
        const auto account = accounts_.find(*pos);
        const auto demand = named.find(*pos);
        if (account != accounts_.end())
        {
            account_state& it = account->second;
            forget_ended(it, now);
            count_acknowledged(
                it, request,
                demand == named.end() ? 0.0 : demand->second->returned_credit);
            const auto lease = it.vms.find(request.vm);
            if (lease != it.vms.end() && demand == named.end())
            {
                lease->second.demand = 0;
            }
        }
        const bool held = account != accounts_.end() &&
                          account->second.vms.contains(request.vm);
        pos = held ? std::next(pos) : vm.accounts.erase(pos);
    }
    if (request.release)
    {
        return std::nullopt;
    }
    lease_grant grant;
    grant.incarnation = request.incarnation;
    grant.sequence = request.sequence;
    grant.term = term_;
    grant.config_version = rates_.version;
    for (const auto& [name, demand] : named)
    {
        const auto account = accounts_.find(std::string(name));
        if (account == accounts_.end())
        {
            continue;
        }
        account_state& it = account->second;
        forget_ended(it, now);
        vm_lease& lease = it.vms[request.vm];
        vm.accounts.insert(account->first);
        lease.demand = demand->tokens_per_second;
        lease.demand_at = now;
        if (now < grants_from_)
        {
            continue;
        }
        const lease_share share = grant_share(account->first, it, request, now);
        if (share.share > 0)
        {
            grant.shares.push_back(share);
        }
    }
    // Before the first grant an empty answer would end leases of the former
    // leader for nothing.
    return now < grants_from_ ? std::nullopt : std::optional(std::move(grant));
}

double
lease_grantor::leased(const std::string& account, core::time_point now) const
{
    double share = 0;
    const auto pos = accounts_.find(account);
    if (pos == accounts_.end())
    {
        return 0;
    }
    for (const auto& entry : pos->second.vms)
    {
        double counted = 0;
        for (const auto& grant : entry.second.grants)
        {
            counted =
                grant.end > now ? std::max(counted, grant.share) : counted;
        }
        share += counted;
    }
    return share;
}

double lease_grantor::flexible(const std::string& account) const
{
    const auto pos = accounts_.find(account);
    return pos == accounts_.end() ? 0.0 : pos->second.flexible;
}

} // namespace hyssoploft::rate
