// Accrual, reservation and bounded refund of tokens.

#include <LibRate/token_bucket.hpp>

#include <algorithm>
#include <cmath>

namespace hyssoploft::rate {

namespace {

// Bounds the memory of one bucket. With more marks, the oldest reservations are
// refunded less than they could be.
constexpr std::size_t max_headroom_marks = 64;

} // namespace

double token_bucket::advance(core::time_point now)
{
    if (now <= updated_at_)
    {
        return 0;
    }
    const double accrued =
        tokens_per_second_ * core::to_seconds(now - updated_at_);
    updated_at_ = now;
    return add(accrued);
}

double token_bucket::configure(double tokens_per_second, double cap)
{
    record_headroom();
    tokens_per_second_ = tokens_per_second;
    cap_ = cap;
    const double dropped = std::max(0.0, credit_ - cap_);
    credit_ -= dropped;
    record_headroom();
    return dropped;
}

double token_bucket::add(double tokens)
{
    const double uncapped = credit_ + std::max(0.0, tokens);
    credit_ = std::min(cap_, uncapped);
    return uncapped - credit_;
}

bool token_bucket::take(double tokens)
{
    if (!std::isfinite(tokens) || tokens < 0 || tokens > credit_)
    {
        return false;
    }
    record_headroom();
    ++epoch_;
    credit_ -= tokens;
    return true;
}

double token_bucket::refund(std::uint64_t epoch, double tokens)
{
    if (!std::isfinite(tokens) || tokens <= 0 || epoch > epoch_)
    {
        return 0;
    }
    double refund_limit = cap_ - credit_;
    const auto first = std::find_if(
        headroom_marks_.begin(), headroom_marks_.end(),
        [&](const headroom_mark& it) {
            return it.epoch >= epoch;
        });
    if (first != headroom_marks_.end())
    {
        refund_limit = std::min(refund_limit, first->headroom);
    }
    const double refunded =
        std::clamp(tokens, 0.0, std::max(0.0, refund_limit));
    credit_ += refunded;
    // The refunded credit counts as held since the reservation.
    std::for_each(first, headroom_marks_.end(), [&](headroom_mark& it) {
        it.headroom -= refunded;
    });
    return refunded;
}

core::duration token_bucket::time_until_available(double tokens) const
{
    if (tokens <= credit_)
    {
        return core::duration::zero();
    }
    if (tokens > cap_ || tokens_per_second_ <= 0)
    {
        return core::duration::max();
    }
    const double seconds = (tokens - credit_) / tokens_per_second_;
    constexpr double max_wait_seconds = 1e6;
    return core::from_seconds(std::min(seconds, max_wait_seconds)) +
           std::chrono::microseconds(1);
}

void token_bucket::record_headroom()
{
    const double headroom = cap_ - credit_;
    while (!headroom_marks_.empty() &&
           headroom_marks_.back().headroom >= headroom)
    {
        headroom_marks_.pop_back();
    }
    if (!headroom_marks_.empty() && headroom_marks_.back().epoch == epoch_)
    {
        return; // This epoch already has a lower mark.
    }
    headroom_marks_.push_back({epoch_, headroom});
    if (headroom_marks_.size() > max_headroom_marks)
    {
        const double lowest = headroom_marks_.front().headroom;
        headroom_marks_.pop_front();
        headroom_marks_.front().headroom = lowest;
    }
}

} // namespace hyssoploft::rate
