// Sliding window in slices.

#include <LibRetry/attempt_budget.hpp>

namespace hyssoploft::retry {

void attempt_budget::on_request(core::time_point now)
{
    ++current(now).requests;
}

bool attempt_budget::take(core::time_point now)
{
    const std::int64_t oldest =
        slice_of(now) - static_cast<std::int64_t>(bucket_count) + 1;
    std::uint64_t requests = 0;
    std::uint64_t extra = 0;
    for (const bucket& it : buckets_)
    {
        if (it.slice >= oldest)
        {
            requests += it.requests;
            extra += it.extra;
        }
    }
    if (static_cast<double>(extra + 1) >
        share_ * static_cast<double>(requests) + constant_)
    {
        return false;
    }
    ++current(now).extra;
    return true;
}

std::int64_t attempt_budget::slice_of(core::time_point now) const
{
    return now.time_since_epoch() / (window_ / static_cast<int>(bucket_count));
}

attempt_budget::bucket& attempt_budget::current(core::time_point now)
{
    const std::int64_t slice = slice_of(now);
    bucket& it = buckets_[static_cast<std::size_t>(slice) % bucket_count];
    if (it.slice != slice)
    {
        it = {slice, 0, 0};
    }
    return it;
}

} // namespace hyssoploft::retry
