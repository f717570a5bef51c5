// Combines own calls with other VMs' calls from delayed reports.

#include <LibRouting/load_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace hyssoploft::routing {
namespace {

// Weight of a new report in the moving average of other VMs' calls. At about
// two reports per second, the average follows a change within some seconds.
constexpr double mean_weight = 0.2;

} // namespace

void load_estimate::add_call(const own_call& call)
{
    own_.push_back(call);
}

std::vector<own_call>::iterator load_estimate::find_call(
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

std::optional<own_call> load_estimate::record_first_token(
    std::uint32_t prompt_tokens, std::uint64_t prompt_hash,
    core::duration since_start, core::time_point now)
{
    const auto it = find_call(prompt_tokens, prompt_hash, now - since_start);
    if (it == own_.end())
    {
        return std::nullopt;
    }
    const own_call previous = *it;
    it->answered = true;
    first_tokens_reported_ = true;
    return previous;
}

std::optional<own_call> load_estimate::remove_call(
    std::uint32_t prompt_tokens, std::uint64_t prompt_hash,
    core::duration total, core::time_point now)
{
    const auto best = find_call(prompt_tokens, prompt_hash, now - total);
    if (best == own_.end())
    {
        return std::nullopt;
    }
    const own_call call = *best;
    own_.erase(best);
    ended_.push_back({call.start, now});
    if (ended_.size() > max_ended_calls)
    {
        ended_.pop_front();
    }
    return call;
}

bool load_estimate::apply_report(const membership::load_report& it)
{
    if (it.sequence == 0 || it.sequence == sequence_)
    {
        return false;
    }
    const bool first = sequence_ == 0;
    sequence_ = it.sequence;
    measured_at_ = it.received - it.lag;
    const double total = static_cast<double>(it.running) + it.queued;
    other_calls_ = std::max(0.0, total - own_calls_at(measured_at_, {}));
    other_calls_mean_ =
        first ? other_calls_
              : other_calls_mean_ +
                    mean_weight * (other_calls_ - other_calls_mean_);
    understated_ = total < own_calls_at(measured_at_, settings_.report_margin);
    return true;
}

std::uint32_t
load_estimate::own_calls_at(core::time_point when, core::duration margin) const
{
    const auto running =
        std::count_if(own_.begin(), own_.end(), [&](const own_call& it) {
            return it.start + margin < when;
        });
    const auto ended =
        std::count_if(ended_.begin(), ended_.end(), [&](const ended_call& it) {
            return it.start + margin < when && it.end > when + margin;
        });
    return static_cast<std::uint32_t>(running + ended);
}

double load_estimate::calls(core::time_point now) const
{
    const double own = own_in_flight();
    if (distrusted_)
    {
        return own * vm_count_;
    }
    if (sequence_ == 0)
    {
        return own;
    }
    const double age = std::max(0.0, core::to_seconds(now - measured_at_));
    const double weight =
        std::exp2(-age / core::to_seconds(settings_.report_half_life));
    return own + weight * other_calls_ + (1 - weight) * other_calls_mean_;
}

double load_estimate::pending_prefill_tokens(core::time_point now) const
{
    double tokens = 0;
    for (const own_call& it : own_)
    {
        if (first_tokens_reported_ ? !it.answered
                                   : it.start + it.first_token > now)
        {
            tokens += it.uncached_tokens;
        }
    }
    return tokens;
}

} // namespace hyssoploft::routing
