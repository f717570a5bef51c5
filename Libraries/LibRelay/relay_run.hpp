#ifndef HYSSOPLOFT_LIBRELAY_RELAY_RUN_HPP
#define HYSSOPLOFT_LIBRELAY_RELAY_RUN_HPP

// Runs one admitted request: chooses an upstream, sends the call, retries it
// where that is allowed, and forwards the answer or the events.

#include <LibHttp/exchange.hpp>
#include <LibRelay/event_framer.hpp>
#include <LibRelay/repeat_rules.hpp>
#include <LibRelay/upstream_attempt.hpp>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

namespace hyssoploft::relay {

struct hedge_call;

class relay_run : public std::enable_shared_from_this<relay_run>
{
public:
    /// `services` and `caller` outlive run().
    relay_run(
        relay_services& services, http::exchange& caller, request_terms terms);

    /// Decides again on the request under the manifest in force, if that
    /// changed before an attempt.
    using readmission =
        std::function<std::variant<request_terms, gateway::refusal>()>;
    void set_readmission(readmission again)
    {
        readmit_ = std::move(again);
    }

    http::asio::awaitable<void> run();

    /// Cancels the current attempt and its hedge. With
    /// relay_services::is_ending set, the caller gets the final answer.
    void cancel_attempt();

private:
    http::asio::awaitable<void> run_attempts();
    /// Takes the run out of all that it has entered: the list of open runs, the
    /// counts of the router, and what is reserved. Writes its line of the log.
    void leave();
    void finish_placement(routing::placement_outcome end);

    /// Action after an attempt.
    enum class next_step : std::uint8_t
    {
        done, ///< The caller has its answer or disconnected.
        retry,
        give_up
    };

    http::asio::awaitable<next_step>
    attempt(const fleet::traffic_view& view, const routing::placement& target);
    /// Forwards the answer whose head `from` has read, as far as it is one for
    /// this caller.
    http::asio::awaitable<next_step>
    forward_answer(upstream_attempt& from, const routing::placement& target);
    http::asio::awaitable<next_step> forward_body(upstream_attempt& from);
    http::asio::awaitable<next_step> forward_events(upstream_attempt& from);
    next_step after_failure(
        const attempt_result& result,
        const routing::placement& failed_placement);
    /// Appends the reason to the log's text of the attempt.
    void record_break(const absl::Status& status);
    http::asio::awaitable<void>
    send_final_answer(const std::optional<routing::placement_result>& refused);
    http::asio::awaitable<void> send_refusal(gateway::refusal it);
    routing::placement_request make_placement_request() const;
    /// The reserved placement, or a new one.
    routing::placement_result
    choose_placement(const fleet::traffic_view& view, core::time_point now);

    // An attempt whose upstream is silent is given up only once its repeat is
    // reserved. Otherwise it goes on until its deadline.
    void watch_silence(core::time_point until);
    void stop_silence_watch();
    void start_silence_timer();
    void on_silence();
    bool reserve_repeat();

    // A hedge is a second call for the answer that the current attempt has not
    // begun to receive. At most one is sent for a request.
    void start_hedge_timer();
    void on_slow_answer();
    struct hedge_choice
    {
        retry::second_call_reason reason = retry::second_call_reason::allowed;
        std::optional<routing::placement> target; ///< If allowed.
    };
    hedge_choice choose_hedge(
        const fleet::traffic_view& view,
        const retry::slow_answer_policy& policy, core::time_point now);
    void send_hedge(
        std::shared_ptr<const fleet::traffic_view> view,
        const routing::placement& target, core::time_point now);
    static http::asio::awaitable<void>
    run_hedge(std::shared_ptr<relay_run> self, std::shared_ptr<hedge_call> it);
    /// Decides between the current attempt, which has ended with `result`, and
    /// its hedge. Waits for the hedge unless the attempt has a valid answer.
    http::asio::awaitable<bool>
    has_hedge_won(const attempt_result& result, upstream_attempt& first);
    /// Counts the ended attempt and forwards the answer of its hedge.
    http::asio::awaitable<next_step>
    forward_hedge(const attempt_result& result, upstream_attempt& first);
    /// Counts the hedge's end; its call is not used from now on.
    void settle_hedge(
        routing::placement_outcome end, bool may_have_run,
        std::string_view outcome);
    /// Cancels the hedge, if one is running.
    void cancel_hedge(std::string_view outcome);
    bool is_hedge_running() const;
    void record_first_answer(
        const attempt_result& result, const routing::placement& target);
    bool may_send_prompt(
        const fleet::traffic_view& view, core::time_point now) const;
    void release_reservation();
    /// The refusal of a request that the manifest in force does not permit.
    std::optional<gateway::refusal>
    check_admission(const fleet::traffic_view& view);
    http::asio::awaitable<void> wait_for_current_view();
    /// The refusal of a prompt with a quarantined part. Starts a trial.
    std::optional<gateway::refusal>
    check_prompt(const fleet::traffic_view& view);
    void record_prompt_answer();
    void record_prompt_crash();
    bool take_retry();
    /// Whether the request may run once more, after the current attempt.
    bool may_rerun() const;
    /// Whether to repeat the request after a failure of its upstream.
    bool should_rerun();
    std::chrono::nanoseconds time_left() const;
    /// Silence after which a repeat is tried.
    core::duration first_answer_patience() const;
    core::duration pause_patience() const;
    bool is_resumable() const
    {
        return terms_.repeat == manifest::repeat_kind::resumable_stream;
    }
    void record_event_time();
    void write_log();

    relay_services& services_;
    http::exchange& caller_;
    request_terms terms_;
    readmission readmit_; // May be empty.
    event_framer framer_;
    std::set<std::string> excluded_upstreams_;
    std::set<std::string> excluded_regions_;
    upstream_attempt* current_attempt_ = nullptr; // Null between attempts.
    const routing::placement* current_target_ = nullptr; // Of that attempt.
    bool awaits_head_ = false; // Of the current attempt's answer.
    /// Null if none was sent. While it is not settled, attempt() runs and
    /// current_attempt_ is the call that it competes with.
    std::shared_ptr<hedge_call> hedge_;
    std::string hedge_text_; // Of the hedge's end, for the log.
    std::optional<http::asio::steady_timer> hedge_timer_;
    std::uint64_t hedge_timer_number_ = 0; // Tells older handlers apart.
    std::uint64_t placement_ticket_ = 0;   // Held now; 0: none.
    attempt_counts attempt_counts_;
    /// An error answer of an upstream, forwarded if no retry succeeds.
    std::optional<http::response> failed_answer_;
    routing::placement_outcome last_end_ =
        routing::placement_outcome::cancelled; // Of the last attempt.
    /// Time for the first event, or for all of an answer that may be asked
    /// for again.
    core::time_point attempt_started_at_{};   // Of the current attempt.
    core::time_point first_event_deadline_{}; // Of the current attempt.
    http::asio::steady_timer silence_timer_;
    /// When the silence timer ends; no value: it does not run.
    std::optional<core::time_point> silence_timer_due_;
    std::uint64_t silence_timer_number_ = 0; // Tells older handlers apart.
    std::optional<core::time_point> silence_deadline_; // While it is watched.
    /// For the next attempt, charged to the retry budget.
    std::optional<routing::placement_result> reserved_;
    std::uint64_t reserved_under_ = 0; // Version of the manifest.
    core::time_point first_event_at_{};
    core::time_point last_event_at_{};
    core::duration longest_pause_{};       // Between two events.
    routing::placement_estimate estimate_; // Of the last placement.
    core::duration loads_age_{}; // Age of other VMs' loads at that time.
    unsigned status_ = 0;        // Sent to the caller; 0: none.
    std::string outcome_;        // For the log.
    std::string_view detail_;    // Why no upstream was chosen; static string.
    std::string attempts_text_;  // Upstreams and results of attempts.
    std::uint64_t current_incarnation_ = 0; // Of the target; 0: unknown.
    /// An engine crashed under the prompt, and others had before.
    bool is_suspect_ = false;
    bool is_malformed_ = false; // It can't be sent to any upstream.
};

/// Ends all requests of a VM that stops: each gets an answer, except for
/// streams that have begun. Call on the traffic thread.
void end_open_runs(relay_services& services);

} // namespace hyssoploft::relay

#endif
