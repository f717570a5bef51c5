#ifndef HYSSOPLOFT_LIBRELAY_UPSTREAM_ATTEMPT_HPP
#define HYSSOPLOFT_LIBRELAY_UPSTREAM_ATTEMPT_HPP

// One call at a chosen upstream, directly or through a VM of its region, and
// what is known of its execution when it ends.

#include <LibHttp/http_client.hpp>
#include <LibRelay/relay_services.hpp>

#include <string>

namespace hyssoploft::relay {

enum class run_knowledge : std::uint8_t
{
    answered,    ///< The head of its answer came.
    not_run,     ///< Certain: it has not run and never will.
    may_have_run ///< No whole answer came.
};

inline constexpr core::enum_table<run_knowledge, 3> run_knowledge_names{
    {{run_knowledge::answered, "answered"},
     {run_knowledge::not_run, "not_run"},
     {run_knowledge::may_have_run, "may_have_run"}}};

struct attempt_result
{
    run_knowledge run = run_knowledge::may_have_run;
    routing::call_end end = routing::call_end::broken;
    bool reached = true; ///< A connection was made: the call was sent.
    std::string detail;  ///< For the log.
};

class upstream_attempt
{
public:
    /// All arguments outlive the attempt.
    upstream_attempt(
        relay_services& services, const request_terms& terms,
        http::connection_pool& pool);

    /// Sends the call and reads the head of its answer. `limit` bounds both.
    http::asio::awaitable<attempt_result> start(
        const fleet::traffic_view& view, const routing::placement& where,
        const http::request& from, const std::string& last_event_id,
        std::chrono::nanoseconds limit);

    /// Valid once start() said `answered`.
    const http::bhttp::response_header<>& head() const
    {
        return call_.head();
    }

    const answer_head& meaning() const
    {
        return meaning_;
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

    /// Ends the call from another coroutine of the same thread.
    void cancel()
    {
        call_.cancel();
    }

    /// The VM that passes the call on; empty for a direct call.
    const std::string& via_vm() const
    {
        return via_vm_;
    }

private:
    bool
    address_call(const fleet::traffic_view& view, const routing::placement& to);
    http::asio::awaitable<absl::Status>
    skip_crossed_answers(std::chrono::nanoseconds limit);
    http::asio::awaitable<attempt_result>
    judge_head(std::chrono::nanoseconds limit);

    relay_services& services_;
    const request_terms& terms_;
    http::http_call call_;
    std::string address_;
    std::string via_vm_;
    answer_head meaning_;
};

} // namespace hyssoploft::relay

#endif
