// Selects the grantors of each round and collects their answers.

#include <LibRate/loan_search.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace hyssoploft::rate {

namespace {

/// Fraction of the missing tokens that is requested from each grantor of
/// another region: two answers suffice, and surplus tokens are returned.
constexpr double remote_fraction = 0.5;
constexpr core::duration min_refused_backoff = std::chrono::milliseconds(100);

} // namespace

void silent_grantors::timed_out(const std::string& grantor)
{
    silent_.insert(grantor);
}

void silent_grantors::answered(const std::string& grantor)
{
    silent_.erase(grantor);
}

void silent_grantors::remove_from(
    std::vector<std::string>& same_region,
    std::vector<std::string>& other_regions) const
{
    const auto is_silent = [this](const std::string& it) {
        return silent_.contains(it);
    };
    const bool none_left =
        std::all_of(same_region.begin(), same_region.end(), is_silent) &&
        std::all_of(other_regions.begin(), other_regions.end(), is_silent);
    if (!none_left)
    {
        std::erase_if(same_region, is_silent);
        std::erase_if(other_regions, is_silent);
    }
}

core::duration refused_loan_backoff(std::uint32_t entry_vms)
{
    return std::max<core::duration>(
        min_refused_backoff,
        core::from_seconds(
            static_cast<double>(entry_vms) / max_refused_requests));
}

loan_search::loan_search(
    double wanted, std::vector<std::string> same_region,
    std::vector<std::string> other_regions)
    : wanted_(wanted), same_region_(std::move(same_region)),
      other_regions_(std::move(other_regions))
{}

std::vector<loan_search::question> loan_search::next_round()
{
    std::vector<question> out;
    const double missing = wanted_ - lent_;
    if (missing <= 0)
    {
        return out;
    }
    if (!same_region_.empty())
    {
        out.push_back({same_region_.front(), missing});
        same_region_.erase(same_region_.begin());
        return out;
    }
    const double part =
        other_regions_.size() < 2 ? missing : remote_fraction * missing;
    for (auto& it : std::exchange(other_regions_, {}))
    {
        out.push_back({std::move(it), part});
    }
    return out;
}

void loan_search::answered(const loan_answer& it)
{
    lent_ += std::max(0.0F, it.tokens);
    if (it.tokens <= 0 && it.retry_after_ms > 0)
    {
        const core::duration wait =
            std::chrono::milliseconds(it.retry_after_ms);
        retry_after_ = retry_after_ == core::duration::zero()
                           ? wait
                           : std::min(retry_after_, wait);
    }
}

} // namespace hyssoploft::rate
