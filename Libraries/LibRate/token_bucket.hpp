#ifndef HYSSOPLOFT_LIBRATE_TOKEN_BUCKET_HPP
#define HYSSOPLOFT_LIBRATE_TOKEN_BUCKET_HPP

// Token bucket of one account at one VM. Starts empty.
//
// A refund is limited so that the bucket ends as if only the used tokens had
// been taken. Refunding everything up to the cap would let several long
// reservations that are settled together exceed the burst.

#include <LibCore/time.hpp>

#include <cstdint>
#include <deque>

namespace hyssoploft::rate {

class token_bucket
{
public:
    explicit token_bucket(core::time_point now) : updated_at_(now) {}

    /// Accrues credit up to `now`; an earlier time has no effect. Returns the
    /// credit above the cap, which is dropped.
    double advance(core::time_point now);

    /// Sets rate and cap as of the last advance(). Returns the credit above the
    /// new cap, which is dropped.
    double configure(double tokens_per_second, double cap);

    /// Adds credit up to the cap. Returns the rest, which is dropped.
    double add(double tokens);

    /// Takes `tokens`, all or nothing. Negative and non-finite amounts are
    /// refused.
    bool take(double tokens);

    /// Number of the last successful take(), for refund().
    std::uint64_t epoch() const
    {
        return epoch_;
    }

    /// Refunds unused tokens of the take() with this number, within the limit
    /// above. Returns the tokens refunded.
    double refund(std::uint64_t epoch, double tokens);

    /// Time until `tokens` have accrued; duration::max() if they never do.
    core::duration time_until_available(double tokens) const;

    double credit() const
    {
        return credit_;
    }

    double cap() const
    {
        return cap_;
    }

    double tokens_per_second() const
    {
        return tokens_per_second_;
    }

private:
    struct headroom_mark
    {
        std::uint64_t epoch;
        double headroom;
    };

    void record_headroom();

    core::time_point updated_at_;
    double tokens_per_second_ = 0;
    double cap_ = 0;
    double credit_ = 0; // Between 0 and cap_.
    std::uint64_t epoch_ = 0;

    // Lowest distance between credit and cap since each take(); epochs and
    // headrooms both increase from front to back.
    std::deque<headroom_mark> headroom_marks_;
};

} // namespace hyssoploft::rate

#endif
