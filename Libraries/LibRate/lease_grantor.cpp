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
constexpr std::size_t max_unexpired_answers = 32;

// Bounds the records of former processes, which are kept for 4.04 s.
constexpr std::size_t max_records_per_vm = 4;

double quantize_share(double it)
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

double lease_grantor::vm_lease::counted_share() const
{
    double share = 0;
    for (const auto& it : shares)
    {
        share = std::max(share, it.share);
    }
    return share;
}

double lease_grantor::vm_lease::share_at(std::uint64_t sequence) const
{
    double share = 0;
    for (const auto& it : shares)
    {
        share = it.since_sequence <= sequence ? it.share : share;
    }
    return share;
}

void lease_grantor::elected(std::uint64_t term, core::time_point now)
{
    step_down();
    leader_ = true;
    term_ = term;
    grants_start_at_ = now + new_leader_wait;
    for (auto& [name, it] : accounts_)
    {
        // Until then, holders may have credit of the flexible part.
        it.unleased_credit = token_bucket(grants_start_at_);
        configure_unleased_credit(it);
    }
}

void lease_grantor::step_down()
{
    leader_ = false;
    vms_.clear();
    records_.clear();
    for (auto& [name, it] : accounts_)
    {
        it.leased_share = 0;
        it.total_demand = 0;
        it.total_need = 0;
        it.vms_with_demand = 0;
        it.lease_count = 0;
    }
}

std::optional<core::time_point> lease_grantor::grants_start_at() const
{
    return leader_ ? std::optional(grants_start_at_) : std::nullopt;
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

void lease_grantor::configure_unleased_credit(account_state& it) const
{
    const double unleased_share =
        std::max(0.0, it.flexible_share - it.leased_share);
    it.unleased_credit.configure(
        unleased_share * it.declared.tokens_per_second / clock_drift,
        unleased_share * it.declared.burst_tokens);
}

void lease_grantor::drop_record(
    record_list::iterator it, core::time_point ended)
{
    for (auto& [id, lease] : it->leases)
    {
        account_state& account = *lease.account;
        set_demand(lease, 0);
        account.unleased_credit.advance(ended);
        account.leased_share -= lease.counted_share();
        --account.lease_count;
        configure_unleased_credit(account);
    }
    const auto vm = vms_.find(it->vm);
    if (vm != vms_.end() && vm->second.record == it)
    {
        vm->second.record.reset();
    }
    records_.erase(it);
}

void lease_grantor::expire_records(core::time_point now)
{
    while (!records_.empty())
    {
        // No answer was sent after the last request of the VM.
        const auto ended =
            records_.front().last_request_at + lease_time_at_grantor;
        if (ended > now)
        {
            return;
        }
        drop_record(records_.begin(), ended);
    }
}

lease_grantor::vm_record&
lease_grantor::touch_record(const lease_request& request, core::time_point now)
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
    (*vm.record)->last_request_at = now;
    return **vm.record;
}

lease_grantor::account_state*
lease_grantor::find_account(const account_demand& it, bool numbered)
{
    if (numbered)
    {
        return it.number < table_.size() ? table_[it.number] : nullptr;
    }
    const auto pos = accounts_.find(it.account);
    return pos == accounts_.end() ? nullptr : &pos->second;
}

void lease_grantor::update_demands(
    vm_record& record, const lease_request& request)
{
    for (auto& [id, lease] : record.leases)
    {
        if (request.full)
        {
            set_demand(lease, 0);
        }
        lease.returned_tokens = 0;
    }
    for (const auto& it : request.accounts)
    {
        account_state* const account = find_account(it, request.table != 0);
        if (account == nullptr)
        {
            continue;
        }
        vm_lease& lease = record.leases[account->id];
        if (lease.account == nullptr)
        {
            lease.account = account;
            ++account->lease_count;
        }
        set_demand(lease, it.tokens_per_second);
        lease.returned_tokens = it.returned_credit;
    }
}

void lease_grantor::acknowledge(
    vm_record& record, const lease_request& request, core::time_point now)
{
    std::erase_if(record.answers, [&](const sent_answer& it) {
        return it.expires_at <= now || (settings_.use_acknowledgements &&
                                        it.sequence < request.applied);
    });
    for (auto& [id, lease] : record.leases)
    {
        const double before = lease.counted_share();
        if (record.answers.empty())
        {
            lease.shares.clear();
        }
        while (lease.shares.size() > 1 && lease.shares[1].since_sequence <=
                                              record.answers.front().sequence)
        {
            lease.shares.erase(lease.shares.begin());
        }
        const double released_share = before - lease.counted_share();
        if (released_share <= 0)
        {
            continue;
        }
        account_state& it = *lease.account;
        it.unleased_credit.advance(now);
        it.leased_share -= released_share;
        configure_unleased_credit(it);
        // Returned credit is limited to the burst of the share that this
        // request gives up, so that late or repeated messages add nothing.
        if (settings_.keep_credit && request.term == term_)
        {
            it.unleased_credit.add(std::min(
                lease.returned_tokens,
                released_share * it.declared.burst_tokens));
        }
    }
}

double lease_grantor::target_share(const vm_lease& lease) const
{
    const account_state& it = *lease.account;
    if (lease.demand <= 0 || it.total_demand <= 0 ||
        it.declared.tokens_per_second <= 0)
    {
        return 0;
    }
    const double demand_fraction =
        std::min(1.0, lease.demand / it.total_demand);
    const double vm_need = needed_share(it, lease.demand);
    double share = it.flexible_share * demand_fraction;
    if (settings_.division == division_rule::need_first && it.total_need > 0)
    {
        share = it.total_need <= it.flexible_share
                    ? vm_need +
                          (it.flexible_share - it.total_need) * demand_fraction
                    : it.flexible_share * vm_need / it.total_need;
    }
    // All minimum shares together take at most half of the flexible part.
    const double minimum = std::min(
        settings_.minimum_share, 0.5 / static_cast<double>(it.vms_with_demand));
    share = std::max(share, minimum * it.flexible_share);
    const double current_share = lease.newest_share();
    return std::abs(share - current_share) <
                   settings_.hysteresis * current_share
               ? current_share
               : share;
}

lease_share lease_grantor::update_share(
    vm_lease& lease, double granted, std::uint64_t sequence,
    core::time_point now) const
{
    account_state& it = *lease.account;
    lease_share share;
    share.share = static_cast<float>(granted);
    if (granted == lease.newest_share())
    {
        return share;
    }
    const double previous_share = lease.counted_share();
    lease.shares.push_back({sequence, granted});
    const double growth = granted - previous_share;
    if (growth <= 0)
    {
        return share;
    }
    it.unleased_credit.advance(now);
    if (settings_.keep_credit)
    {
        share.credit = round_down(std::min(
            it.unleased_credit.credit(), growth * it.declared.burst_tokens));
        it.unleased_credit.take(share.credit);
    }
    it.leased_share += growth;
    configure_unleased_credit(it);
    return share;
}

std::uint64_t lease_grantor::base_sequence(
    const vm_record& record, const lease_request& request) const
{
    if (request.full || request.term != term_ || !settings_.send_changes_only)
    {
        return 0;
    }
    const bool known = std::any_of(
        record.answers.begin(), record.answers.end(),
        [&](const sent_answer& it) {
            return it.sequence == request.applied;
        });
    return known ? request.applied : 0;
}

lease_grant lease_grantor::grant(
    vm_record& record, const lease_request& request, core::time_point now)
{
    lease_grant answer;
    answer.incarnation = request.incarnation;
    answer.sequence = request.sequence;
    answer.term = term_;
    answer.config_version = rates_.version;
    answer.base = base_sequence(record, request);
    answer.numbered = request.table != 0;
    answer.table = table_id_;
    record.answers.push_back({request.sequence, now + lease_time_at_grantor});
    std::size_t bytes = 0;
    for (auto pos = record.leases.begin(); pos != record.leases.end();)
    {
        vm_lease& lease = pos->second;
        const account_state& it = *lease.account;
        const double base_share =
            answer.base > 0 ? lease.share_at(answer.base) : 0.0;
        const double available =
            it.flexible_share - (it.leased_share - lease.counted_share());
        double granted =
            quantize_share(std::min(target_share(lease), available));
        const std::size_t entry_bytes = encoded_account_bytes(it.name);
        if (granted != base_share &&
            bytes + entry_bytes > max_account_list_bytes)
        {
            // This share is counted already: the answer `base` can be in force.
            granted = base_share;
        }
        auto share = update_share(lease, granted, request.sequence, now);
        if (granted != base_share || share.credit > 0)
        {
            share.number = it.number;
            if (!answer.numbered)
            {
                share.account = it.name;
            }
            bytes += entry_bytes;
            answer.shares.push_back(std::move(share));
        }
        if (lease.demand <= 0 && lease.counted_share() <= 0)
        {
            --lease.account->lease_count;
            pos = record.leases.erase(pos);
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
    drop_confirmed_rates();
    expire_records(now);
    vm_record& record = touch_record(request, now);
    if (request.release)
    {
        drop_record(*vms_[request.vm].record, now);
        return std::nullopt;
    }
    const bool is_consecutive =
        record.sequence > 0 && record.sequence + 1 == request.sequence;
    record.sequence = request.sequence;
    if (!request.full && !is_consecutive)
    {
        // An earlier request was lost, so other demand is unknown. The holder
        // sends a full request after a request without an answer.
        record.sequence = 0;
        return std::nullopt;
    }
    update_demands(record, request);
    acknowledge(record, request, now);
    // Before the first grant an empty answer would needlessly end leases of the
    // former leader.
    if (now < grants_start_at_ ||
        record.answers.size() >= max_unexpired_answers)
    {
        return std::nullopt;
    }
    return grant(record, request, now);
}

double lease_grantor::leased_share(
    const std::string& account, core::time_point now) const
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
            record.answers.back().expires_at > now)
        {
            share += lease->second.counted_share();
        }
    }
    return share;
}

double lease_grantor::flexible_share(const std::string& account) const
{
    const auto pos = accounts_.find(account);
    return pos == accounts_.end() ? 0.0 : pos->second.flexible_share;
}

} // namespace hyssoploft::rate
