#ifndef HYSSOPLOFT_LIBRETRY_RETRY_POLICY_HPP
#define HYSSOPLOFT_LIBRETRY_RETRY_POLICY_HPP

// Interface of the policy that decides whether a failed call is sent again.

#include <LibCore/enum_table.hpp>
#include <LibCore/time.hpp>

#include <cstdint>

namespace hyssoploft::retry {

/// Whether a failed call may have been executed by the upstream.
enum class run_state : std::uint8_t
{
    not_run,     ///< Nothing was sent, or the upstream states so.
    may_have_run ///< Bytes were sent, no complete answer arrived.
};

/// How a call failed.
enum class failure_kind : std::uint8_t
{
    connect_failed,
    reset_before_answer,
    reset_in_stream,
    timeout,
    upstream_overloaded, ///< Status 429 or 503.
    upstream_error,      ///< Any other 5xx status.
    bad_answer           ///< Malformed, of another call or truncated.
};

inline constexpr core::enum_table<failure_kind, 7> failure_kind_names{
    {{failure_kind::connect_failed, "connect_failed"},
     {failure_kind::reset_before_answer, "reset_before_answer"},
     {failure_kind::reset_in_stream, "reset_in_stream"},
     {failure_kind::timeout, "timeout"},
     {failure_kind::upstream_overloaded, "upstream_overloaded"},
     {failure_kind::upstream_error, "upstream_error"},
     {failure_kind::bad_answer, "bad_answer"}}};

struct failed_call
{
    failure_kind kind = failure_kind::connect_failed;
    run_state state = run_state::not_run;
    bool idempotent = false;
    bool answer_started = false; ///< The caller has part of the answer.
    std::uint32_t attempts = 1;  ///< Including this one.
    core::time_point deadline{};
    core::duration expected_run{};
};

enum class retry_reason : std::uint8_t
{
    allowed,
    may_have_run,
    answer_started,
    budget_exhausted,
    deadline_too_near,
    too_many_attempts
};

inline constexpr core::enum_table<retry_reason, 6> retry_reason_names{
    {{retry_reason::allowed, "allowed"},
     {retry_reason::may_have_run, "may_have_run"},
     {retry_reason::answer_started, "answer_started"},
     {retry_reason::budget_exhausted, "budget_exhausted"},
     {retry_reason::deadline_too_near, "deadline_too_near"},
     {retry_reason::too_many_attempts, "too_many_attempts"}}};

struct retry_decision
{
    retry_reason reason = retry_reason::allowed;
    core::duration backoff{}; ///< Wait before the next attempt, if allowed.

    bool allowed() const
    {
        return reason == retry_reason::allowed;
    }
};

class retry_policy
{
public:
    virtual ~retry_policy() = default;

    /// Counts a first attempt; the retry budget is a share of these.
    virtual void on_request(core::time_point now) = 0;

    virtual retry_decision
    decide(const failed_call& call, core::time_point now) = 0;
};

} // namespace hyssoploft::retry

#endif
