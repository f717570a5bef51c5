// Steps of the simulation and evaluation of admitted tokens.

#include <LibRate/lease_simulation.hpp>

#include <algorithm>

namespace hyssoploft::tests {

namespace {

constexpr double step_seconds = 0.1;
constexpr const char* account = "acme";
constexpr const char* other_account = "abel";

// In tokens per second and tokens. The burst is small, half a second of the
// rate, so that accrual above the rate soon exceeds the bound.
constexpr double base_rate = 1000;
constexpr double base_burst = 500;

} // namespace

lease_simulation::lease_simulation(options chosen)
    : options_(chosen), random_(chosen.seed)
{
    rate::declared_rates first;
    first.version = 1;
    first.floor_slots = 8;
    first.accounts[account] = {base_rate, base_burst, 0.4};
    for (int n = 0; n < options_.vms; ++n)
    {
        first.vms.insert("vm" + std::to_string(n));
    }
    versions_.push_back(first);
    for (int n = 0; n < options_.vms; ++n)
    {
        vm_process& it = vms_.emplace_back();
        it.id = "vm" + std::to_string(n);
        it.clock_speed =
            options_.min_clock_speed +
            (n % 2) * (options_.max_clock_speed - options_.min_clock_speed);
        it.clock_offset = 1000.0 * n;
        start(n);
    }
    elected_at_ = 0;
    next_leader_ = 0;
}

core::time_point lease_simulation::local_time(int vm) const
{
    return core::time_point(core::from_seconds(
        vms_[vm].clock_offset + 100 + now_ * vms_[vm].clock_speed));
}

void lease_simulation::start(int vm)
{
    vm_process& it = vms_[vm];
    it.holder = std::make_unique<rate::lease_holder>(
        rate::holder_settings{it.id, ++incarnations_});
    it.holder->install(versions_[it.version], local_time(vm));
    it.grantor = std::make_unique<rate::lease_grantor>();
    it.grantor->install(versions_[it.version], local_time(vm));
}

void lease_simulation::run(double seconds)
{
    for (int n = 0; n < seconds / step_seconds; ++n)
    {
        step();
    }
}

void lease_simulation::step()
{
    now_ += step_seconds;
    update_leadership();
    install_due();
    record_rates_in_force();
    exchange_messages();
    double shares = 0;
    for (int n = 0; n < static_cast<int>(vms_.size()); ++n)
    {
        shares += vms_[n].holder->share(account, local_time(n));
    }
    max_share_sum_ = std::max(max_share_sum_, shares);
    generate_load();
}

void lease_simulation::update_leadership()
{
    for (int n = 0; n < static_cast<int>(vms_.size()); ++n)
    {
        if (vms_[n].steps_down_at >= 0 && now_ >= vms_[n].steps_down_at)
        {
            vms_[n].grantor->step_down();
            vms_[n].steps_down_at = -1;
        }
    }
    if (next_leader_ >= 0 && now_ >= elected_at_)
    {
        leader_ = std::exchange(next_leader_, -1);
        vm_process& it = vms_[leader_];
        it.steps_down_at = -1;
        // A leader has applied the whole log before it grants.
        it.version = versions_.size() - 1;
        it.grantor->install(versions_.back(), local_time(leader_));
        it.holder->install(versions_.back(), local_time(leader_));
        it.grantor->elected(++term_, local_time(leader_));
    }
}

void lease_simulation::install_due()
{
    for (int n = 0; n < static_cast<int>(vms_.size()); ++n)
    {
        vm_process& it = vms_[n];
        if (it.version + 1 < versions_.size() && !it.is_isolated &&
            now_ >= it.installs_at)
        {
            it.version = versions_.size() - 1;
            it.holder->install(versions_.back(), local_time(n));
            it.grantor->install(versions_.back(), local_time(n));
        }
    }
}

void lease_simulation::record_rates_in_force()
{
    rates_in_force largest{now_, 0, 0};
    for (const auto& it : vms_)
    {
        const auto& declared = versions_[it.version].accounts.at(account);
        largest.rate = std::max(largest.rate, declared.tokens_per_second);
        largest.burst = std::max(largest.burst, declared.burst_tokens);
    }
    rates_in_force_.push_back(largest);
}

void lease_simulation::send(
    int from, int to, bool is_grant, const std::string& bytes)
{
    const int copies =
        1 + (random_.uniform() < options_.duplication_probability ? 1 : 0);
    for (int n = 0; n < copies; ++n)
    {
        if (random_.uniform() >= options_.loss_probability)
        {
            const auto delay = random_.below(options_.max_delay_ms + 1);
            messages_.push_back(
                {now_ + static_cast<double>(delay) / 1000, from, to, is_grant,
                 bytes});
        }
    }
}

void lease_simulation::exchange_messages()
{
    for (int n = 0; n < static_cast<int>(vms_.size()); ++n)
    {
        if (local_time(n) >= vms_[n].holder->next_request_at())
        {
            const auto bytes =
                rate::encode(vms_[n].holder->build_request(local_time(n)));
            // A lagging VM may still send to the former leader.
            for (int to = 0; to < 3; ++to)
            {
                if (vms_[to].grantor->grants_start_at())
                {
                    send(n, to, false, bytes);
                }
            }
        }
    }
    // Answers sent in this step are handled in the same step if they are due.
    for (std::size_t n = 0; n < messages_.size(); ++n)
    {
        const message it = messages_[n];
        if (it.delivered_at > now_)
        {
            continue;
        }
        messages_[n].delivered_at = 1e18;
        const bool is_dropped =
            it.from != it.to &&
            (vms_[it.from].is_isolated || vms_[it.to].is_isolated);
        if (is_dropped)
        {
            continue;
        }
        if (it.is_grant)
        {
            vms_[it.to].holder->apply(
                rate::decode_lease_grant(it.bytes).value(), local_time(it.to));
            continue;
        }
        const auto grant = vms_[it.to].grantor->handle(
            rate::decode_lease_request(it.bytes).value(), local_time(it.to));
        if (grant)
        {
            send(it.to, it.from, true, rate::encode(*grant));
        }
    }
    std::erase_if(messages_, [](const message& it) {
        return it.delivered_at > 1e17;
    });
}

void lease_simulation::generate_load()
{
    std::erase_if(open_reservations_, [&](const open_reservation& it) {
        if (it.settles_at > now_)
        {
            return false;
        }
        admission& done = admissions_[it.admission];
        done.used = done.tokens * random_.uniform();
        vms_[done.vm].holder->settle(it.taken, done.used, local_time(done.vm));
        return true;
    });
    for (int n = 0; n < static_cast<int>(vms_.size()); ++n)
    {
        if (random_.uniform() >= vms_[n].demand)
        {
            continue;
        }
        vms_[n].holder->reserve(other_account, base_rate, local_time(n));
        const double credit = vms_[n].holder->credit(account, local_time(n));
        const double tokens = random_.uniform() < 0.1 ? credit + 500 : credit;
        const auto result =
            vms_[n].holder->reserve(account, tokens, local_time(n));
        if (result.granted && tokens > 0)
        {
            admissions_.push_back({n, now_, tokens, tokens});
            if (random_.uniform() < options_.settled_fraction)
            {
                open_reservations_.push_back(
                    {admissions_.size() - 1, result.taken,
                     now_ + 6 * random_.uniform()});
            }
        }
    }
}

void lease_simulation::set_isolated(int vm, bool is_isolated)
{
    // Only change_leader() isolates the leader.
    if (vm != leader_ && vm != next_leader_)
    {
        vms_[vm].is_isolated = is_isolated;
    }
}

void lease_simulation::restart(int vm)
{
    // A VM that starts shortly after a floor was raised doesn't know that it
    // must wait, and a restarted control VM doesn't know the floors that
    // lagging VMs still use; the operator documentation covers both.
    if (vm == leader_ || vm == next_leader_ || now_ - floor_raised_at_ < 8 ||
        (vm < 3 && !all_confirmed()))
    {
        return;
    }
    std::erase_if(open_reservations_, [&](const open_reservation& it) {
        return admissions_[it.admission].vm == vm;
    });
    start(vm);
}

void lease_simulation::replace(int vm)
{
    if (vm < 3 || vms_[vm].is_isolated || now_ - floor_raised_at_ < 8)
    {
        return;
    }
    auto next = versions_.back();
    next.vms.erase(vms_[vm].id);
    std::erase_if(open_reservations_, [&](const open_reservation& it) {
        return admissions_[it.admission].vm == vm;
    });
    vms_[vm].id = "vm" + std::to_string(100 + ++incarnations_);
    next.vms.insert(vms_[vm].id);
    publish_rates(next);
    vms_[vm].version = versions_.size() - 1;
    start(vm);
}

void lease_simulation::change_leader()
{
    if (next_leader_ >= 0)
    {
        return;
    }
    vms_[leader_].steps_down_at = now_ + 2.0 / vms_[leader_].clock_speed;
    next_leader_ = (leader_ + 1 + static_cast<int>(random_.below(2))) % 3;
    vms_[next_leader_].is_isolated = false;
    elected_at_ = now_ + 1 + random_.uniform();
}

void lease_simulation::publish_rates(rate::declared_rates next)
{
    next.version = versions_.back().version + 1;
    versions_.push_back(next);
    for (int n = 0; n < static_cast<int>(vms_.size()); ++n)
    {
        vms_[n].installs_at =
            n == leader_ ? now_ : now_ + 3 * random_.uniform();
    }
    install_due();
}

void lease_simulation::set_rate(double factor)
{
    // Only a leader commits changes.
    if (next_leader_ < 0)
    {
        auto next = versions_.back();
        next.accounts[account].tokens_per_second = base_rate * factor;
        next.accounts[account].burst_tokens = base_burst * factor;
        publish_rates(next);
    }
}

void lease_simulation::toggle_other_account()
{
    if (next_leader_ < 0 && all_confirmed())
    {
        auto next = versions_.back();
        if (next.accounts.erase(other_account) == 0)
        {
            next.accounts[other_account] = {base_rate, base_burst, 0.4};
        }
        publish_rates(next);
    }
}

bool lease_simulation::set_floor_fraction(double fraction)
{
    auto next = versions_.back();
    auto& current = next.accounts[account].floor_fraction;
    if (next_leader_ >= 0 || !all_confirmed() || fraction == current)
    {
        return false;
    }
    floor_raised_at_ = fraction > current ? now_ : floor_raised_at_;
    current = fraction;
    publish_rates(next);
    return true;
}

bool lease_simulation::all_confirmed() const
{
    return std::all_of(vms_.begin(), vms_.end(), [&](const vm_process& it) {
        return it.version + 1 == versions_.size();
    });
}

double lease_simulation::max_excess() const
{
    double max_excess_tokens = -1e18;
    // Measures the windows that start at each change of the rates in force,
    // against the rates from then on.
    for (std::size_t start = 0; start < rates_in_force_.size(); ++start)
    {
        const bool changed =
            start == 0 ||
            rates_in_force_[start].rate != rates_in_force_[start - 1].rate ||
            rates_in_force_[start].burst != rates_in_force_[start - 1].burst;
        if (!changed)
        {
            continue;
        }
        double level = 0;
        double burst = 0;
        std::size_t next = 0;
        for (std::size_t n = start; n < rates_in_force_.size(); ++n)
        {
            const auto& it = rates_in_force_[n];
            const double elapsed =
                n == start ? 0 : it.at - rates_in_force_[n - 1].at;
            // The larger rate counts while VMs apply a change.
            const double rate =
                n == start ? it.rate
                           : std::max(it.rate, rates_in_force_[n - 1].rate);
            burst = std::max(burst, it.burst);
            level = std::max(0.0, level - rate * elapsed);
            for (; next < admissions_.size() && admissions_[next].at <= it.at;
                 ++next)
            {
                level += admissions_[next].at == it.at ? admissions_[next].used
                                                       : 0.0;
            }
            max_excess_tokens = std::max(max_excess_tokens, level - burst);
        }
    }
    return max_excess_tokens;
}

double lease_simulation::admitted_tokens(
    const std::vector<int>& vms, double since) const
{
    double sum = 0;
    for (const auto& it : admissions_)
    {
        const bool counts =
            std::find(vms.begin(), vms.end(), it.vm) != vms.end();
        sum += counts && it.at >= since ? it.used : 0.0;
    }
    return sum;
}

} // namespace hyssoploft::tests
