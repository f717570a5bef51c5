// Rules that map an observed call to its failure.

#include <LibRetry/answer_classification.hpp>

namespace hyssoploft::retry {
namespace {

constexpr int too_many_requests = 429;
constexpr int service_unavailable = 503;
constexpr int first_server_error = 500;

bool is_overload_status(int status)
{
    return status == too_many_requests || status == service_unavailable;
}

call_failure transport_failure(const call_observation& call)
{
    const run_state state =
        call.bytes_sent == 0 ? run_state::not_run : run_state::may_have_run;
    if (call.end == transport_end::refused)
    {
        return {failure_kind::connect_failed, state, true};
    }
    if (call.end == transport_end::timeout)
    {
        return {failure_kind::timeout, state, true};
    }
    return {
        call.body_started ? failure_kind::reset_in_stream
                          : failure_kind::reset_before_answer,
        state, true};
}

} // namespace

std::optional<call_failure> classify(const call_observation& call)
{
    if (call.end != transport_end::whole)
    {
        return transport_failure(call);
    }
    // Nothing in a malformed answer or one to another request is reliable,
    // including a statement that the call did not run.
    if (!call.parsed || !call.identified || call.status == 0)
    {
        return call_failure{
            failure_kind::bad_answer, run_state::may_have_run, true};
    }
    if (is_overload_status(call.status))
    {
        const bool not_run = call.statement == run_statement::not_run;
        return call_failure{
            failure_kind::upstream_overloaded,
            not_run ? run_state::not_run : run_state::may_have_run, false};
    }
    // Other server errors come from a handler that had started, so a statement
    // that the call did not run is ignored.
    if (call.status >= first_server_error)
    {
        return call_failure{
            failure_kind::upstream_error, run_state::may_have_run, true};
    }
    if (!call.end_marker)
    {
        return call_failure{
            failure_kind::bad_answer, run_state::may_have_run, true};
    }
    return std::nullopt;
}

} // namespace hyssoploft::retry
