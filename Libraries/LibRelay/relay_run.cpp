// Runs one request.

#include <LibRelay/relay_run.hpp>

#include <LibCore/text.hpp>
#include <LibRelay/relay_ticket.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace hyssoploft::relay {

namespace {

using gateway::refusal_reason;
using routing::call_end;

/// Less time than this is not worth a call: a round trip and a short step.
constexpr std::chrono::milliseconds min_time_left{20};
/// Time kept for passing on the final answer.
constexpr std::chrono::milliseconds answer_margin{15};
/// A plain call that may be repeated is given up at an upstream after this
/// part of its latency target: almost all answers come sooner.
constexpr double plain_patience = 0.8;
/// The same for the first event of a stream that may be repeated.
constexpr double stream_patience = 2.0;
/// Multiple of the expected time that a call gets at least.
constexpr double expected_patience = 4.0;
/// A stream that may go on elsewhere is taken as stuck after this multiple of
/// the longest pause that is still on time.
constexpr double pause_patience = 2.0;

std::chrono::nanoseconds seconds_of(double seconds)
{
    return core::from_seconds(seconds);
}

refusal_reason reason_of(routing::no_placement it)
{
    switch (it)
    {
    case routing::no_placement::no_upstream:
    case routing::no_placement::residency_forbids:
        return refusal_reason::no_upstream;
    case routing::no_placement::all_tried:
        return refusal_reason::upstreams_busy;
    case routing::no_placement::backlog_full:
        return refusal_reason::queue_full;
    case routing::no_placement::deadline_too_near:
        break;
    }
    return refusal_reason::deadline_too_near;
}

} // namespace

relay_run::relay_run(
    relay_services& services, http::exchange& caller, request_terms terms)
    : services_(services), caller_(caller), terms_(std::move(terms))
{}

std::chrono::nanoseconds relay_run::time_left() const
{
    return terms_.deadline - services_.clock->now();
}

routing::placement_request relay_run::make_placement_request() const
{
    routing::placement_request out;
    out.role = terms_.role;
    if (terms_.is_engine)
    {
        out.prompt_tokens = std::max(1U, terms_.head.prompt_tokens);
        out.answer_tokens = terms_.head.answer_tokens;
        out.parts = terms_.head.parts;
        out.memory_tokens = terms_.memory_tokens;
    }
    out.allowed_regions = terms_.allowed_regions;
    out.excluded = excluded_;
    out.excluded_regions = excluded_regions_;
    out.latency_target = terms_.latency_target;
    out.time_left = time_left();
    out.local_only = terms_.relayed;
    return out;
}

http::asio::awaitable<void> relay_run::run()
{
    // Keeps the run alive while handlers of its exchange refer to it.
    const auto self = shared_from_this();
    caller_.on_caller_gone([this] {
        if (current_)
        {
            current_->cancel();
        }
    });
    ++services_.running;
    for (;;)
    {
        if (caller_.caller_gone())
        {
            outcome_ = "caller_gone";
            break;
        }
        if (time_left() < min_time_left)
        {
            co_await conclude(std::nullopt);
            break;
        }
        const auto view = services_.source->view();
        const auto now = services_.clock->now();
        const auto placed =
            services_.router->choose(*view, make_placement_request(), now);
        belief_ = placed.belief;
        loads_age_ = now - view->loads_at;
        if (!placed.chosen)
        {
            co_await conclude(placed);
            break;
        }
        ticket_ = placed.chosen->ticket;
        const auto next = co_await attempt(*view, *placed.chosen);
        services_.router->finished(ticket_, end_, services_.clock->now());
        if (next == next_step::done)
        {
            break;
        }
        if (next == next_step::give_up)
        {
            co_await conclude(std::nullopt);
            break;
        }
    }
    --services_.running;
    caller_.on_caller_gone(nullptr);
    if (terms_.reserved && so_far_.runs == 0)
    {
        services_.rates->settle(*terms_.reserved, 0, services_.clock->now());
    }
    write_log();
}

std::chrono::nanoseconds relay_run::first_answer_limit() const
{
    const auto left = time_left();
    if (!may_run_again())
    {
        return left;
    }
    const double part = is_resumable() ? stream_patience : plain_patience;
    const double patience = std::max(
        part * core::to_seconds(terms_.latency_target),
        expected_patience * belief_.expected_seconds);
    return std::min(left, seconds_of(patience));
}

std::chrono::nanoseconds relay_run::pause_limit() const
{
    const auto left = time_left();
    if (!may_run_again() || terms_.pause_target <= core::duration())
    {
        return left;
    }
    return std::min(
        left,
        seconds_of(pause_patience * core::to_seconds(terms_.pause_target)));
}

bool relay_run::may_run_again() const
{
    return !terms_.relayed &&
           relay::may_run_again(terms_.repeat, terms_.max_runs, so_far_);
}

bool relay_run::take_repeat()
{
    return budget_of(services_, terms_.role).take(services_.clock->now());
}

http::asio::awaitable<relay_run::next_step> relay_run::attempt(
    const fleet::traffic_view& view, const routing::placement& where)
{
    ++so_far_.tries;
    upstream_attempt call(services_, terms_, caller_.pool());
    current_ = &call;
    const auto limit = first_answer_limit();
    first_until_ = services_.clock->now() + limit;
    const auto result = co_await call.start(
        view, where, caller_.message(), framer_.last_id(), limit);
    if (!attempts_text_.empty())
    {
        attempts_text_ += ',';
    }
    attempts_text_ += core::concat(
        where.upstream, call.via_vm().empty() ? "" : "@", call.via_vm(), ":",
        core::name_of(routing::placement_reason_names, where.reason));
    if (result.run != run_knowledge::not_run)
    {
        ++so_far_.runs;
    }
    if (result.run != run_knowledge::answered)
    {
        current_ = nullptr;
        end_ = result.end;
        attempts_text_ +=
            core::concat(":", core::name_of(run_knowledge_names, result.run));
        co_return after_failure(result, where);
    }
    const auto next = call.meaning().is_stream ? co_await pass_events(call)
                                               : co_await pass_whole(call);
    current_ = nullptr;
    if (next == next_step::again && call.via_vm().empty())
    {
        excluded_.insert(where.upstream);
    }
    co_return next;
}

relay_run::next_step relay_run::after_failure(
    const attempt_result& result, const routing::placement& at)
{
    if (caller_.caller_gone())
    {
        outcome_ = "caller_gone";
        return next_step::done;
    }
    if (at.local)
    {
        excluded_.insert(at.upstream);
    }
    else
    {
        excluded_regions_.insert(at.region);
    }
    if (result.run == run_knowledge::not_run)
    {
        // A call that reached nobody is no repeat for the upstreams.
        const bool again = !terms_.relayed && may_send_again(so_far_) &&
                           (!result.reached || take_repeat());
        return again ? next_step::again : next_step::give_up;
    }
    return may_run_again() && take_repeat() ? next_step::again
                                            : next_step::give_up;
}

http::asio::awaitable<relay_run::next_step>
relay_run::pass_whole(upstream_attempt& from)
{
    services_.router->first_event(ticket_, services_.clock->now());
    auto body = co_await from.read_all(time_left());
    if (!body.ok())
    {
        end_ = absl::IsCancelled(body.status()) ? call_end::cancelled
                                                : call_end::broken;
        if (caller_.caller_gone())
        {
            outcome_ = "caller_gone";
            co_return next_step::done;
        }
        co_return may_run_again() && take_repeat() ? next_step::again
                                                   : next_step::give_up;
    }
    http::response answer(from.head().result(), 11);
    services_.codec->copy_answer_headers(from.head(), answer.base());
    answer.body() = *std::move(body);
    const bool failed = answer.result_int() >= 500;
    end_ = failed ? call_end::errored : call_end::completed;
    const bool again = failed && may_run_again() &&
                       time_left() > min_time_left && take_repeat();
    if (again)
    {
        failure_ = std::move(answer);
        co_return next_step::again;
    }
    status_ = answer.result_int();
    outcome_ = failed ? "upstream_error" : "answered";
    first_event_ = services_.clock->now();
    const auto sent = co_await caller_.respond(std::move(answer));
    outcome_ += sent.ok() ? "" : "_unsent";
    co_return next_step::done;
}

http::asio::awaitable<relay_run::next_step>
relay_run::pass_events(upstream_attempt& from)
{
    // The head goes out with the first event, so that a stream that breaks
    // before it can still be answered by another upstream.
    const auto begin = [&]() -> http::asio::awaitable<absl::Status> {
        http::bhttp::response<http::bhttp::empty_body> head(
            from.head().result(), 11);
        services_.codec->copy_answer_headers(from.head(), head.base());
        status_ = head.result_int();
        co_return co_await caller_.begin_stream(std::move(head));
    };
    for (;;)
    {
        const auto limit = caller_.answer_started()
                               ? pause_limit()
                               : first_until_ - services_.clock->now();
        auto piece = co_await from.read_some(limit);
        const bool ended = piece.ok() && piece->empty();
        auto events = piece.ok() ? framer_.feed(*piece)
                                 : absl::StatusOr<std::string>(piece.status());
        if (!events.ok() || (ended && !framer_.at_boundary()))
        {
            framer_.drop_partial();
            end_ = events.ok() || !absl::IsCancelled(events.status())
                       ? call_end::broken
                       : call_end::cancelled;
            attempts_text_ += ":cut";
            if (caller_.caller_gone())
            {
                outcome_ = "caller_gone";
                co_return next_step::done;
            }
            const bool again =
                may_run_again() && time_left() > min_time_left && take_repeat();
            co_return again ? next_step::again : next_step::give_up;
        }
        if (!caller_.answer_started() && (ended || !events->empty()))
        {
            first_event_ = services_.clock->now();
            services_.router->first_event(ticket_, first_event_);
            if (!(co_await begin()).ok())
            {
                end_ = call_end::cancelled;
                outcome_ = "caller_gone";
                co_return next_step::done;
            }
        }
        if (!events->empty())
        {
            observe_events();
        }
        if (!events->empty() && !(co_await caller_.write(*events)).ok())
        {
            end_ = call_end::cancelled;
            outcome_ = "caller_gone";
            caller_.close_after();
            co_return next_step::done;
        }
        if (ended)
        {
            end_ = call_end::completed;
            outcome_ = "streamed";
            (void)co_await caller_.end_stream();
            co_return next_step::done;
        }
        if (time_left() <= answer_margin)
        {
            from.cancel();
            end_ = call_end::cancelled;
            co_return next_step::give_up;
        }
    }
}

http::asio::awaitable<void>
relay_run::conclude(const std::optional<routing::placement_result>& refused)
{
    if (caller_.answer_started())
    {
        // Without its last chunk the stream is seen as cut.
        caller_.close_after();
        outcome_ = "cut";
        co_return;
    }
    if (failure_)
    {
        status_ = failure_->result_int();
        outcome_ = "upstream_error";
        (void)co_await caller_.respond(*std::move(failure_));
        co_return;
    }
    if (so_far_.runs > 0)
    {
        const bool late = time_left() < min_time_left;
        co_await refuse(gateway::make_refusal(
            late ? refusal_reason::upstream_timeout
                 : refusal_reason::upstream_failed,
            "no whole answer came from the upstream"));
        co_return;
    }
    const auto reason = refused ? reason_of(refused->refusal)
                        : time_left() < min_time_left
                            ? refusal_reason::deadline_too_near
                            : refusal_reason::upstreams_busy;
    detail_ = refused
                  ? core::name_of(routing::no_placement_names, refused->refusal)
                  : std::string_view();
    auto it = gateway::make_refusal(reason, "no upstream takes the request");
    it.retry_after = refused ? refused->retry_after
                             : core::duration(std::chrono::milliseconds(300));
    co_await refuse(std::move(it));
}

http::asio::awaitable<void> relay_run::refuse(gateway::refusal it)
{
    outcome_ = std::string(gateway::rule_of(it.reason).name);
    auto answer = services_.codec->make_refusal(it);
    if (terms_.relayed)
    {
        answer.set(
            not_run_header,
            core::name_of(gateway::not_run_names, it.ran).data());
    }
    status_ = answer.result_int();
    services_.metrics
        ->get_counter("hyssoploft_refusals_total", {{"reason", outcome_}})
        .add();
    (void)co_await caller_.respond(std::move(answer));
}

void relay_run::observe_events()
{
    const auto now = services_.clock->now();
    if (last_event_ != core::time_point())
    {
        longest_pause_ = std::max(longest_pause_, now - last_event_);
    }
    last_event_ = now;
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
        .with("runs", so_far_.runs)
        .with("tried", attempts_text_)
        .with("events", framer_.events())
        .with(
            "first_ms",
            first_event_ == core::time_point() ? -1 : ms(first_event_))
        .with("longest_pause_ms", longest_pause_ / std::chrono::milliseconds(1))
        .with("total_ms", ms(now))
        .with("left_ms", time_left() / std::chrono::milliseconds(1));
    if (terms_.is_engine)
    {
        line.with("prompt", terms_.head.prompt_tokens)
            .with("read", belief_.read_tokens)
            .with("ahead", std::lround(belief_.ahead_tokens))
            .with("running", std::lround(belief_.running))
            .with("expected_ms", std::lround(1e3 * belief_.expected_seconds))
            .with("loads_age_ms", loads_age_ / std::chrono::milliseconds(1));
    }
    services_.log.add(line, now);
    services_.metrics
        ->get_counter("hyssoploft_requests_total", {{"outcome", outcome_}})
        .add();
    if (first_event_ != core::time_point())
    {
        services_.metrics->get_distribution("hyssoploft_first_answer_seconds")
            .record(core::to_seconds(first_event_ - terms_.arrived));
    }
    if (outcome_ != "streamed" || terms_.relayed)
    {
        return;
    }
    services_.metrics->get_distribution("hyssoploft_longest_pause_seconds")
        .record(core::to_seconds(longest_pause_));
    const bool late_start =
        first_event_ - terms_.arrived > terms_.latency_target;
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
