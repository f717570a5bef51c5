// Accrual, reservation and bounded refund of tokens.

#include <LibRate/token_bucket.hpp>

#include <algorithm>
#include <cmath>

namespace hyssoploft::rate {

namespace {

// Bounds the memory of one bucket. With more marks, the oldest reservations are
// refunded less than they could be.
constexpr std::size_t max_marks = 64;

} // namespace

double token_bucket::advance(core::time_point now)
{
    if (now <= updated_)
    {
        return 0;
    }
    const double gained = tokens_per_second_ * core::to_seconds(now - updated_);
    updated_ = now;
    return add(gained);
}

double token_bucket::configure(double tokens_per_second, double cap)
{
    note_headroom();
    tokens_per_second_ = tokens_per_second;
    cap_ = cap;
    const double dropped = std::max(0.0, credit_ - cap_);
    credit_ -= dropped;
    note_headroom();
    return dropped;
}

double token_bucket::add(double tokens)
{
    const double wanted = credit_ + std::max(0.0, tokens);
    credit_ = std::min(cap_, wanted);
    return wanted - credit_;
}

bool token_bucket::take(double tokens)
{
    if (!std::isfinite(tokens) || tokens < 0 || tokens > credit_)
    {
        return false;
    }
    note_headroom();
    ++epoch_;
    credit_ -= tokens;
    return true;
}

double token_bucket::give_back(std::uint64_t epoch, double tokens)
{
    if (!std::isfinite(tokens) || tokens <= 0 || epoch > epoch_)
    {
        return 0;
    }
    double room = cap_ - credit_;
    const auto first = std::find_if(
        marks_.begin(), marks_.end(), [&](const headroom_mark& it) {
            return it.epoch >= epoch;
        });
    if (first != marks_.end())
    {
        room = std::min(room, first->headroom);
    }
    const double given = std::clamp(tokens, 0.0, std::max(0.0, room));
    credit_ += given;
    // The refunded credit counts as held since the reservation.
    std::for_each(first, marks_.end(), [&](headroom_mark& it) {
        it.headroom -= given;
    });
    return given;
}

core::duration token_bucket::wait_for(double tokens) const
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
    constexpr double longest = 1e6;
    return core::from_seconds(std::min(seconds, longest)) +
           std::chrono::microseconds(1);
}

void token_bucket::note_headroom()
{
    const double headroom = cap_ - credit_;
    while (!marks_.empty() && marks_.back().headroom >= headroom)
    {
        marks_.pop_back();
    }
    if (!marks_.empty() && marks_.back().epoch == epoch_)
    {
        return; // This epoch already has a lower mark.
    }
    marks_.push_back({epoch_, headroom});
    if (marks_.size() > max_marks)
    {
        const double lowest = marks_.front().headroom;
        marks_.pop_front();
        marks_.front().headroom = lowest;
    }
}

} // namespace hyssoploft::rate
