// Own calls plus other VMs' calls from lagged reports.

#include <LibRouting/load_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace hyssoploft::routing {
namespace {

// Weight of a new report in the mean of other VMs' calls. Reports come about
// twice a second, so that the mean follows a change within some seconds.
constexpr double mean_gain = 0.2;

} // namespace

void load_estimate::started(const own_call& call)
{
    own_.push_back(call);
}

std::vector<own_call>::iterator load_estimate::find(
    std::uint32_t prompt_tokens, std::uint64_t prompt_hash,
    core::time_point start)
{
    auto best = own_.end();
    for (auto it = own_.begin(); it != own_.end(); ++it)
    {
        if (it->prompt_tokens != prompt_tokens ||
            it->prompt_hash != prompt_hash)
        {
            continue;
        }
        if (best == own_.end() || std::chrono::abs(it->start - start) <
                                      std::chrono::abs(best->start - start))
        {
            best = it;
        }
    }
    return best;
}

std::optional<own_call> load_estimate::first_token(
    std::uint32_t prompt_tokens, std::uint64_t prompt_hash,
    core::duration since_start, core::time_point now)
{
    const auto it = find(prompt_tokens, prompt_hash, now - since_start);
    if (it == own_.end())
    {
        return std::nullopt;
    }
    const own_call before = *it;
    it->answered = true;
    announced_ = true;
    return before;
}

std::optional<own_call> load_estimate::finished(
    std::uint32_t prompt_tokens, std::uint64_t prompt_hash,
    core::duration total, core::time_point now)
{
    const auto best = find(prompt_tokens, prompt_hash, now - total);
    if (best == own_.end())
    {
        return std::nullopt;
    }
    const own_call call = *best;
    own_.erase(best);
    past_.push_back({call.start, now});
    if (past_.size() > max_past_calls)
    {
        past_.pop_front();
    }
    return call;
}

bool load_estimate::report(const membership::load_report& it)
{
    if (it.sequence == 0 || it.sequence == sequence_)
    {
        return false;
    }
    const bool first = sequence_ == 0;
    sequence_ = it.sequence;
    measured_ = it.received - it.lag;
    const double total = static_cast<double>(it.running) + it.queued;
    others_ = std::max(0.0, total - own_at(measured_, {}));
    others_mean_ =
        first ? others_ : others_mean_ + mean_gain * (others_ - others_mean_);
    understated_ = total < own_at(measured_, settings_.report_margin);
    return true;
}

std::uint32_t
load_estimate::own_at(core::time_point when, core::duration margin) const
{
    const auto running =
        std::count_if(own_.begin(), own_.end(), [&](const own_call& it) {
            return it.start + margin < when;
        });
    const auto ended =
        std::count_if(past_.begin(), past_.end(), [&](const past_call& it) {
            return it.start + margin < when && it.end > when + margin;
        });
    return static_cast<std::uint32_t>(running + ended);
}

double load_estimate::calls(core::time_point now) const
{
    const double own = own_in_flight();
    if (distrusted_)
    {
        return own * sharers_;
    }
    if (sequence_ == 0)
    {
        return own;
    }
    const double age = std::max(0.0, core::to_seconds(now - measured_));
    const double weight =
        std::exp2(-age / core::to_seconds(settings_.report_half_life));
    return own + weight * others_ + (1 - weight) * others_mean_;
}

double load_estimate::pending_prefill(core::time_point now) const
{
    double tokens = 0;
    for (const own_call& it : own_)
    {
        if (announced_ ? !it.answered : it.start + it.first_token > now)
        {
            tokens += it.uncached_tokens;
        }
    }
    return tokens;
}

} // namespace hyssoploft::routing
