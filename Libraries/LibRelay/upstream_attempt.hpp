#ifndef HYSSOPLOFT_LIBRELAY_UPSTREAM_ATTEMPT_HPP
#define HYSSOPLOFT_LIBRELAY_UPSTREAM_ATTEMPT_HPP

// One call to a chosen upstream, directly or through a VM of its region, and
// whether the upstream may have run it.

#include <LibHttp/http_client.hpp>
#include <LibRelay/relay_services.hpp>

#include <string>

namespace hyssoploft::relay {

enum class execution_state : std::uint8_t
{
    answered,    ///< The head of the answer was received.
    not_run,     ///< It certainly has not run and never will.
    may_have_run ///< No valid answer was received.
};

inline constexpr core::enum_table<execution_state, 3> execution_state_names{
    {{execution_state::answered, "answered"},
     {execution_state::not_run, "not_run"},
     {execution_state::may_have_run, "may_have_run"}}};

struct attempt_result
{
    execution_state execution = execution_state::may_have_run;
    routing::placement_outcome end = routing::placement_outcome::broken;
    bool was_sent = true; ///< False if no connection was established.
    absl::Status status;  ///< Why it was not answered.
};

class upstream_attempt
{
public:
    /// All arguments outlive the attempt.
    upstream_attempt(
        relay_services& services, const request_terms& terms,
        http::connection_pool& pool);

    /// Sends the call and reads the head of the answer; `limit` bounds both.
    /// The call is not sent if the target may not be used any more once there
    /// is a connection.
    http::asio::awaitable<attempt_result> start(
        const fleet::traffic_view& view, const routing::placement& target,
        const http::request& from, const std::string& last_event_id,
        std::chrono::nanoseconds limit);

    /// Valid after start() returned `answered`.
    const http::bhttp::response_header<>& head() const
    {
        return call_.head();
    }

    const answer_head& parsed_answer() const
    {
        return parsed_answer_;
    }

    http::asio::awaitable<absl::StatusOr<std::string>>
    read_some(std::chrono::nanoseconds limit)
    {
        return call_.read_some(limit);
    }

    http::asio::awaitable<absl::StatusOr<std::string>>
    read_all(std::chrono::nanoseconds limit)
    {
        return call_.read_all(http::max_answer_body_bytes, limit);
    }

    /// Charges for bytes of a stream that wait for the rest of an event. False
    /// if there is no memory for them.
    bool hold_bytes(std::size_t n)
    {
        return call_.hold_bytes(n);
    }

    /// Cancels the call from another coroutine of the same thread.
    void cancel()
    {
        call_.cancel();
    }

    /// False while there is no connection to the target.
    bool was_sent() const
    {
        return call_.stage() != http::call_stage::connecting;
    }

    /// Whether the answer has no length of its own. Valid with head().
    bool ends_with_connection() const
    {
        return call_.ends_with_connection();
    }

    /// The VM that forwards the call; empty for a direct call.
    const std::string& via_vm() const
    {
        return via_vm_;
    }

private:
    bool choose_address(
        const fleet::traffic_view& view, const routing::placement& chosen);
    /// UNAVAILABLE if the placement, the admission or the request's time has
    /// expired since the target was chosen.
    absl::Status
    check_target(const routing::placement& target, core::time_point now);
    /// Acts on what the upstream says of itself in parsed_answer_.
    void obey_answer();
    http::request make_message(
        const routing::placement& target, const http::request& from,
        const std::string& last_event_id, core::time_point now) const;
    http::asio::awaitable<absl::Status>
    skip_stale_answers(std::chrono::nanoseconds limit);
    http::asio::awaitable<attempt_result>
    classify_answer(std::chrono::nanoseconds limit);

    relay_services& services_;
    const request_terms& terms_;
    http::http_call call_;
    std::string address_;
    std::string via_vm_;
    std::string upstream_; // Called directly; empty: not sent, or via a VM.
    std::uint64_t incarnation_ = 0; // Listed at the time of sending.
    answer_head parsed_answer_;
};

} // namespace hyssoploft::relay

#endif
