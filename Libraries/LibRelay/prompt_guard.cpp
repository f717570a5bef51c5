// Compares prompts with the parts under which engines crashed.

#include <LibRelay/prompt_guard.hpp>

#include <absl/strings/str_format.h>

#include <algorithm>

namespace hyssoploft::relay {

namespace {

using fleet::crash_suspects;
using routing::prompt_part;

// One VM of the fleet makes the trials of a part, so that a part that is still
// deadly costs one engine. VMs that know different fleets may both do.
bool makes_trials(const fleet::traffic_view& view, std::uint64_t part)
{
    const std::string* chosen = nullptr;
    std::uint64_t highest = 0;
    for (const auto& [id, vm] : view.fleet->vms)
    {
        if (!vm.entry || vm.state != membership::vm_state::alive)
        {
            continue;
        }
        const auto rank = fleet::hash_upstream(id, part);
        if (!chosen || rank > highest)
        {
            chosen = &id;
            highest = rank;
        }
    }
    return chosen && *chosen == view.fleet->self;
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
    for (const auto part : shared_parts(parts))
    {
        const auto found = view.suspects->find(part);
        if (found == view.suspects->end() || !found->second.is_quarantined())
        {
            continue;
        }
        const auto last_trial = last_trials_.find(part);
        auto until = found->second.held_until;
        if (last_trial != last_trials_.end())
        {
            until = std::max(until, last_trial->second + trial_interval);
        }
        const bool may_try = now >= until && makes_trials(view, part);
        if (!may_try)
        {
            const core::duration wait = std::max(until - now, trial_interval);
            return {prompt_verdict::quarantined, part, wait};
        }
        out = {prompt_verdict::trial, part, {}};
    }
    return out;
}

void prompt_guard::start_trial(std::uint64_t part, core::time_point now)
{
    std::erase_if(last_trials_, [now](const auto& it) {
        return now - it.second > crash_suspects::retention;
    });
    last_trials_[part] = now;
}

bool prompt_guard::is_suspect(
    const fleet::traffic_view& view,
    const std::vector<prompt_part>& parts) const
{
    if (!view.suspects || view.suspects->empty())
    {
        return false;
    }
    const auto shared = shared_parts(parts);
    return std::any_of(shared.begin(), shared.end(), [&](const auto part) {
        return view.suspects->contains(part);
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
