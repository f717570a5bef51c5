#ifndef HYSSOPLOFT_LIBRELAY_RELAY_RUN_HPP
#define HYSSOPLOFT_LIBRELAY_RELAY_RUN_HPP

// One request from its acceptance to its final answer: places it, sends it,
// repeats it where that is allowed, and passes on the answer or the events.

#include <LibHttp/exchange.hpp>
#include <LibRelay/event_framer.hpp>
#include <LibRelay/repeat_rules.hpp>
#include <LibRelay/upstream_attempt.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace hyssoploft::relay {

class relay_run : public std::enable_shared_from_this<relay_run>
{
public:
    /// `services` and `caller` outlive run().
    relay_run(
        relay_services& services, http::exchange& caller, request_terms terms);

    http::asio::awaitable<void> run();

private:
    /// What follows an attempt.
    enum class next_step : std::uint8_t
    {
        done, ///< The caller has its final answer, or is gone.
        again,
        give_up
    };

    http::asio::awaitable<next_step>
    attempt(const fleet::traffic_view& view, const routing::placement& where);
    http::asio::awaitable<next_step> pass_whole(upstream_attempt& from);
    http::asio::awaitable<next_step> pass_events(upstream_attempt& from);
    next_step
    after_failure(const attempt_result& result, const routing::placement& at);
    http::asio::awaitable<void>
    conclude(const std::optional<routing::placement_result>& refused);
    http::asio::awaitable<void> refuse(gateway::refusal it);
    routing::placement_request make_placement_request() const;
    bool take_repeat();
    bool may_run_again() const;
    std::chrono::nanoseconds time_left() const;
    std::chrono::nanoseconds first_answer_limit() const;
    std::chrono::nanoseconds pause_limit() const;
    bool is_resumable() const
    {
        return terms_.repeat == manifest::repeat_kind::resumable_stream;
    }
    void observe_events();
    void write_log();

    relay_services& services_;
    http::exchange& caller_;
    request_terms terms_;
    event_framer framer_;
    std::set<std::string> excluded_;
    std::set<std::string> excluded_regions_;
    upstream_attempt* current_ = nullptr; // While one runs.
    std::uint64_t ticket_ = 0;            // Of the current placement.
    attempts_so_far so_far_;
    /// An upstream's own failure, which the caller gets if no repeat helps.
    std::optional<http::response> failure_;
    routing::call_end end_ = routing::call_end::cancelled; // Of the last one.
    core::time_point first_until_{}; // The attempt's limit on a first event.
    core::time_point first_event_{};
    core::time_point last_event_{};
    core::duration longest_pause_{};   // Between two events.
    routing::placement_belief belief_; // Of the last placement.
    core::duration loads_age_{};       // Of other VMs' loads, at that time.
    unsigned status_ = 0;              // Sent to the caller; 0: none.
    std::string outcome_;              // For the log.
    std::string_view detail_;   // Why no upstream was chosen; a table's name.
    std::string attempts_text_; // Upstreams and ends of the attempts.
};

} // namespace hyssoploft::relay

#endif
