// Records what happened to one request: its line in the log and its metrics.

#include <LibRelay/relay_run.hpp>

#include <algorithm>
#include <cmath>

namespace hyssoploft::relay {

void relay_run::record_event_time()
{
    const auto now = services_.clock->now();
    if (last_event_at_ != core::time_point())
    {
        longest_pause_ = std::max(longest_pause_, now - last_event_at_);
    }
    last_event_at_ = now;
}

void relay_run::write_log()
{
    const auto now = services_.clock->now();
    const auto ms = [&](core::time_point at) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   at - terms_.arrived)
            .count();
    };
    core::log_line line("request");
    line.with("id", terms_.request_id)
        .with("route", terms_.route)
        .with("role", terms_.role)
        .with("account", terms_.account)
        .with("relayed", terms_.relayed ? 1 : 0)
        .with("outcome", outcome_)
        .with("detail", detail_)
        .with("status", status_)
        .with("runs", attempt_counts_.executions)
        .with("tried", attempts_text_)
        .with("events", framer_.event_count())
        .with(
            "first_ms",
            first_event_at_ == core::time_point() ? -1 : ms(first_event_at_))
        .with("longest_pause_ms", longest_pause_ / std::chrono::milliseconds(1))
        .with("total_ms", ms(now))
        .with("borrowed", std::lround(terms_.borrowed_tokens))
        .with("left_ms", time_left() / std::chrono::milliseconds(1));
    if (terms_.is_engine)
    {
        line.with("prompt", terms_.head.prompt_tokens)
            .with("read", estimate_.uncached_tokens)
            .with("ahead", std::lround(estimate_.queued_tokens))
            .with("running", std::lround(estimate_.running))
            .with("expected_ms", std::lround(1e3 * estimate_.expected_seconds))
            .with("wait_ms", std::lround(1e3 * estimate_.wait_seconds))
            .with("max_wait_ms", std::lround(1e3 * estimate_.max_wait_seconds))
            .with("compared", estimate_.compared)
            .with("loads_age_ms", loads_age_ / std::chrono::milliseconds(1));
    }
    services_.log.add(line, now);
    services_.metrics
        ->get_counter("hyssoploft_requests_total", {{"outcome", outcome_}})
        .add();
    if (first_event_at_ != core::time_point())
    {
        services_.metrics->get_distribution("hyssoploft_first_answer_seconds")
            .record(core::to_seconds(first_event_at_ - terms_.arrived));
    }
    if (outcome_ != "streamed" || terms_.relayed)
    {
        return;
    }
    services_.metrics->get_distribution("hyssoploft_longest_pause_seconds")
        .record(core::to_seconds(longest_pause_));
    const bool late_start =
        first_event_at_ - terms_.arrived > terms_.latency_target;
    const bool late_event = terms_.pause_target > core::duration() &&
                            longest_pause_ > terms_.pause_target;
    if (late_start || late_event)
    {
        services_.metrics
            ->get_counter(
                "hyssoploft_late_streams_total",
                {{"cause", late_start ? "first_event" : "pause"}})
            .add();
    }
}

} // namespace hyssoploft::relay
