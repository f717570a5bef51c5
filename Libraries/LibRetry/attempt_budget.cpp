// Sliding window of buckets, each counting one slice of time.

#include <LibRetry/attempt_budget.hpp>

namespace hyssoploft::retry {

void attempt_budget::on_request(core::time_point now)
{
    ++current_bucket(now).requests;
}

bool attempt_budget::has_room(std::uint32_t n, core::time_point now) const
{
    // Requests are counted in at most a window, extra attempts in at least one.
    const std::int64_t oldest_attempts =
        slice_index(now) - static_cast<std::int64_t>(slice_count);
    const std::int64_t oldest_requests = oldest_attempts + 1;
    std::uint64_t requests = 0;
    std::uint64_t extra_attempts = 0;
    for (const bucket& it : buckets_)
    {
        requests += it.slice >= oldest_requests ? it.requests : 0;
        extra_attempts += it.slice >= oldest_attempts ? it.extra_attempts : 0;
    }
    return static_cast<double>(extra_attempts + n) <=
           request_share_ * static_cast<double>(requests) + base_attempts_;
}

bool attempt_budget::take(core::time_point now)
{
    if (is_exhausted(now))
    {
        return false;
    }
    ++current_bucket(now).extra_attempts;
    return true;
}

std::int64_t attempt_budget::slice_index(core::time_point now) const
{
    return now.time_since_epoch() / (window_ / static_cast<int>(slice_count));
}

attempt_budget::bucket& attempt_budget::current_bucket(core::time_point now)
{
    const std::int64_t slice = slice_index(now);
    bucket& it = buckets_[static_cast<std::size_t>(slice) % bucket_count];
    if (it.slice != slice)
    {
        it = {slice, 0, 0};
    }
    return it;
}

} // namespace hyssoploft::retry
