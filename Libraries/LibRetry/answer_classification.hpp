#ifndef HYSSOPLOFT_LIBRETRY_ANSWER_CLASSIFICATION_HPP
#define HYSSOPLOFT_LIBRETRY_ANSWER_CLASSIFICATION_HPP

// Classifies upstream calls that failed: the kind of failure, and whether it is
// certain that the call did not run.

#include <LibCore/enum_table.hpp>
#include <LibRetry/retry_policy.hpp>

#include <cstdint>
#include <optional>

namespace hyssoploft::retry {

/// What an upstream's refusal states about execution (its `not_run` field).
enum class run_statement : std::uint8_t
{
    absent,
    not_run,
    ran,
    unknown
};

inline constexpr core::enum_table<run_statement, 4> run_statement_names{
    {{run_statement::absent, "absent"},
     {run_statement::not_run, "not_run"},
     {run_statement::ran, "ran"},
     {run_statement::unknown, "unknown"}}};

/// How the connection of a call ended.
enum class transport_end : std::uint8_t
{
    whole,   ///< The answer arrived up to its end.
    refused, ///< The connection could not be established.
    reset,   ///< The connection was reset or closed early.
    timeout
};

inline constexpr core::enum_table<transport_end, 4> transport_end_names{
    {{transport_end::whole, "whole"},
     {transport_end::refused, "refused"},
     {transport_end::reset, "reset"},
     {transport_end::timeout, "timeout"}}};

/// One upstream call as seen by the VM that sent it.
struct call_observation
{
    transport_end end = transport_end::whole;
    /// Bytes of the request written to the connection. They may have arrived
    /// even if the connection broke afterwards.
    std::uint64_t bytes_sent = 0;
    int status = 0;         ///< HTTP status; 0 if none arrived.
    bool parsed = true;     ///< Head and body are well-formed.
    bool identified = true; ///< `x-request-id` matches the request.
    bool body_started = false;
    bool end_marker = true; ///< A stream's end marker arrived, or not a stream.
    run_statement statement = run_statement::absent;
};

struct call_failure
{
    failure_kind kind = failure_kind::connect_failed;
    run_state state = run_state::may_have_run;
    /// Counts as a fault of the upstream. Refusals for load don't.
    bool upstream_fault = true;
};

/// Returns the failure of a call, or nothing if the answer is complete and goes
/// to the caller. A status below 500 other than 429 is not a failure.
std::optional<call_failure> classify(const call_observation& call);

} // namespace hyssoploft::retry

#endif
