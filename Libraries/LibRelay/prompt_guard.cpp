// Compares prompts with the parts under which engines crashed.

#include <LibRelay/prompt_guard.hpp>

#include <absl/strings/str_format.h>

#include <algorithm>

namespace hyssoploft::relay {

namespace {

using fleet::crash_suspects;
using routing::prompt_part;

// Few VMs of the fleet make the trials of a part, so that one that is still
// deadly costs few engines: `permitted` of them, the same on all VMs that know
// the same fleet.
bool makes_trials(
    const fleet::traffic_view& view, std::uint64_t part, std::size_t permitted)
{
    const auto own_rank = fleet::hash_upstream(view.fleet->self, part);
    std::size_t higher = 0;
    for (const auto& [id, vm] : view.fleet->vms)
    {
        higher += vm.entry && vm.state == membership::vm_state::alive &&
                          fleet::hash_upstream(id, part) > own_rank
                      ? 1
                      : 0;
    }
    return higher < permitted;
}

std::size_t permitted_trial_vms(core::duration since_hold)
{
    constexpr std::int64_t max_doublings = 16;
    return std::size_t{1} << std::min<std::int64_t>(
               max_doublings, since_hold / prompt_guard::trial_interval);
}

// The parts that other prompts may have as well.
std::vector<std::uint64_t> shared_parts(const std::vector<prompt_part>& parts)
{
    std::vector<std::uint64_t> out;
    for (std::size_t n = 0; n + 1 < parts.size(); ++n)
    {
        out.push_back(parts[n].id);
    }
    return out;
}

} // namespace

gateway::refusal refuse_prompt(const prompt_decision& it)
{
    auto out = gateway::make_refusal(
        gateway::refusal_reason::prompt_quarantined,
        absl::StrFormat(
            "engines crashed under prompt part %x; it is not sent to others",
            it.part));
    out.retry_after = it.retry_after;
    return out;
}

prompt_decision prompt_guard::check(
    const fleet::traffic_view& view, const std::vector<prompt_part>& parts,
    core::time_point now) const
{
    prompt_decision out;
    if (!view.suspects || view.suspects->empty())
    {
        return out;
    }
    core::time_point until;
    core::time_point held_until;
    for (const auto part : shared_parts(parts))
    {
        const auto found = view.suspects->find(part);
        if (found == view.suspects->end() || !found->second.is_quarantined())
        {
            continue;
        }
        // Parts that come together are tried together, by the VMs of the first.
        out.part = out.part == 0 ? part : out.part;
        held_until = std::max(held_until, found->second.held_until);
        until = std::max(until, held_until);
        const auto last_trial = last_trials_.find(part);
        if (last_trial != last_trials_.end())
        {
            until = std::max(until, last_trial->second + trial_interval);
        }
        out.verdict = prompt_verdict::quarantined;
    }
    if (out.verdict == prompt_verdict::allowed)
    {
        return out;
    }
    if (now >= until &&
        makes_trials(view, out.part, permitted_trial_vms(now - held_until)))
    {
        out.verdict = prompt_verdict::trial;
        return out;
    }
    out.retry_after = std::max<core::duration>(until - now, trial_interval);
    return out;
}

void prompt_guard::start_trial(
    const fleet::traffic_view& view, const std::vector<prompt_part>& parts,
    core::time_point now)
{
    std::erase_if(last_trials_, [now](const auto& it) {
        return now - it.second > crash_suspects::retention;
    });
    for (const auto part : shared_parts(parts))
    {
        if (view.suspects && view.suspects->contains(part))
        {
            last_trials_[part] = now;
        }
    }
}

bool prompt_guard::is_suspect(
    const fleet::traffic_view& view, const std::vector<prompt_part>& parts,
    core::time_point now) const
{
    if (!view.suspects || view.suspects->empty())
    {
        return false;
    }
    const auto shared = shared_parts(parts);
    return std::any_of(shared.begin(), shared.end(), [&](const auto part) {
        const auto found = view.suspects->find(part);
        return found != view.suspects->end() &&
               now - found->second.last_crash_at <= suspect_time;
    });
}

void prompt_guard::remember(std::uint64_t part, core::time_point now)
{
    const auto found = answered_.find(part);
    if (found != answered_.end())
    {
        found->second->at = now;
        lru_.splice(lru_.begin(), lru_, found->second);
        return;
    }
    lru_.push_front({part, now});
    answered_[part] = lru_.begin();
    if (lru_.size() > max_answered_parts)
    {
        answered_.erase(lru_.back().id);
        lru_.pop_back();
    }
}

bool prompt_guard::was_answered(std::uint64_t part, core::time_point now) const
{
    const auto found = answered_.find(part);
    return found != answered_.end() &&
           now - found->second->at <= crash_suspects::answer_lifetime;
}

void prompt_guard::record_answer(
    const fleet::traffic_view& view, const std::vector<prompt_part>& parts,
    core::time_point now, fleet::suspect_sink& sink)
{
    for (const auto part : shared_parts(parts))
    {
        remember(part, now);
        if (view.suspects && view.suspects->contains(part))
        {
            sink.report_answer(part, now);
        }
    }
}

void prompt_guard::record_crash(
    const std::string& upstream, std::uint64_t incarnation,
    const std::vector<prompt_part>& parts, core::time_point now,
    fleet::suspect_sink& sink) const
{
    auto suspects = shared_parts(parts);
    std::erase_if(suspects, [&](const auto part) {
        return was_answered(part, now);
    });
    if (!suspects.empty())
    {
        sink.report_crash(
            fleet::hash_upstream(upstream, incarnation), std::move(suspects),
            now);
    }
}

void prompt_guard::report_answers(
    const fleet::traffic_view& view, core::time_point now,
    fleet::suspect_sink& sink)
{
    if (!view.suspects || view.suspects == reported_)
    {
        return;
    }
    reported_ = view.suspects;
    for (const auto& [part, state] : *view.suspects)
    {
        if (was_answered(part, now))
        {
            sink.report_answer(part, answered_.at(part)->at);
        }
    }
}

} // namespace hyssoploft::relay
