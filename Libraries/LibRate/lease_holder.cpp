// Floors, leases and demand of one VM.

#include <LibRate/lease_holder.hpp>

#include <algorithm>
#include <cmath>

namespace hyssoploft::rate {

namespace {

// Demand is an exponential moving average that follows a rise within two
// requests and a fall slowly, because a share that was given up too early
// comes back without its credit.
constexpr double demand_rise_weight = 0.6;
constexpr double demand_decay_seconds = 4.0;

// Demand up to this fraction of the floor needs no lease and is not reported.
constexpr double floor_use_without_lease = 0.5;

// Nor does demand up to this fraction of the rate. Floors are so small with 350
// VMs that every account would otherwise be reported long after its last
// request.
constexpr double rate_use_without_lease = 0.03;

// Relative changes of demand below these are not reported. The grantor leaves
// headroom for a rise of 20%.
constexpr double min_reported_rise = 0.1;
constexpr double min_reported_fall = 0.3;

// In requests. Full requests repair any divergence between the two sides.
constexpr int full_request_interval = 16;

// Bounds the rate of requests that refusals can cause.
constexpr core::duration early_request_interval =
    std::chrono::milliseconds(200);

// Upper bound of the time that a caller is told to wait: the next renewal may
// bring a larger share.
constexpr core::duration max_retry_after = 2 * renewal_interval;

} // namespace

void lease_holder::advance(account_state& it, core::time_point now) const
{
    while (true)
    {
        const bool lease_ends = it.leased_share > 0 && lease_end_ <= now;
        const bool floor_grows =
            it.pending_floor > it.floor && it.floor_grows_at <= now;
        if (lease_ends && (!floor_grows || lease_end_ <= it.floor_grows_at))
        {
            it.bucket.advance(lease_end_);
            it.leased_share = 0;
        }
        else if (floor_grows)
        {
            it.bucket.advance(it.floor_grows_at);
            it.floor = it.pending_floor;
        }
        else
        {
            break;
        }
        configure_bucket(it);
    }
    it.bucket.advance(now);
}

double lease_holder::configure_bucket(account_state& it) const
{
    const double share = std::min(1.0, it.floor + it.leased_share);
    // The clock may run 1% fast; compensates so that accrual stays within the
    // rate in real time.
    return it.bucket.configure(
        share * it.declared.tokens_per_second / clock_drift,
        share * it.declared.burst_tokens);
}

void lease_holder::remove_accounts(
    const declared_rates& rates, core::time_point now)
{
    std::erase_if(removed_, [&](const auto& it) {
        return now >= it.second.removed_at + floor_growth_wait;
    });
    std::erase_if(accounts_, [&](const auto& it) {
        if (rates.accounts.contains(it.first))
        {
            return false;
        }
        removed_[it.first] = {it.second.floor, now};
        return true;
    });
}

void lease_holder::install(const declared_rates& rates, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    if (rates.version < rates_.version)
    {
        return;
    }
    rates_ = rates;
    // The share of a removed account must be granted anew.
    full_request_needed_ = true;
    remove_accounts(rates, now);
    table_.clear();
    table_id_ = rates.account_table_id();
    for (const auto& [name, declared] : rates.accounts)
    {
        const auto [pos, is_new] = accounts_.try_emplace(name, now);
        account_state& it = pos->second;
        it.number = static_cast<std::uint32_t>(table_.size());
        table_.push_back(&it);
        advance(it, now);
        const double floor = rates.floor_share(settings_.vm, declared);
        it.declared = declared;
        if (is_new)
        {
            // Leases of the former declaration can be in force at other VMs,
            // so a larger floor waits as it does when a declaration changes.
            const auto removed = removed_.find(name);
            it.floor =
                removed == removed_.end() ? floor : removed->second.floor;
            it.pending_floor = it.floor;
        }
        if (floor > it.floor && floor != it.pending_floor)
        {
            it.floor_grows_at = now + floor_growth_wait;
        }
        it.pending_floor = floor;
        it.floor = std::min(it.floor, floor);
        configure_bucket(it);
    }
}

void lease_holder::update_demand(account_state& it, double seconds) const
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

lease_request lease_holder::start_request(core::time_point now)
{
    // The grantor drops the demand of a VM when its leases have expired.
    const bool answered =
        sequence_ > 0 && applied_ == sequence_ && lease_end_ > now;
    ++requests_since_full_;
    const bool full = !settings_.send_changes_only || full_request_needed_ ||
                      !answered ||
                      requests_since_full_ >= full_request_interval;
    if (full)
    {
        requests_since_full_ = 0;
    }
    ++sequence_;
    const bool numbered = settings_.use_account_numbers && answered &&
                          grantor_table_ == table_id_;
    const std::uint64_t table = numbered ? table_id_ : 0;
    sent_requests_[sequence_ % sent_requests_.size()] = {sequence_, now, table};
    last_request_was_early_ =
        last_request_ && now - *last_request_ < renewal_interval;
    last_request_ = now;
    refused_without_lease_ = false;
    lease_request request;
    request.vm = settings_.vm;
    request.incarnation = settings_.incarnation;
    request.sequence = sequence_;
    request.applied = applied_;
    request.term = term_;
    request.config_version = rates_.version;
    request.full = full;
    request.table = table;
    return request;
}

lease_request lease_holder::build_request(core::time_point now)
{
    const std::lock_guard lock(mutex_);
    const double seconds =
        last_request_ ? std::max(1e-3, core::to_seconds(now - *last_request_))
                      : core::to_seconds(renewal_interval);
    lease_request request = start_request(now);
    for (auto& [name, it] : accounts_)
    {
        if (it.requested_tokens > 0 || it.demand > 0 ||
            it.reported_demand > 0 || it.dropped_tokens > 0)
        {
            advance(it, now);
            update_demand(it, seconds);
            add_account(name, it, request);
        }
    }
    limit_size(request);
    return request;
}

void lease_holder::add_account(
    const std::string& name, account_state& it, lease_request& request)
{
    const double rate = it.declared.tokens_per_second;
    const double min_reported_demand =
        std::max(floor_use_without_lease * it.floor, rate_use_without_lease) *
        rate;
    // Capped at the whole rate, so that a VM whose traffic exceeds the rate
    // doesn't crowd out the demand for the account at other VMs.
    const double demand =
        it.demand <= min_reported_demand ? 0.0 : std::min(it.demand, rate);
    const double returned = std::exchange(it.dropped_tokens, 0.0);
    const bool changed =
        request.full
            ? demand > 0
            : demand > it.reported_demand * (1 + min_reported_rise) ||
                  demand < it.reported_demand * (1 - min_reported_fall);
    if (name.size() > max_account_name_bytes || (!changed && returned <= 0))
    {
        it.reported_demand = request.full ? 0.0 : it.reported_demand;
        return;
    }
    it.reported_demand = demand;
    request.accounts.push_back(
        {request.table == 0 ? name : std::string(), static_cast<float>(demand),
         static_cast<float>(returned), it.number});
}

void lease_holder::limit_size(lease_request& request)
{
    std::size_t bytes = 0;
    std::stable_sort(
        request.accounts.begin(), request.accounts.end(),
        [](const account_demand& a, const account_demand& b) {
            return a.tokens_per_second > b.tokens_per_second;
        });
    const auto end = std::find_if(
        request.accounts.begin(), request.accounts.end(),
        [&](const account_demand& it) {
            // An account number takes at most 5 bytes.
            bytes += encoded_account_bytes(
                request.table == 0 ? std::string_view(it.account)
                                   : std::string_view("12345"));
            return bytes > max_account_list_bytes;
        });
    // The next request must be full if accounts were left out of this one.
    full_request_needed_ = end != request.accounts.end();
    request.accounts.erase(end, request.accounts.end());
}

core::time_point lease_holder::next_request_at() const
{
    const std::lock_guard lock(mutex_);
    if (!last_request_)
    {
        return core::time_point::min();
    }
    const bool early = settings_.request_early && refused_without_lease_ &&
                       !last_request_was_early_;
    return *last_request_ + (early ? early_request_interval : renewal_interval);
}

void lease_holder::set_granted_share(account_state& it, double share) const
{
    it.granted_share = share;
    it.leased_share = share;
    const double dropped = configure_bucket(it);
    // Only credit dropped because of this grant is returned: the grantor counts
    // the larger share until it receives the acknowledgement of this grant.
    it.dropped_tokens = settings_.return_credit ? dropped : 0.0;
}

lease_holder::account_state*
lease_holder::find_account(const lease_share& it, bool numbered)
{
    if (numbered)
    {
        return it.number < table_.size() ? table_[it.number] : nullptr;
    }
    const auto pos = accounts_.find(it.account);
    return pos == accounts_.end() ? nullptr : &pos->second;
}

void lease_holder::end_unlisted_leases(
    const std::set<const account_state*>& listed)
{
    for (auto& [name, it] : accounts_)
    {
        if ((it.granted_share > 0 || it.leased_share > 0) &&
            !listed.contains(&it))
        {
            set_granted_share(it, 0);
        }
    }
}

bool lease_holder::apply(const lease_grant& grant, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    const sent_request& sent =
        sent_requests_[grant.sequence % sent_requests_.size()];
    if (grant.incarnation != settings_.incarnation || released_ ||
        grant.sequence == 0 || sent.sequence != grant.sequence ||
        grant.sequence <= applied_ || now >= sent.sent_at + lease_time)
    {
        return false;
    }
    const bool is_full = grant.base == 0;
    if (grant.numbered && sent.table != table_id_)
    {
        return false; // The account numbers have changed since.
    }
    if (!is_full &&
        (grant.base != applied_ || grant.term != term_ || full_request_needed_))
    {
        return false;
    }
    applied_ = grant.sequence;
    term_ = grant.term;
    grantor_table_ = grant.numbered ? sent.table : grant.table;
    const bool lease_lapsed = lease_end_ <= now;
    if (is_full || lease_lapsed)
    {
        for (auto& [name, it] : accounts_)
        {
            advance(it, now); // Uses the former lease_end_.
        }
    }
    lease_end_ = sent.sent_at + lease_time;
    std::set<const account_state*> listed;
    for (const auto& it : grant.shares)
    {
        listed.insert(find_account(it, grant.numbered));
    }
    if (is_full)
    {
        end_unlisted_leases(listed);
    }
    else if (lease_lapsed)
    {
        for (auto& [name, it] : accounts_)
        {
            set_granted_share(it, it.granted_share);
        }
    }
    for (const auto& it : grant.shares)
    {
        if (account_state* const account = find_account(it, grant.numbered))
        {
            advance(*account, now);
            set_granted_share(*account, it.share);
            account->bucket.add(it.credit);
        }
    }
    return true;
}

lease_request lease_holder::release(core::time_point now)
{
    const std::lock_guard lock(mutex_);
    released_ = true;
    for (auto& [name, it] : accounts_)
    {
        advance(it, now);
        it.leased_share = 0;
        configure_bucket(it);
    }
    lease_request request = start_request(now);
    request.release = true;
    return request;
}

reserve_result lease_holder::reserve(
    const std::string& account, double tokens, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    reserve_result result;
    const auto pos = accounts_.find(account);
    if (pos == accounts_.end() || !std::isfinite(tokens) || tokens < 0)
    {
        result.retry_after = max_retry_after;
        return result;
    }
    account_state& it = pos->second;
    advance(it, now);
    it.requested_tokens += tokens;
    if (it.bucket.take(tokens))
    {
        result.granted = true;
        result.taken = {account, tokens, it.bucket.epoch()};
        return result;
    }
    refused_without_lease_ = refused_without_lease_ || it.leased_share <= 0;
    result.retry_after =
        std::min(it.bucket.time_until_available(tokens), max_retry_after);
    return result;
}

void lease_holder::settle(
    const reservation& taken, double used_tokens, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    const auto pos = accounts_.find(taken.account);
    if (pos == accounts_.end())
    {
        return;
    }
    account_state& it = pos->second;
    advance(it, now);
    const double unused = taken.tokens - std::max(0.0, used_tokens);
    it.bucket.refund(taken.epoch, unused);
    it.requested_tokens =
        std::max(0.0, it.requested_tokens - std::max(0.0, unused));
}

double lease_holder::read_account(
    const std::string& account, core::time_point now,
    double (*value)(const account_state&))
{
    const std::lock_guard lock(mutex_);
    const auto pos = accounts_.find(account);
    if (pos == accounts_.end())
    {
        return 0;
    }
    advance(pos->second, now);
    return value(pos->second);
}

double lease_holder::credit(const std::string& account, core::time_point now)
{
    return read_account(account, now, [](const account_state& it) {
        return it.bucket.credit();
    });
}

double lease_holder::share(const std::string& account, core::time_point now)
{
    return read_account(account, now, [](const account_state& it) {
        return std::min(1.0, it.floor + it.leased_share);
    });
}

double
lease_holder::floor_share(const std::string& account, core::time_point now)
{
    return read_account(account, now, [](const account_state& it) {
        return it.floor;
    });
}

} // namespace hyssoploft::rate
