#ifndef HYSSOPLOFT_LIBGATEWAY_REFUSAL_HPP
#define HYSSOPLOFT_LIBGATEWAY_REFUSAL_HPP

// Refusals that reach callers. One table has the HTTP status, the
// machine-readable reason and whether the request may have run.

#include <LibCore/enum_table.hpp>
#include <LibCore/time.hpp>
#include <LibHttp/types.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoploft::gateway {

/// Whether the request was not run by an upstream. `yes` is used only where
/// that is certain, since callers then send the request again.
enum class not_run : std::uint8_t
{
    yes,
    no,
    unknown
};

inline constexpr core::enum_table<not_run, 3> not_run_names{
    {{not_run::yes, "true"},
     {not_run::no, "false"},
     {not_run::unknown, "unknown"}}};

enum class refusal_reason : std::uint8_t
{
    malformed_request,
    missing_key,
    unknown_key,
    withdrawn_key,
    too_many_bad_keys,
    unknown_model,
    unknown_route,
    vm_isolated,
    residency_forbids,
    rate_exceeded,
    request_exceeds_burst,
    queue_full,
    deadline_too_near,
    shutting_down,
    no_upstream,
    prompt_quarantined,
    upstreams_busy,
    link_budget_exhausted,
    upstream_failed,
    upstream_timeout,
    answer_too_large,
    stream_broken,
    idempotency_key_missing,
    idempotency_key_reuse,
    order_in_progress,
    result_unknown,
    answer_not_stored,
    no_quorum,
    ledger_full,
    envelope_invalid,
    loop_detected
};

struct refusal_rule
{
    refusal_reason reason;
    std::string_view name;
    unsigned status; ///< HTTP status.
    not_run default_not_run;
};

/// The row of a reason in the table.
const refusal_rule& rule_of(refusal_reason reason);

struct refusal
{
    refusal_reason reason = refusal_reason::malformed_request;
    std::string message;
    not_run ran = not_run::yes;
    core::duration retry_after{};       ///< 0: not stated.
    std::vector<std::string> other_vms; ///< "IP:port" of VMs to try.
};

/// A refusal with the table's default for `ran`.
refusal make_refusal(refusal_reason reason, std::string message);

/// The same with `ran` in place of the default of the table.
refusal make_refusal(refusal_reason reason, std::string message, not_run ran);

/// JSON in the format of OpenAI's errors with the additional fields of a
/// refusal.
std::string to_json(const refusal& it);

/// The complete HTTP response for a caller.
http::response to_response(const refusal& it);

} // namespace hyssoploft::gateway

#endif
