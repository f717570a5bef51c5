// Division of flexible shares and accounting of leases.

#include <LibRate/lease_grantor.hpp>

#include <algorithm>
#include <cmath>

namespace hyssoploft::rate {

namespace {

// Shares are multiples of this unit. Single precision represents them exactly
// up to 1, and sums of them stay exact in double precision, whatever was added
// and subtracted before.
constexpr double share_unit = 1.0 / (1 << 24);

// Exceeds the answers that can be unexpired at once: a holder sends at most 5
// requests per second, and leases expire after 4.04 s.
constexpr std::size_t max_answers = 32;

// Bounds the records of former processes, which are kept for 4.04 s.
constexpr std::size_t max_records_per_vm = 4;

double to_share(double it)
{
    return std::floor(std::clamp(it, 0.0, 1.0) / share_unit) * share_unit;
}

// Rounds down, so that the credit sent does not exceed the credit taken.
float round_down(double it)
{
    const auto rounded = static_cast<float>(it);
    return rounded > it ? std::nextafter(rounded, 0.0F) : rounded;
}

} // namespace

double lease_grantor::vm_lease::counted() const
{
    double share = 0;
    for (const auto& it : shares)
    {
        share = std::max(share, it.share);
    }
    return share;
}

double lease_grantor::vm_lease::under(std::uint64_t sequence) const
{
    double share = 0;
    for (const auto& it : shares)
    {
        share = it.since <= sequence ? it.share : share;
    }
    return share;
}

void lease_grantor::elected(std::uint64_t term, core::time_point now)
{
    step_down();
    leader_ = true;
    term_ = term;
    grants_from_ = now + new_leader_wait;
    for (auto& [name, it] : accounts_)
    {
        // Until then, holders may have credit of the flexible part.
        it.unleased = token_bucket(grants_from_);
        configure_unleased(it);
    }
}

void lease_grantor::step_down()
{
    leader_ = false;
    vms_.clear();
    records_.clear();
    for (auto& [name, it] : accounts_)
    {
        it.leased = 0;
        it.demands = 0;
        it.needs = 0;
        it.asking = 0;
        it.leases = 0;
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
    if (vm.incarnation != request.incarnation)
    {
        if (records_.size() >= max_records_per_vm * rates_.vms.size())
        {
            return false;
        }
        if (vm.record)
        {
            // Only the demand of the former process ends; its leases count.
            for (auto& [id, lease] : (*vm.record)->leases)
            {
                set_demand(lease, 0);
            }
            vm.record.reset();
        }
    }
    vm.incarnation = request.incarnation;
    vm.sequence = request.sequence;
    vm.config_version = request.config_version;
    return true;
}

void lease_grantor::configure_unleased(account_state& it) const
{
    const double free = std::max(0.0, it.flexible - it.leased);
    it.unleased.configure(
        free * it.declared.tokens_per_second / clock_drift,
        free * it.declared.burst_tokens);
}

void lease_grantor::drop_record(
    record_list::iterator it, core::time_point ended)
{
    for (auto& [id, lease] : it->leases)
    {
        account_state& account = *lease.account;
        set_demand(lease, 0);
        account.unleased.advance(ended);
        account.leased -= lease.counted();
        --account.leases;
        configure_unleased(account);
    }
    const auto vm = vms_.find(it->vm);
    if (vm != vms_.end() && vm->second.record == it)
    {
        vm->second.record.reset();
    }
    records_.erase(it);
}

void lease_grantor::forget_ended(core::time_point now)
{
    while (!records_.empty())
    {
        // No answer was sent after the last request of the VM.
        const auto ended = records_.front().heard + lease_time_at_grantor;
        if (ended > now)
        {
            return;
        }
        drop_record(records_.begin(), ended);
    }
}

lease_grantor::vm_record&
lease_grantor::record_of(const lease_request& request, core::time_point now)
{
    vm_state& vm = vms_[request.vm];
    if (!vm.record)
    {
        records_.emplace_back();
        vm.record = std::prev(records_.end());
        (*vm.record)->vm = request.vm;
        (*vm.record)->incarnation = request.incarnation;
    }
    records_.splice(records_.end(), records_, *vm.record);
    (*vm.record)->heard = now;
    return **vm.record;
}

lease_grantor::account_state*
lease_grantor::find(const account_demand& it, bool numbered)
{
    if (numbered)
    {
        return it.number < table_.size() ? table_[it.number] : nullptr;
    }
    const auto pos = accounts_.find(it.account);
    return pos == accounts_.end() ? nullptr : &pos->second;
}

void lease_grantor::take_demands(vm_record& own, const lease_request& request)
{
    for (auto& [id, lease] : own.leases)
    {
        if (request.full)
        {
            set_demand(lease, 0);
        }
        lease.returned = 0;
    }
    for (const auto& it : request.accounts)
    {
        account_state* const account = find(it, request.table != 0);
        if (account == nullptr)
        {
            continue;
        }
        vm_lease& lease = own.leases[account->id];
        if (lease.account == nullptr)
        {
            lease.account = account;
            ++account->leases;
        }
        set_demand(lease, it.tokens_per_second);
        lease.returned = it.returned_credit;
    }
}

void lease_grantor::acknowledge(
    vm_record& own, const lease_request& request, core::time_point now)
{
    std::erase_if(own.answers, [&](const sent_answer& it) {
        return it.end <= now || (settings_.use_acknowledgements &&
                                 it.sequence < request.applied);
    });
    for (auto& [id, lease] : own.leases)
    {
        const double before = lease.counted();
        if (own.answers.empty())
        {
            lease.shares.clear();
        }
        while (lease.shares.size() > 1 &&
               lease.shares[1].since <= own.answers.front().sequence)
        {
            lease.shares.erase(lease.shares.begin());
        }
        const double given_up = before - lease.counted();
        if (given_up <= 0)
        {
            continue;
        }
        account_state& it = *lease.account;
        it.unleased.advance(now);
        it.leased -= given_up;
        configure_unleased(it);
        // Returned credit is limited to the burst of the share that this
        // request gives up, so that late or repeated messages add nothing.
        if (settings_.keep_credit && request.term == term_)
        {
            it.unleased.add(
                std::min(lease.returned, given_up * it.declared.burst_tokens));
        }
    }
}

double lease_grantor::target(const vm_lease& lease) const
{
    const account_state& it = *lease.account;
    if (lease.demand <= 0 || it.demands <= 0 ||
        it.declared.tokens_per_second <= 0)
    {
        return 0;
    }
    const double part = std::min(1.0, lease.demand / it.demands);
    const double own_need = need(it, lease.demand);
    double share = it.flexible * part;
    if (settings_.division == division_rule::need_first && it.needs > 0)
    {
        share = it.needs <= it.flexible
                    ? own_need + (it.flexible - it.needs) * part
                    : it.flexible * own_need / it.needs;
    }
    // All minimum shares together take at most half of the flexible part.
    const double minimum =
        std::min(settings_.minimum_share, 0.5 / static_cast<double>(it.asking));
    share = std::max(share, minimum * it.flexible);
    const double held = lease.newest();
    return std::abs(share - held) < settings_.hysteresis * held ? held : share;
}

lease_share lease_grantor::grant_share(
    vm_lease& lease, double granted, std::uint64_t sequence,
    core::time_point now) const
{
    account_state& it = *lease.account;
    lease_share share;
    share.share = static_cast<float>(granted);
    if (granted == lease.newest())
    {
        return share;
    }
    const double counted = lease.counted();
    lease.shares.push_back({sequence, granted});
    const double grown = granted - counted;
    if (grown <= 0)
    {
        return share;
    }
    it.unleased.advance(now);
    if (settings_.keep_credit)
    {
        share.credit = round_down(
            std::min(it.unleased.credit(), grown * it.declared.burst_tokens));
        it.unleased.take(share.credit);
    }
    it.leased += grown;
    configure_unleased(it);
    return share;
}

std::uint64_t
lease_grantor::base_of(const vm_record& own, const lease_request& request) const
{
    if (request.full || request.term != term_ || !settings_.name_changes)
    {
        return 0;
    }
    const bool known = std::any_of(
        own.answers.begin(), own.answers.end(), [&](const sent_answer& it) {
            return it.sequence == request.applied;
        });
    return known ? request.applied : 0;
}

lease_grant lease_grantor::grant(
    vm_record& own, const lease_request& request, core::time_point now)
{
    lease_grant answer;
    answer.incarnation = request.incarnation;
    answer.sequence = request.sequence;
    answer.term = term_;
    answer.config_version = rates_.version;
    answer.base = base_of(own, request);
    answer.numbered = request.table != 0;
    answer.table = table_id_;
    own.answers.push_back({request.sequence, now + lease_time_at_grantor});
    std::size_t bytes = 0;
    for (auto pos = own.leases.begin(); pos != own.leases.end();)
    {
        vm_lease& lease = pos->second;
        const account_state& it = *lease.account;
        const double unnamed = answer.base > 0 ? lease.under(answer.base) : 0.0;
        const double available = it.flexible - (it.leased - lease.counted());
        double granted = to_share(std::min(target(lease), available));
        const std::size_t needed = encoded_account_bytes(it.name);
        if (granted != unnamed && bytes + needed > max_named_bytes)
        {
            // This share is counted already: the answer `base` can be in force.
            granted = unnamed;
        }
        auto share = grant_share(lease, granted, request.sequence, now);
        if (granted != unnamed || share.credit > 0)
        {
            share.number = it.number;
            if (!answer.numbered)
            {
                share.account = it.name;
            }
            bytes += needed;
            answer.shares.push_back(std::move(share));
        }
        if (lease.demand <= 0 && lease.counted() <= 0)
        {
            --lease.account->leases;
            pos = own.leases.erase(pos);
            continue;
        }
        ++pos;
    }
    return answer;
}

std::optional<lease_grant>
lease_grantor::handle(const lease_request& request, core::time_point now)
{
    // A holder without an answer sends names in its next request.
    if ((request.table != 0 && request.table != table_id_) || !accept(request))
    {
        return std::nullopt;
    }
    drop_confirmed();
    forget_ended(now);
    vm_record& own = record_of(request, now);
    if (request.release)
    {
        drop_record(*vms_[request.vm].record, now);
        return std::nullopt;
    }
    const bool follows =
        own.sequence > 0 && own.sequence + 1 == request.sequence;
    own.sequence = request.sequence;
    if (!request.full && !follows)
    {
        // An earlier request was lost, so other demand is unknown. The holder
        // sends a full request after a request without an answer.
        own.sequence = 0;
        return std::nullopt;
    }
    take_demands(own, request);
    acknowledge(own, request, now);
    // Before the first grant an empty answer would needlessly end leases of the
    // former leader.
    if (now < grants_from_ || own.answers.size() >= max_answers)
    {
        return std::nullopt;
    }
    return grant(own, request, now);
}

double
lease_grantor::leased(const std::string& account, core::time_point now) const
{
    double share = 0;
    const auto pos = accounts_.find(account);
    if (pos == accounts_.end())
    {
        return share;
    }
    for (const auto& record : records_)
    {
        const auto lease = record.leases.find(pos->second.id);
        if (lease != record.leases.end() && !record.answers.empty() &&
            record.answers.back().end > now)
        {
            share += lease->second.counted();
        }
    }
    return share;
}

double lease_grantor::flexible(const std::string& account) const
{
    const auto pos = accounts_.find(account);
    return pos == accounts_.end() ? 0.0 : pos->second.flexible;
}

} // namespace hyssoploft::rate
