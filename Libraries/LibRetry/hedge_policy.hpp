#ifndef HYSSOPLOFT_LIBRETRY_HEDGE_POLICY_HPP
#define HYSSOPLOFT_LIBRETRY_HEDGE_POLICY_HPP

// Decides whether a call that is slow to return its first token is also sent to
// a second upstream. The first answer is used and the other call is cancelled.

#include <LibCore/enum_table.hpp>
#include <LibRetry/attempt_budget.hpp>

#include <cstdint>

namespace hyssoploft::retry {

struct hedge_settings
{
    /// Lowest 95th percentile of the interactive time to the first token at 0.5
    /// s, hardly any gain at 2 s (docs/decisions/0008-retries.md).
    core::duration hedge_delay = std::chrono::milliseconds(500);
    double budget_share = 0.1; ///< Hedges for each request in the window.
    std::uint32_t budget_base_attempts = 3;
    core::duration budget_window = std::chrono::seconds(10);
};

/// A call that was sent and has no first token yet.
struct waiting_call
{
    bool idempotent = false;
    bool interactive = false;
    /// The upstream frees the capacity of a cancelled call at once.
    bool cancellable = false;
    bool has_hedge = false; ///< A second attempt was already sent.
    core::time_point sent_at{};
    core::time_point deadline{};
    core::duration expected_run{};
};

enum class hedge_reason : std::uint8_t
{
    allowed,
    not_idempotent,
    batch,
    not_cancellable,
    already_hedged,
    too_early,
    deadline_too_near,
    budget_exhausted
};

inline constexpr core::enum_table<hedge_reason, 8> hedge_reason_names{
    {{hedge_reason::allowed, "allowed"},
     {hedge_reason::not_idempotent, "not_idempotent"},
     {hedge_reason::batch, "batch"},
     {hedge_reason::not_cancellable, "not_cancellable"},
     {hedge_reason::already_hedged, "already_hedged"},
     {hedge_reason::too_early, "too_early"},
     {hedge_reason::deadline_too_near, "deadline_too_near"},
     {hedge_reason::budget_exhausted, "budget_exhausted"}}};

/// Not thread safe; the gateway serializes the calls.
class hedge_policy
{
public:
    explicit hedge_policy(const hedge_settings& settings);

    /// Counts a first attempt; the budget is a share of these.
    void on_request(core::time_point now);

    /// An allowed hedge is charged to the budget at once.
    hedge_reason decide(const waiting_call& call, core::time_point now);

private:
    hedge_settings settings_;
    attempt_budget budget_;
};

} // namespace hyssoploft::retry

#endif
