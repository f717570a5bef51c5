#ifndef HYSSOPLOFT_LIBADMISSION_CONCURRENCY_LIMIT_HPP
#define HYSSOPLOFT_LIBADMISSION_CONCURRENCY_LIMIT_HPP

// Adaptive limit of the calls in flight to one upstream, derived from observed
// latency. Latencies must be comparable: use the time to the first token or
// the time per token, not the duration of answers of different lengths.

#include <LibCore/enum_table.hpp>
#include <LibCore/time.hpp>

#include <cstdint>

namespace hyssoploft::admission {

enum class limit_rule : std::uint8_t
{
    gradient, ///< Follows the ratio of baseline to current latency.
    aimd      ///< Adds slowly, halves when slow or overloaded.
};

inline constexpr core::enum_table<limit_rule, 2> limit_rule_names{
    {{limit_rule::gradient, "gradient"}, {limit_rule::aimd, "aimd"}}};

struct limit_settings
{
    limit_rule rule = limit_rule::gradient;
    std::uint32_t min_limit = 1;
    std::uint32_t max_limit = 256;
    std::uint32_t initial_limit = 8;
    /// Latency up to this multiple of the baseline does not count as overload.
    double latency_tolerance = 1.5;
};

class concurrency_limit
{
public:
    explicit concurrency_limit(limit_settings settings = {});

    /// Reports the latency of a call that ended. `in_flight` includes it.
    void observe(
        core::duration latency, std::uint32_t in_flight, bool overloaded,
        core::time_point now);

    /// Calls that may be in flight, from min_limit to max_limit.
    std::uint32_t limit() const
    {
        return static_cast<std::uint32_t>(limit_);
    }

private:
    void decrease(double factor, core::time_point now);

    limit_settings settings_;     // Never changes.
    double limit_;                // From min_limit to max_limit.
    double baseline_seconds_ = 0; // Latency without queueing.
    double smoothed_seconds_ = 0; // Moving average of latency.
    core::time_point next_decrease_ = core::time_point::min();
};

} // namespace hyssoploft::admission

#endif
