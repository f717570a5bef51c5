#ifndef HYSSOPLOFT_LIBRETRY_BUDGETED_RETRY_POLICY_HPP
#define HYSSOPLOFT_LIBRETRY_BUDGETED_RETRY_POLICY_HPP

// Retry policy with a budget that is a share of recent requests, which prevents
// retry storms: failing upstreams never get a multiple of their traffic.

#include <LibCore/random_source.hpp>
#include <LibRetry/attempt_budget.hpp>
#include <LibRetry/retry_policy.hpp>

#include <cstdint>

namespace hyssoploft::retry {

struct retry_settings
{
    /// Retries for each first attempt in the window (docs/design.md, 5.8).
    double budget_share = 0.1;
    /// Retries in each window regardless of traffic. Without them a VM with few
    /// calls could not retry at all.
    std::uint32_t budget_base_attempts = 3;
    core::duration budget_window = std::chrono::seconds(10);
    std::uint32_t max_attempts = 3; ///< Includes the first.
    core::duration backoff_base = std::chrono::milliseconds(25);
    core::duration backoff_cap = std::chrono::seconds(1);
};

/// Not thread safe; the gateway serializes the calls.
class budgeted_retry_policy final : public retry_policy
{
public:
    /// `random` must outlive the policy.
    budgeted_retry_policy(
        const retry_settings& settings, core::random_source& random);

    void on_request(core::time_point now) override;

    /// An allowed retry is charged to the budget at once.
    retry_decision
    decide(const failed_call& call, core::time_point now) override;

private:
    core::duration backoff(std::uint32_t attempts);

    retry_settings settings_;
    core::random_source& random_;
    attempt_budget budget_;
};

} // namespace hyssoploft::retry

#endif
