// Runs one request from admission to its final answer.

#include <LibRelay/relay_run.hpp>

#include <LibCore/text.hpp>
#include <LibRelay/relay_ticket.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::relay {

namespace {

using gateway::refusal_reason;
using routing::placement_outcome;

/// Shortest remaining time for a call: a round trip and a short computation.
constexpr std::chrono::milliseconds min_time_left{20};
/// Time reserved for sending the final answer.
constexpr std::chrono::milliseconds answer_margin{15};
/// A retryable call without a stream is repeated after this fraction of its
/// latency target; almost all answers arrive sooner.
constexpr double answer_patience_factor = 0.8;
/// The same for the first event of a resumable stream.
constexpr double first_event_patience_factor = 2.0;
/// Lower bound on these times, as a multiple of the expected time.
constexpr double expected_time_factor = 4.0;
/// A stream that can resume at another upstream counts as stuck after this
/// multiple of the target for pauses between events.
constexpr double pause_patience_factor = 2.0;
/// Interval at which a repeat is tried again while the upstream stays silent.
constexpr std::chrono::milliseconds silence_check_interval{200};
/// Longest wait for a current view after a pause: a VM that is cut off
/// goes on with what it knows.
constexpr std::chrono::milliseconds max_view_wait{1000};
constexpr std::chrono::milliseconds view_poll_interval{20};

std::chrono::nanoseconds seconds_of(double seconds)
{
    return core::from_seconds(seconds);
}

refusal_reason reason_of(routing::placement_refusal it)
{
    switch (it)
    {
    case routing::placement_refusal::no_upstream:
    case routing::placement_refusal::residency_forbids:
        return refusal_reason::no_upstream;
    case routing::placement_refusal::all_tried:
        return refusal_reason::upstreams_busy;
    case routing::placement_refusal::backlog_full:
        return refusal_reason::queue_full;
    case routing::placement_refusal::deadline_too_near:
        break;
    }
    return refusal_reason::deadline_too_near;
}

} // namespace

relay_run::relay_run(
    relay_services& services, http::exchange& caller, request_terms terms)
    : services_(services), caller_(caller), terms_(std::move(terms)),
      silence_timer_(caller.executor())
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
    out.excluded = excluded_upstreams_;
    out.excluded_regions = excluded_regions_;
    out.latency_target = terms_.latency_target;
    out.time_left = time_left();
    out.local_only = terms_.relayed;
    return out;
}

http::asio::awaitable<void> relay_run::run()
{
    // Keeps this object alive while handlers of the exchange refer to it.
    const auto self = shared_from_this();
    caller_.on_caller_gone([this] {
        if (current_attempt_)
        {
            current_attempt_->cancel();
        }
    });
    for (;;)
    {
        if (caller_.caller_gone())
        {
            outcome_ = "caller_gone";
            break;
        }
        if (time_left() < min_time_left)
        {
            co_await send_final_answer(std::nullopt);
            break;
        }
        co_await wait_for_current_view();
        const auto view = services_.source->view();
        auto refused = check_admission(*view);
        if (refused)
        {
            detail_ = "manifest_changed";
        }
        else
        {
            refused = check_prompt(*view);
        }
        if (refused)
        {
            // What may have run must not hear that it has not.
            if (attempt_counts_.executions > 0)
            {
                co_await send_final_answer(std::nullopt);
            }
            else
            {
                co_await send_refusal(*std::move(refused));
            }
            break;
        }
        const auto now = services_.clock->now();
        const auto placed = choose_placement(*view, now);
        estimate_ = placed.estimate;
        loads_age_ = now - view->loads_received_at;
        if (!placed.chosen)
        {
            co_await send_final_answer(placed);
            break;
        }
        placement_ticket_ = placed.chosen->ticket;
        const auto next = co_await attempt(*view, *placed.chosen);
        services_.router->finish_call(
            placement_ticket_, last_end_, services_.clock->now());
        if (next == next_step::done)
        {
            break;
        }
        if (next == next_step::give_up)
        {
            co_await send_final_answer(std::nullopt);
            break;
        }
    }
    caller_.on_caller_gone(nullptr);
    release_reservation();
    if (terms_.reserved && attempt_counts_.executions == 0)
    {
        services_.rates->settle(*terms_.reserved, 0, services_.clock->now());
    }
    write_log();
}

core::duration relay_run::first_answer_patience() const
{
    const auto target = core::to_seconds(terms_.latency_target);
    const auto expected =
        seconds_of(expected_time_factor * estimate_.expected_seconds);
    if (!is_resumable())
    {
        return std::max(seconds_of(answer_patience_factor * target), expected);
    }
    return std::max<core::duration>(
        {seconds_of(first_event_patience_factor * target), expected,
         max_sound_silence});
}

core::duration relay_run::pause_patience() const
{
    return std::max<core::duration>(
        seconds_of(
            pause_patience_factor * core::to_seconds(terms_.pause_target)),
        max_sound_silence);
}

std::optional<gateway::refusal>
relay_run::check_admission(const fleet::traffic_view& view)
{
    if (!readmit_ || !view.routes ||
        view.routes->version() == terms_.manifest_version)
    {
        return std::nullopt;
    }
    auto decided = readmit_();
    if (auto* refused = std::get_if<gateway::refusal>(&decided))
    {
        return std::move(*refused);
    }
    auto terms = std::get<request_terms>(std::move(decided));
    const bool is_same_account = terms.account == terms_.account;
    if (!is_same_account)
    {
        return gateway::make_refusal(
            refusal_reason::unknown_key, "the key belongs to another account");
    }
    if (attempt_counts_.executions > 0 || current_attempt_)
    {
        // A repeat goes to the role that ran it first.
        terms_.manifest_version = terms.manifest_version;
        terms_.allowed_regions = std::move(terms.allowed_regions);
        return std::nullopt;
    }
    terms.deadline = std::min(
        terms_.deadline, terms_.arrived + (terms.deadline - terms.arrived));
    terms.arrived = terms_.arrived;
    terms.rate_tokens = terms_.rate_tokens;
    terms.borrowed_tokens = terms_.borrowed_tokens;
    terms.reserved = std::move(terms_.reserved);
    terms.is_trial = terms_.is_trial;
    terms_ = std::move(terms);
    return std::nullopt;
}

std::optional<gateway::refusal>
relay_run::check_prompt(const fleet::traffic_view& view)
{
    if (!terms_.is_engine || terms_.is_trial)
    {
        return std::nullopt;
    }
    const auto now = services_.clock->now();
    const auto decision = services_.guard.check(view, terms_.head.parts, now);
    if (decision.verdict == prompt_verdict::quarantined)
    {
        return refuse_prompt(decision);
    }
    if (decision.verdict == prompt_verdict::trial)
    {
        services_.guard.start_trial(decision.part, now);
        terms_.is_trial = true;
    }
    return std::nullopt;
}

void relay_run::record_prompt_answer()
{
    if (terms_.is_engine)
    {
        services_.guard.record_answer(
            *services_.source->view(), terms_.head.parts,
            services_.clock->now(), *services_.suspects);
    }
}

void relay_run::record_prompt_crash()
{
    if (!terms_.is_engine || caller_.caller_gone())
    {
        return;
    }
    is_suspect_ = services_.guard.is_suspect(
        *services_.source->view(), terms_.head.parts);
    // A VM of another region reports the upstream that it has called.
    if (current_target_->local)
    {
        services_.guard.record_crash(
            current_target_->upstream, current_incarnation_, terms_.head.parts,
            services_.clock->now(), *services_.suspects);
    }
}

// After a pause of the process, evacuations and manifests may have changed that
// the other processes act on already.
http::asio::awaitable<void> relay_run::wait_for_current_view()
{
    const auto until = services_.clock->now() + max_view_wait;
    while (
        services_.clock->now() < until && time_left() > min_time_left &&
        !caller_.caller_gone() &&
        fleet::is_outdated(*services_.source->view(), services_.clock->now()))
    {
        http::asio::steady_timer timer(caller_.executor(), view_poll_interval);
        http::error_code ec;
        co_await timer.async_wait(
            http::asio::redirect_error(http::asio::use_awaitable, ec));
    }
}

void relay_run::record_break(const absl::Status& status)
{
    const auto reason = absl::IsDeadlineExceeded(status) ? "silent"
                        : reserved_                      ? "silent"
                        : absl::IsCancelled(status)      ? "cancelled"
                                                         : "broken";
    attempts_text_ += core::concat(":", reason);
}

bool relay_run::may_rerun() const
{
    auto counts = attempt_counts_;
    counts.executions += awaits_head_ ? 1 : 0;
    return !terms_.relayed &&
           relay::may_rerun(terms_.repeat, terms_.max_executions, counts);
}

bool relay_run::should_rerun()
{
    // A reservation was charged to the budget.
    if (reserved_)
    {
        return true;
    }
    // What may have crashed another engine before is not sent to a second one.
    return !is_suspect_ && may_rerun() && time_left() > min_time_left &&
           take_retry();
}

routing::placement_result relay_run::choose_placement(
    const fleet::traffic_view& view, core::time_point now)
{
    if (reserved_ && view.routes &&
        view.routes->version() == terms_.manifest_version)
    {
        return *std::exchange(reserved_, std::nullopt);
    }
    release_reservation();
    return services_.router->choose(view, make_placement_request(), now);
}

void relay_run::release_reservation()
{
    if (const auto it = std::exchange(reserved_, std::nullopt))
    {
        services_.router->finish_call(
            it->chosen->ticket, placement_outcome::cancelled,
            services_.clock->now());
    }
}

void relay_run::watch_silence(core::time_point until)
{
    if (terms_.relayed || !is_retryable(terms_.repeat))
    {
        return;
    }
    silence_deadline_ = until;
    start_silence_timer();
}

void relay_run::stop_silence_watch()
{
    silence_deadline_.reset();
}

void relay_run::start_silence_timer()
{
    // A running timer finds out at its end whether the deadline has moved:
    // rescheduling it for each event costs a system call.
    if (is_silence_timer_running_)
    {
        return;
    }
    is_silence_timer_running_ = true;
    silence_timer_.expires_after(*silence_deadline_ - services_.clock->now());
    silence_timer_.async_wait(
        [weak = weak_from_this()](const http::error_code& ec) {
            const auto self = weak.lock();
            if (!ec && self)
            {
                self->is_silence_timer_running_ = false;
                self->on_silence();
            }
        });
}

void relay_run::on_silence()
{
    if (!silence_deadline_ || !current_attempt_)
    {
        return;
    }
    const auto now = services_.clock->now();
    if (now >= *silence_deadline_)
    {
        if (reserve_repeat())
        {
            stop_silence_watch();
            current_attempt_->cancel();
            return;
        }
        silence_deadline_ = now + silence_check_interval;
    }
    start_silence_timer();
}

bool relay_run::reserve_repeat()
{
    const auto now = services_.clock->now();
    auto& budget = retry_budget_for(services_, terms_.role);
    const auto view = services_.source->view();
    // A call that is still connecting has a time limit of its own.
    const bool is_permitted =
        current_attempt_->was_sent() && may_rerun() &&
        time_left() > min_time_left && !budget.is_exhausted(now) &&
        !fleet::is_outdated(*view, now) && !check_admission(*view);
    if (!is_permitted)
    {
        return false;
    }
    auto request = make_placement_request();
    if (current_target_->local)
    {
        request.excluded.insert(current_target_->upstream);
    }
    else
    {
        request.excluded_regions.insert(current_target_->region);
    }
    reserved_ = services_.router->choose(*view, request, now);
    const bool is_useful =
        reserved_->chosen &&
        reserved_->chosen->reason != routing::placement_reason::last_resort;
    if (is_useful && budget.take(now))
    {
        return true;
    }
    if (reserved_->chosen)
    {
        release_reservation();
    }
    reserved_.reset();
    return false;
}

bool relay_run::take_retry()
{
    return retry_budget_for(services_, terms_.role)
        .take(services_.clock->now());
}

http::asio::awaitable<relay_run::next_step> relay_run::attempt(
    const fleet::traffic_view& view, const routing::placement& target)
{
    ++attempt_counts_.attempts;
    upstream_attempt call(services_, terms_, caller_.pool());
    current_attempt_ = &call;
    current_target_ = &target;
    const auto found = view.fleet->upstreams.find(target.upstream);
    current_incarnation_ =
        found == view.fleet->upstreams.end() ? 0 : found->second.incarnation;
    first_event_deadline_ = services_.clock->now() + first_answer_patience();
    watch_silence(first_event_deadline_);
    awaits_head_ = true;
    const auto result = co_await call.start(
        view, target, caller_.message(), framer_.last_id(), time_left());
    awaits_head_ = false;
    if (!attempts_text_.empty())
    {
        attempts_text_ += ',';
    }
    attempts_text_ += core::concat(
        target.upstream, call.via_vm().empty() ? "" : "@", call.via_vm(), ":",
        core::name_of(routing::placement_reason_names, target.reason));
    if (result.execution != execution_state::not_run)
    {
        ++attempt_counts_.executions;
    }
    if (result.execution != execution_state::answered)
    {
        stop_silence_watch();
        last_end_ = reserved_ ? placement_outcome::broken : result.end;
        attempts_text_ += core::concat(
            ":", core::name_of(execution_state_names, result.execution));
        if (result.execution == execution_state::may_have_run)
        {
            record_break(result.status);
        }
        const bool has_broken_off =
            result.was_sent && result.end == placement_outcome::broken &&
            !reserved_ && !absl::IsDeadlineExceeded(result.status);
        if (has_broken_off)
        {
            record_prompt_crash();
        }
        current_attempt_ = nullptr;
        co_return after_failure(result, target);
    }
    auto next = next_step::give_up;
    if (call.parsed_answer().is_stream)
    {
        next = co_await forward_events(call);
    }
    else if (caller_.answer_started())
    {
        // Only a stream goes on with a stream.
        call.cancel();
        attempts_text_ += ":no_stream";
        last_end_ = placement_outcome::errored;
        next = should_rerun() ? next_step::retry : next_step::give_up;
    }
    else
    {
        next = co_await forward_body(call);
    }
    stop_silence_watch();
    current_attempt_ = nullptr;
    if (next == next_step::retry && call.via_vm().empty())
    {
        excluded_upstreams_.insert(target.upstream);
    }
    co_return next;
}

relay_run::next_step relay_run::after_failure(
    const attempt_result& result, const routing::placement& failed_placement)
{
    if (caller_.caller_gone())
    {
        outcome_ = "caller_gone";
        return next_step::done;
    }
    const bool is_expired =
        !result.was_sent && result.end == placement_outcome::cancelled;
    if (is_expired)
    {
        // The upstream did not fail; the next choice follows the newest view.
    }
    else if (failed_placement.local)
    {
        excluded_upstreams_.insert(failed_placement.upstream);
    }
    else
    {
        excluded_regions_.insert(failed_placement.region);
    }
    if (result.execution == execution_state::not_run)
    {
        // A call that was never sent does not count against the retry budget.
        const bool should_retry =
            !terms_.relayed && may_resend(attempt_counts_) &&
            (reserved_ || !result.was_sent || take_retry());
        return should_retry ? next_step::retry : next_step::give_up;
    }
    return should_rerun() ? next_step::retry : next_step::give_up;
}

http::asio::awaitable<relay_run::next_step>
relay_run::forward_body(upstream_attempt& from)
{
    services_.router->record_first_event(
        placement_ticket_, services_.clock->now());
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
            !absl::IsDeadlineExceeded(body.status()))
        {
            record_prompt_crash();
        }
        co_return should_rerun() ? next_step::retry : next_step::give_up;
    }
    http::response answer(from.head().result(), 11);
    services_.codec->copy_answer_headers(from.head(), answer.base());
    answer.body() = *std::move(body);
    const bool failed = answer.result_int() >= 500;
    if (!failed)
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
    // The head is sent with the first event, so that a stream that breaks
    // earlier can still be retried at another upstream.
    const auto send_head = [&]() -> http::asio::awaitable<absl::Status> {
        http::bhttp::response<http::bhttp::empty_body> head(
            from.head().result(), 11);
        services_.codec->copy_answer_headers(from.head(), head.base());
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
                !reserved_ && !absl::IsDeadlineExceeded(events.status()))
            {
                record_prompt_crash();
            }
            co_return should_rerun() ? next_step::retry : next_step::give_up;
        }
        if (!is_answered &&
            (ended || framer_.event_count() - events_at_start > 1))
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

http::asio::awaitable<void> relay_run::send_final_answer(
    const std::optional<routing::placement_result>& refused)
{
    if (caller_.answer_started())
    {
        // Without the last chunk the caller detects an incomplete stream.
        caller_.close_after();
        outcome_ = "cut";
        co_return;
    }
    if (failed_answer_)
    {
        status_ = failed_answer_->result_int();
        outcome_ = "upstream_error";
        (void)co_await caller_.respond(*std::move(failed_answer_));
        co_return;
    }
    if (attempt_counts_.executions > 0)
    {
        const bool late = time_left() < min_time_left;
        co_await send_refusal(gateway::make_refusal(
            late ? refusal_reason::upstream_timeout
                 : refusal_reason::upstream_failed,
            "no complete answer was received from the upstream"));
        co_return;
    }
    const auto reason = refused ? reason_of(refused->refusal)
                        : time_left() < min_time_left
                            ? refusal_reason::deadline_too_near
                            : refusal_reason::upstreams_busy;
    detail_ =
        refused
            ? core::name_of(routing::placement_refusal_names, refused->refusal)
            : std::string_view();
    auto it =
        gateway::make_refusal(reason, "no upstream can accept the request");
    it.retry_after = refused ? refused->retry_after
                             : core::duration(std::chrono::milliseconds(300));
    co_await send_refusal(std::move(it));
}

http::asio::awaitable<void> relay_run::send_refusal(gateway::refusal it)
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

} // namespace hyssoploft::relay
