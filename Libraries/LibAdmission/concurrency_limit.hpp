#ifndef HYSSOPLOFT_LIBADMISSION_CONCURRENCY_LIMIT_HPP
#define HYSSOPLOFT_LIBADMISSION_CONCURRENCY_LIMIT_HPP

// Adaptive limit of the calls in flight to one upstream, from observed
// latency. Latencies must be comparable: use the time to the first token or
// the time per token, not the time of whole answers of any length.

#include <LibCore/enum_table.hpp>
#include <LibCore/time.hpp>

#include <cstdint>

namespace hyssoploft::admission {

enum class limit_rule : std::uint8_t
{
    gradient, ///< Follows the ratio of usual to present latency.
    aimd      ///< Adds slowly, halves when late or refused.
};

inline constexpr core::enum_table<limit_rule, 2> limit_rule_names{
    {{limit_rule::gradient, "gradient"}, {limit_rule::aimd, "aimd"}}};

struct limit_settings
{
    limit_rule rule = limit_rule::gradient;
    std::uint32_t floor = 1;
    std::uint32_t ceiling = 256;
    std::uint32_t initial = 8;
    /// Latency above the usual one by this factor is not yet overload.
    double tolerance = 1.5;
};

class concurrency_limit
{
public:
    explicit concurrency_limit(limit_settings settings = {});

    /// A call ended. `in_flight` includes it.
    void observe(
        core::duration latency, std::uint32_t in_flight, bool overloaded,
        core::time_point now);

    /// Calls that may be in flight; from floor to ceiling.
    std::uint32_t limit() const
    {
        return static_cast<std::uint32_t>(limit_);
    }

private:
    void cut(double factor, core::time_point now);

    limit_settings settings_; // Never changes.
    double limit_;            // From floor to ceiling.
    double usual_ = 0;        // Seconds without queueing, learned.
    double present_ = 0;      // Seconds, smoothed over the last few calls.
    core::time_point next_cut_ = core::time_point::min();
};

} // namespace hyssoploft::admission

#endif
