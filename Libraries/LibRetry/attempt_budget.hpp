#ifndef HYSSOPLOFT_LIBRETRY_ATTEMPT_BUDGET_HPP
#define HYSSOPLOFT_LIBRETRY_ATTEMPT_BUDGET_HPP

// Limits extra attempts (retries or hedges) to a share of recent requests
// plus a constant, over a sliding window.

#include <LibCore/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace hyssoploft::retry {

class attempt_budget
{
public:
    attempt_budget(double share, std::uint32_t constant, core::duration window)
        : share_(share), constant_(constant), window_(window)
    {}

    /// Changes the constant; extra attempts in the window still count.
    void set_constant(std::uint32_t constant)
    {
        constant_ = constant;
    }

    void on_request(core::time_point now);

    /// Takes one extra attempt; false if the window holds as many as it may.
    bool take(core::time_point now);

private:
    struct bucket
    {
        std::int64_t slice = -1; // Number of the slice of time it counts.
        std::uint64_t requests = 0;
        std::uint64_t extra = 0;
    };

    static constexpr std::size_t bucket_count = 10;

    bucket& current(core::time_point now);
    std::int64_t slice_of(core::time_point now) const;

    double share_;
    std::uint32_t constant_;
    core::duration window_;
    std::array<bucket, bucket_count> buckets_{}; // Ring over the window.
};

} // namespace hyssoploft::retry

#endif
