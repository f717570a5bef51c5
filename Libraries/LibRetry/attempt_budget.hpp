#ifndef HYSSOPLOFT_LIBRETRY_ATTEMPT_BUDGET_HPP
#define HYSSOPLOFT_LIBRETRY_ATTEMPT_BUDGET_HPP

// Limits extra attempts (retries or hedges) within any window of a length to a
// share of the requests in it plus a constant.

#include <LibCore/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace hyssoploft::retry {

/// Part of a share of a fleet's requests that each VM may use. VMs count
/// requests in windows of their own and need most retries where and when these
/// hold most of them, so that the sum over VMs exceeds the share of any common
/// window.
inline constexpr double used_fleet_share = 0.9;

class attempt_budget
{
public:
    attempt_budget(
        double request_share, std::uint32_t base_attempts,
        core::duration window)
        : request_share_(request_share), base_attempts_(base_attempts),
          window_(window)
    {}

    /// Changes the constant part. Extra attempts in the window still count.
    void set_constant(std::uint32_t base_attempts)
    {
        base_attempts_ = base_attempts;
    }

    void on_request(core::time_point now);

    /// Charges one extra attempt. Returns false, without a charge, if the
    /// budget of the window is used up.
    bool take(core::time_point now);

    /// True if take() would succeed `n` times.
    bool has_room(std::uint32_t n, core::time_point now) const;

    /// True if take() would return false.
    bool is_exhausted(core::time_point now) const
    {
        return !has_room(1, now);
    }

private:
    struct bucket
    {
        std::int64_t slice = -1; // Index of its slice of time.
        std::uint64_t requests = 0;
        std::uint64_t extra_attempts = 0;
    };

    /// Slices of a window.
    static constexpr std::size_t slice_count = 10;
    /// A window begins inside a slice: one slice more covers it whole.
    static constexpr std::size_t bucket_count = slice_count + 1;

    bucket& current_bucket(core::time_point now);
    std::int64_t slice_index(core::time_point now) const;

    double request_share_;
    std::uint32_t base_attempts_;
    core::duration window_;
    std::array<bucket, bucket_count> buckets_{}; // Ring buffer.
};

} // namespace hyssoploft::retry

#endif
