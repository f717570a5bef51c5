// Forwards the answer of an upstream: whole, or event by event.

#include <LibRelay/relay_run.hpp>

#include <utility>

namespace hyssoploft::relay {

namespace {

using routing::placement_outcome;

/// Time reserved for sending the final answer.
constexpr std::chrono::milliseconds answer_margin{15};

} // namespace

http::asio::awaitable<relay_run::next_step>
relay_run::forward_body(upstream_attempt& from)
{
    services_.router->record_first_event(
        placement_ticket_, services_.clock->now());
    // Before the body is read: the parser adds the trailers to the head.
    http::response answer;
    http::set_status(answer, from.head().result_int());
    services_.codec->copy_answer_headers(from.head(), answer.base());
    const auto length = from.head().find(http::bhttp::field::content_length);
    if (caller_.is_head_request() && length != from.head().end())
    {
        answer.set(http::bhttp::field::content_length, length->value());
    }
    auto body = co_await from.read_all(time_left());
    stop_silence_watch();
    if (!body.ok())
    {
        record_break(body.status());
        last_end_ = absl::IsCancelled(body.status()) && !reserved_
                        ? placement_outcome::cancelled
                        : placement_outcome::broken;
        if (caller_.caller_gone())
        {
            outcome_ = "caller_gone";
            co_return next_step::done;
        }
        if (last_end_ == placement_outcome::broken && !reserved_ &&
            !absl::IsDeadlineExceeded(body.status()) &&
            !absl::IsResourceExhausted(body.status()))
        {
            record_prompt_crash();
        }
        co_return should_rerun() ? next_step::retry : next_step::give_up;
    }
    answer.body() = *std::move(body);
    const bool failed = answer.result_int() >= 500;
    if (answer.result_int() < 300)
    {
        record_prompt_answer();
    }
    last_end_ =
        failed ? placement_outcome::errored : placement_outcome::completed;
    if (failed && should_rerun())
    {
        failed_answer_ = std::move(answer);
        co_return next_step::retry;
    }
    status_ = answer.result_int();
    outcome_ = failed ? "upstream_error" : "answered";
    first_event_at_ = services_.clock->now();
    const auto sent = co_await caller_.respond(std::move(answer));
    outcome_ += sent.ok() ? "" : "_unsent";
    co_return next_step::done;
}

http::asio::awaitable<relay_run::next_step>
relay_run::forward_events(upstream_attempt& from)
{
    // Before the body is read: the parser adds the trailers to the head.
    http::bhttp::response<http::bhttp::empty_body> head;
    http::set_status(head, from.head().result_int());
    services_.codec->copy_answer_headers(from.head(), head.base());
    // The head is sent with the first event, so that a stream that breaks
    // earlier can still be retried at another upstream.
    const auto send_head = [&]() -> http::asio::awaitable<absl::Status> {
        status_ = head.result_int();
        co_return co_await caller_.begin_stream(std::move(head));
    };
    // Progress is an event. Other bytes do not extend the time for the next
    // one.
    auto silence_deadline = first_event_deadline_;
    std::string held; // Comments before the first event.
    const auto events_at_start = framer_.event_count();
    bool is_answered = false; // As the prompt guard sees it.
    for (;;)
    {
        const auto events_before = framer_.event_count();
        watch_silence(silence_deadline);
        auto bytes = co_await from.read_some(time_left());
        // A caller that reads slowly does not make the upstream silent.
        stop_silence_watch();
        const bool ended = bytes.ok() && bytes->empty();
        auto events = bytes.ok() ? framer_.feed(*bytes)
                                 : absl::StatusOr<std::string>(bytes.status());
        if (events.ok() && !from.hold_bytes(framer_.pending() + held.size()))
        {
            from.cancel();
            events = absl::ResourceExhaustedError("no memory for the event");
        }
        if (!events.ok() || (ended && !framer_.at_boundary()))
        {
            framer_.drop_partial();
            last_end_ =
                events.ok() || reserved_ || !absl::IsCancelled(events.status())
                    ? placement_outcome::broken
                    : placement_outcome::cancelled;
            record_break(
                events.ok() ? absl::DataLossError("end inside an event")
                            : events.status());
            if (caller_.caller_gone())
            {
                outcome_ = "caller_gone";
                co_return next_step::done;
            }
            if (!is_answered && last_end_ == placement_outcome::broken &&
                !reserved_ && !absl::IsDeadlineExceeded(events.status()) &&
                !absl::IsResourceExhausted(events.status()))
            {
                record_prompt_crash();
            }
            co_return should_rerun() ? next_step::retry : next_step::give_up;
        }
        // The end of a connection may be that of its upstream.
        const auto generated = framer_.event_count() - events_at_start;
        if (!is_answered &&
            (generated > 1 || (ended && !from.ends_with_connection())))
        {
            is_answered = true;
            record_prompt_answer();
        }
        const bool has_progress = framer_.event_count() > events_before;
        if (!caller_.answer_started() && !ended && !has_progress)
        {
            held += *events;
            if (held.size() > event_framer::max_event_bytes)
            {
                from.cancel();
            }
            continue;
        }
        if (!held.empty())
        {
            events->insert(0, std::exchange(held, {}));
        }
        if (!caller_.answer_started())
        {
            first_event_at_ = services_.clock->now();
            services_.router->record_first_event(
                placement_ticket_, first_event_at_);
            if (!(co_await send_head()).ok())
            {
                last_end_ = placement_outcome::cancelled;
                outcome_ = "caller_gone";
                co_return next_step::done;
            }
        }
        if (has_progress)
        {
            record_event_time();
        }
        if (!events->empty() && !(co_await caller_.write(*events)).ok())
        {
            last_end_ = placement_outcome::cancelled;
            outcome_ = "caller_gone";
            caller_.close_after();
            co_return next_step::done;
        }
        if (has_progress)
        {
            silence_deadline = services_.clock->now() + pause_patience();
        }
        if (ended)
        {
            last_end_ = placement_outcome::completed;
            outcome_ = "streamed";
            (void)co_await caller_.end_stream();
            co_return next_step::done;
        }
        if (time_left() <= answer_margin)
        {
            from.cancel();
            last_end_ = placement_outcome::cancelled;
            co_return next_step::give_up;
        }
    }
}

} // namespace hyssoploft::relay
