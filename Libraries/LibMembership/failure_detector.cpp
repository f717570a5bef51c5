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
      table_(std::move(self), timing.suspicion_timeout),
      // A random start prevents matches with acks to a previous process;
      // probe 0 is reserved for pings that need no ack.
      next_probe_number_((random.next() >> 16) + 1)
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
    detect_pause(now);
    last_tick_ = now;
    check_probes(now, out);
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

void failure_detector::detect_pause(core::time_point now)
{
    const auto gap = last_tick_ ? now - *last_tick_ : core::duration{};
    paused_ = gap > timing_.pause_threshold;
    if (!paused_)
    {
        return;
    }
    pending_probes_.clear();
    pending_relays_.clear();
    for (auto& [id, it] : table_.members())
    {
        it.suspect_until += gap;
        it.next_confirmation = now;
    }
    next_period_ = now;
}

void failure_detector::check_probes(
    core::time_point now, std::vector<probe_action>& out)
{
    for (auto it = pending_probes_.begin(); it != pending_probes_.end();)
    {
        const auto probe_number = it->first;
        auto& pending = it->second;
        auto* target = table_.find(pending.target);
        if (target == nullptr || !is_live(*target))
        {
            it = pending_probes_.erase(it);
            continue;
        }
        if (!pending.indirect && now - pending.sent >= timing_.probe_timeout)
        {
            pending.indirect = true;
            const auto helpers = table_.pick_random(
                timing_.indirect_probes, random_, [&](const member& m) {
                    return m.record.state == vm_state::alive &&
                           m.record.id != pending.target;
                });
            for (const auto* helper : helpers)
            {
                out.push_back(
                    {probe_action::probe_kind::ping_request, helper->record.id,
                     helper->record.peer_address, probe_number, pending.target,
                     target->record.peer_address});
            }
        }
        if (now - pending.sent >= timing_.probe_period)
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
            it = pending_probes_.erase(it);
            continue;
        }
        ++it;
    }
    for (auto it = pending_relays_.begin(); it != pending_relays_.end();)
    {
        const bool ended = now - it->second.sent >= timing_.probe_period;
        it = ended ? pending_relays_.erase(it) : std::next(it);
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
        if (now >= it.next_confirmation)
        {
            it.next_confirmation = now + timing_.confirm_period;
            out.push_back(
                {probe_action::probe_kind::confirm, id, it.record.peer_address,
                 next_probe_number_++, "", ""});
        }
    }
}

const member* failure_detector::next_target()
{
    for (std::size_t tried = 0; tried <= probe_order_.size(); ++tried)
    {
        if (next_target_index_ >= probe_order_.size())
        {
            probe_order_.clear();
            for (const auto& [id, it] : table_.members())
            {
                probe_order_.push_back(id);
            }
            for (auto n = probe_order_.size(); n > 1; --n)
            {
                std::swap(probe_order_[n - 1], probe_order_[random_.below(n)]);
            }
            next_target_index_ = 0;
            if (probe_order_.empty())
            {
                return nullptr;
            }
        }
        const auto* it = table_.find(probe_order_[next_target_index_++]);
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
    const auto probe_number = next_probe_number_++;
    pending_probes_[probe_number] = {target->record.id, now, false};
    out.push_back(
        {probe_action::probe_kind::ping, target->record.id,
         target->record.peer_address, probe_number, "", ""});
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
    const auto dead =
        table_.pick_random(alone ? 3 : 1, random_, [](const member& m) {
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
            {probe_action::probe_kind::ping, id, address, next_probe_number_++,
             "", ""});
    }
}

std::optional<ack_destination> failure_detector::on_ack(
    std::uint64_t probe_number, const std::string& responder)
{
    const auto direct = pending_probes_.find(probe_number);
    if (direct != pending_probes_.end() && direct->second.target == responder)
    {
        pending_probes_.erase(direct);
        return std::nullopt;
    }
    const auto it = pending_relays_.find(probe_number);
    if (it == pending_relays_.end() || it->second.target != responder)
    {
        return std::nullopt;
    }
    auto to = std::move(it->second.to);
    pending_relays_.erase(it);
    return to;
}

std::optional<probe_action> failure_detector::start_relay(
    const std::string& requester, const std::string& requester_address,
    const ping_request& it, core::time_point now)
{
    if (pending_relays_.size() >= max_relays || it.target == table_.self().id)
    {
        return std::nullopt;
    }
    const auto probe_number = next_probe_number_++;
    pending_relays_[probe_number] = {
        {requester, requester_address, it.probe_number}, it.target, now};
    return probe_action{
        probe_action::probe_kind::confirm,
        it.target,
        it.target_address,
        probe_number,
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

bool failure_detector::is_cut_off_from_region(core::time_point now) const
{
    bool has_region_peers = false;
    bool all_region_peers_dead = true;
    bool heard_other_region = false;
    for (const auto& [id, it] : table_.members())
    {
        const bool heard = it.last_heard != core::time_point{} &&
                           now - it.last_heard < timing_.isolation;
        if (it.record.region != table_.self().region)
        {
            heard_other_region = heard_other_region || heard;
            continue;
        }
        if (heard)
        {
            return false;
        }
        has_region_peers =
            has_region_peers ||
            (!it.left_gracefully && it.record.state != vm_state::leaving);
        all_region_peers_dead =
            all_region_peers_dead && it.record.state == vm_state::dead;
    }
    return has_region_peers && now - started_ >= timing_.isolation &&
           !(all_region_peers_dead && heard_other_region);
}

} // namespace hyssoploft::membership
