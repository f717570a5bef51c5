// Selects the grantors of each round and collects their answers.

#include <LibRate/loan_search.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace hyssoploft::rate {

namespace {

/// Fraction of the missing tokens that is requested from each grantor of
/// another region: two answers suffice, and surplus tokens are returned.
constexpr double far_part = 0.5;

} // namespace

loan_search::loan_search(
    double wanted, std::vector<std::string> near, std::vector<std::string> far)
    : wanted_(wanted), near_(std::move(near)), far_(std::move(far))
{}

std::vector<loan_search::question> loan_search::next_round()
{
    std::vector<question> out;
    const double missing = wanted_ - lent_;
    if (missing <= 0)
    {
        return out;
    }
    if (!near_.empty())
    {
        out.push_back({near_.front(), missing});
        near_.erase(near_.begin());
        return out;
    }
    const double part = far_.size() < 2 ? missing : far_part * missing;
    for (auto& it : std::exchange(far_, {}))
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
