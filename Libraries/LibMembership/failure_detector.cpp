// Probe schedule, suspicion and rejoin after partitions.

#include <LibMembership/failure_detector.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::membership {

namespace {

// A relay is kept for one probe period, in which a VM receives few requests.
constexpr std::size_t max_relays = 256;

bool is_live(const member& it)
{
    return it.record.state != vm_state::dead;
}

} // namespace

failure_detector::failure_detector(
    vm_record self, std::vector<std::string> seeds, detector_timing timing,
    core::random_source& random)
    : seeds_(std::move(seeds)), timing_(timing), random_(random),
      table_(std::move(self), timing.suspicion),
      // A random start prevents matches with acks to a previous process;
      // probe 0 is reserved for pings that need no ack.
      next_probe_((random.next() >> 16) + 1)
{}

std::vector<probe_action> failure_detector::tick(core::time_point now)
{
    std::vector<probe_action> out;
    if (!last_tick_)
    {
        started_ = now;
        // Desynchronizes the probes of VMs that start together.
        next_period_ = now + core::from_seconds(
                                 random_.uniform() *
                                 core::to_seconds(timing_.probe_period));
        next_rejoin_ = now;
    }
    note_pause(now);
    last_tick_ = now;
    check_probe(now, out);
    check_suspects(now, out);
    if (now >= next_period_)
    {
        start_probe(now, out);
        next_period_ = std::max(
            next_period_ + timing_.probe_period, now + timing_.probe_timeout);
        table_.drop_tombstones(now);
    }
    if (now >= next_rejoin_)
    {
        rejoin(now, out);
    }
    return out;
}

void failure_detector::note_pause(core::time_point now)
{
    const auto gap = last_tick_ ? now - *last_tick_ : core::duration{};
    paused_ = gap > timing_.pause;
    if (!paused_)
    {
        return;
    }
    probes_.clear();
    relays_.clear();
    for (auto& [id, it] : table_.members())
    {
        it.suspect_until += gap;
        it.next_confirm = now;
    }
    next_period_ = now;
}

void failure_detector::check_probe(
    core::time_point now, std::vector<probe_action>& out)
{
    for (auto it = probes_.begin(); it != probes_.end();)
    {
        const auto probe = it->first;
        auto& flight = it->second;
        auto* target = table_.find(flight.target);
        if (target == nullptr || !is_live(*target))
        {
            it = probes_.erase(it);
            continue;
        }
        if (!flight.indirect && now - flight.sent >= timing_.probe_timeout)
        {
            flight.indirect = true;
            const auto helpers = table_.pick(
                timing_.indirect_probes, random_, [&](const member& m) {
                    return m.record.state == vm_state::alive &&
                           m.record.id != flight.target;
                });
            for (const auto* helper : helpers)
            {
                out.push_back(
                    {probe_action::probe_kind::ping_request, helper->record.id,
                     helper->record.peer_address, probe, flight.target,
                     target->record.peer_address});
            }
        }
        if (now - flight.sent >= timing_.probe_period)
        {
            // A leaving VM is expected to stop, so it needs no suspicion.
            if (target->record.state == vm_state::alive)
            {
                table_.declare(*target, vm_state::suspect, now);
            }
            else if (target->record.state == vm_state::leaving)
            {
                table_.declare(*target, vm_state::dead, now);
            }
            it = probes_.erase(it);
            continue;
        }
        ++it;
    }
    for (auto it = relays_.begin(); it != relays_.end();)
    {
        const bool ended = now - it->second.sent >= timing_.probe_period;
        it = ended ? relays_.erase(it) : std::next(it);
    }
}

void failure_detector::check_suspects(
    core::time_point now, std::vector<probe_action>& out)
{
    for (auto& [id, it] : table_.members())
    {
        if (it.record.state != vm_state::suspect)
        {
            continue;
        }
        if (now >= it.suspect_until)
        {
            table_.declare(it, vm_state::dead, now);
            continue;
        }
        if (now >= it.next_confirm)
        {
            it.next_confirm = now + timing_.confirm_period;
            out.push_back(
                {probe_action::probe_kind::confirm, id, it.record.peer_address,
                 next_probe_++, "", ""});
        }
    }
}

const member* failure_detector::next_target()
{
    for (std::size_t tried = 0; tried <= order_.size(); ++tried)
    {
        if (next_in_order_ >= order_.size())
        {
            order_.clear();
            for (const auto& [id, it] : table_.members())
            {
                order_.push_back(id);
            }
            for (auto n = order_.size(); n > 1; --n)
            {
                std::swap(order_[n - 1], order_[random_.below(n)]);
            }
            next_in_order_ = 0;
            if (order_.empty())
            {
                return nullptr;
            }
        }
        const auto* it = table_.find(order_[next_in_order_++]);
        // Suspects are probed by check_suspects().
        if (it != nullptr && is_live(*it) &&
            it->record.state != vm_state::suspect)
        {
            return it;
        }
    }
    return nullptr;
}

void failure_detector::start_probe(
    core::time_point now, std::vector<probe_action>& out)
{
    const auto* target = next_target();
    if (target == nullptr)
    {
        return;
    }
    const auto probe = next_probe_++;
    probes_[probe] = {target->record.id, now, false};
    out.push_back(
        {probe_action::probe_kind::ping, target->record.id,
         target->record.peer_address, probe, "", ""});
}

void failure_detector::rejoin(
    core::time_point now, std::vector<probe_action>& out)
{
    std::vector<std::pair<std::string, std::string>> absent;
    for (const auto& seed : seeds_)
    {
        const bool known = std::any_of(
            table_.members().begin(), table_.members().end(),
            [&](const auto& m) {
                return is_live(m.second) &&
                       m.second.record.peer_address == seed;
            });
        if (!known && seed != table_.self().peer_address)
        {
            absent.emplace_back("", seed);
        }
    }
    const bool alone = table_.live_count() == 0;
    next_rejoin_ = now + (alone ? timing_.probe_period : timing_.rejoin_period);
    const auto dead = table_.pick(alone ? 3 : 1, random_, [](const member& m) {
        return !is_live(m);
    });
    if (!alone && absent.size() > 1)
    {
        std::swap(absent.front(), absent[random_.below(absent.size())]);
        absent.resize(1);
    }
    for (const auto* it : dead)
    {
        absent.emplace_back(it->record.id, it->record.peer_address);
    }
    for (const auto& [id, address] : absent)
    {
        out.push_back(
            {probe_action::probe_kind::ping, id, address, next_probe_++, "",
             ""});
    }
}

std::optional<relay>
failure_detector::on_ack(std::uint64_t probe, const std::string& responder)
{
    const auto direct = probes_.find(probe);
    if (direct != probes_.end() && direct->second.target == responder)
    {
        probes_.erase(direct);
        return std::nullopt;
    }
    const auto it = relays_.find(probe);
    if (it == relays_.end() || it->second.target != responder)
    {
        return std::nullopt;
    }
    auto to = std::move(it->second.to);
    relays_.erase(it);
    return to;
}

std::optional<probe_action> failure_detector::start_relay(
    const std::string& requester, const std::string& requester_address,
    const ping_request& it, core::time_point now)
{
    if (relays_.size() >= max_relays || it.target == table_.self().id)
    {
        return std::nullopt;
    }
    const auto probe = next_probe_++;
    relays_[probe] = {{requester, requester_address, it.probe}, it.target, now};
    return probe_action{probe_action::probe_kind::confirm,
                        it.target,
                        it.target_address,
                        probe,
                        "",
                        ""};
}

bool failure_detector::has_live_region_peer() const
{
    return std::any_of(
        table_.members().begin(), table_.members().end(), [&](const auto& m) {
            return is_live(m.second) &&
                   m.second.record.region == table_.self().region;
        });
}

bool failure_detector::hears_no_region_peer(core::time_point now) const
{
    bool has_others = false;
    bool all_dead = true;
    bool heard_elsewhere = false;
    for (const auto& [id, it] : table_.members())
    {
        const bool heard = it.heard != core::time_point{} &&
                           now - it.heard < timing_.isolation;
        if (it.record.region != table_.self().region)
        {
            heard_elsewhere = heard_elsewhere || heard;
            continue;
        }
        if (heard)
        {
            return false;
        }
        has_others =
            has_others || (!it.left && it.record.state != vm_state::leaving);
        all_dead = all_dead && it.record.state == vm_state::dead;
    }
    return has_others && now - started_ >= timing_.isolation &&
           !(all_dead && heard_elsewhere);
}

} // namespace hyssoploft::membership
