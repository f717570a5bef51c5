#ifndef HYSSOPLOFT_LIBRATE_BASELINES_HPP
#define HYSSOPLOFT_LIBRATE_BASELINES_HPP

// Baselines for the evaluation of leases: fixed shares, and a central counter
// that every reservation has to reach.

#include <LibRate/declared_rates.hpp>
#include <LibRate/rate_limiter.hpp>
#include <LibRate/token_bucket.hpp>

#include <map>
#include <memory>
#include <mutex>

namespace hyssoploft::rate {

/// Gives every VM the same constant share of every rate. Thread safe.
class fixed_share_limiter final : public rate_limiter
{
public:
    /// `share` of rate and burst, from 0 to 1.
    fixed_share_limiter(
        const declared_rates& rates, double share, core::time_point now);

    reserve_result reserve(
        const std::string& account, double tokens,
        core::time_point now) override;
    void settle(
        const reservation& taken, double used_tokens,
        core::time_point now) override;

private:
    std::mutex mutex_; // Guards the buckets.
    std::map<std::string, token_bucket> buckets_;
};

/// Model of a central counter as seen by one VM: grants from the whole rate,
/// adds one round trip to every reservation, refuses while unreachable.
class central_counter final : public rate_limiter
{
public:
    /// `counter` is shared by the models of all VMs and holds the whole rate.
    central_counter(
        std::shared_ptr<rate_limiter> counter, core::duration round_trip)
        : counter_(std::move(counter)), round_trip_(round_trip)
    {}

    void set_reachable(bool reachable)
    {
        reachable_ = reachable;
    }

    /// Adds to the time to first token of every request.
    core::duration round_trip() const
    {
        return round_trip_;
    }

    reserve_result reserve(
        const std::string& account, double tokens,
        core::time_point now) override;
    void settle(
        const reservation& taken, double used_tokens,
        core::time_point now) override;

private:
    std::shared_ptr<rate_limiter> counter_;
    core::duration round_trip_;
    bool reachable_ = true;
};

} // namespace hyssoploft::rate

#endif
