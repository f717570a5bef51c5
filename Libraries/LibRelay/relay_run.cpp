// Runs one request from admission to its final answer.

#include <LibRelay/relay_run.hpp>

#include <LibCore/text.hpp>
#include <LibRelay/relay_ticket.hpp>

#include <absl/cleanup/cleanup.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::relay {

namespace {

using gateway::refusal_reason;
using routing::placement_outcome;

/// Longest wait for a current view after a pause: a VM that is cut off
/// goes on with what it knows.
constexpr std::chrono::milliseconds max_view_wait{1000};
constexpr std::chrono::milliseconds view_poll_interval{20};
/// A round trip within a region. No engine generates a token in this time.
constexpr std::chrono::milliseconds min_crash_delay{10};

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
    out.urgency = terms_.urgency;
    out.local_only = terms_.relayed;
    return out;
}

http::asio::awaitable<void> relay_run::run()
{
    // Keeps this object alive while handlers of the exchange refer to it.
    const auto self = shared_from_this();
    // Runs also if an exception or the end of the thread ends the coroutine.
    const auto cleanup = absl::MakeCleanup([this] {
        leave();
    });
    services_.open_runs.insert(this);
    caller_.on_caller_gone([this] {
        cancel_attempt();
    });
    co_await run_attempts();
}

void relay_run::leave()
{
    caller_.on_caller_gone(nullptr);
    services_.open_runs.erase(this);
    stop_silence_watch();
    current_attempt_ = nullptr;
    cancel_hedge("cancelled");
    attempts_text_ += std::exchange(hedge_text_, {});
    finish_placement(placement_outcome::cancelled);
    release_reservation();
    if (terms_.reserved && attempt_counts_.executions == 0)
    {
        services_.rates->settle(*terms_.reserved, 0, services_.clock->now());
    }
    if (outcome_.empty())
    {
        outcome_ = "abandoned";
    }
    write_log();
}

void relay_run::finish_placement(placement_outcome end)
{
    if (const auto ticket = std::exchange(placement_ticket_, 0))
    {
        services_.router->finish_call(ticket, end, services_.clock->now());
    }
}

http::asio::awaitable<void> relay_run::run_attempts()
{
    for (;;)
    {
        if (caller_.caller_gone())
        {
            outcome_ = "caller_gone";
            break;
        }
        if (time_left() < min_time_left || services_.is_ending)
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
        attempts_text_ += std::exchange(hedge_text_, {});
        finish_placement(last_end_);
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
}

void relay_run::cancel_attempt()
{
    if (current_attempt_)
    {
        current_attempt_->cancel();
    }
    cancel_hedge("cancelled");
}

void end_open_runs(relay_services& services)
{
    services.is_ending = true;
    for (auto* it : services.open_runs)
    {
        it->cancel_attempt();
    }
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
    terms.ignores_quarantine = terms_.ignores_quarantine;
    terms_ = std::move(terms);
    return std::nullopt;
}

std::optional<gateway::refusal>
relay_run::check_prompt(const fleet::traffic_view& view)
{
    terms_.ignores_quarantine |= framer_.event_count() > 1;
    if (!terms_.is_engine || terms_.ignores_quarantine)
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
        services_.guard.start_trial(view, terms_.head.parts, now);
        terms_.ignores_quarantine = true;
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
    const auto now = services_.clock->now();
    is_suspect_ = services_.guard.is_suspect(
        *services_.source->view(), terms_.head.parts, now);
    // Too soon for the first token: the connection was refused, or had ended
    // as the call was on its way.
    if (now - attempt_started_at_ < min_crash_delay)
    {
        return;
    }
    // A VM of another region reports the upstream that it has called.
    if (current_target_->local)
    {
        services_.guard.record_crash(
            current_target_->upstream, current_incarnation_, terms_.head.parts,
            now, *services_.suspects);
    }
}

// After a pause of the process, evacuations and manifests may have changed that
// the other processes act on already.
http::asio::awaitable<void> relay_run::wait_for_current_view()
{
    auto now = services_.clock->now();
    const auto until =
        std::min(now + max_view_wait, terms_.deadline - min_time_left);
    while (now < until && !caller_.caller_gone() &&
           fleet::is_outdated(*services_.source->view(), now))
    {
        http::asio::steady_timer timer(caller_.executor(), view_poll_interval);
        http::error_code ec;
        co_await timer.async_wait(
            http::asio::redirect_error(http::asio::use_awaitable, ec));
        now = services_.clock->now();
    }
}

void relay_run::record_break(const absl::Status& status)
{
    const auto reason = absl::IsDeadlineExceeded(status)    ? "silent"
                        : reserved_                         ? "silent"
                        : absl::IsCancelled(status)         ? "cancelled"
                        : absl::IsResourceExhausted(status) ? "too_large"
                                                            : "broken";
    attempts_text_ += core::concat(":", reason);
    if (absl::IsResourceExhausted(status))
    {
        services_.metrics->get_counter("hyssoploft_answers_too_large_total")
            .add();
    }
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
    attempt_started_at_ = services_.clock->now();
    first_event_deadline_ = attempt_started_at_ + first_answer_patience();
    watch_silence(first_event_deadline_);
    awaits_head_ = true;
    start_hedge_timer();
    const auto result = co_await call.start(
        view, target, caller_.message(), framer_.last_id(), time_left());
    awaits_head_ = false;
    record_first_answer(result, target);
    const bool hedge_won =
        is_hedge_running() && co_await has_hedge_won(result, call);
    if (!attempts_text_.empty())
    {
        attempts_text_ += ',';
    }
    attempts_text_ += core::concat(
        target.upstream, call.via_vm().empty() ? "" : "@", call.via_vm(), ":",
        core::name_of(routing::placement_reason_names, target.reason));
    if (hedge_won)
    {
        co_return co_await forward_hedge(result, call);
    }
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
        // Not an answer that is malformed or comes too late.
        const bool has_broken_off =
            result.was_sent && result.end == placement_outcome::broken &&
            !reserved_ && absl::IsUnavailable(result.status);
        if (has_broken_off)
        {
            record_prompt_crash();
        }
        current_attempt_ = nullptr;
        co_return after_failure(result, target);
    }
    co_return co_await forward_answer(call, target);
}

http::asio::awaitable<relay_run::next_step> relay_run::forward_answer(
    upstream_attempt& from, const routing::placement& target)
{
    auto next = next_step::give_up;
    if (from.parsed_answer().is_stream)
    {
        next = co_await forward_events(from);
    }
    else if (caller_.answer_started())
    {
        // Only a stream goes on with a stream.
        from.cancel();
        attempts_text_ += ":no_stream";
        last_end_ = placement_outcome::errored;
        next = should_rerun() ? next_step::retry : next_step::give_up;
    }
    else
    {
        next = co_await forward_body(from);
    }
    stop_silence_watch();
    current_attempt_ = nullptr;
    if (next == next_step::retry && from.via_vm().empty())
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
    if (absl::IsInvalidArgument(result.status))
    {
        is_malformed_ = true;
        return next_step::give_up;
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
    if (is_malformed_)
    {
        co_await send_refusal(gateway::make_refusal(
            refusal_reason::malformed_request,
            "the request can't be sent to an upstream as it is"));
        co_return;
    }
    const auto reason = refused               ? reason_of(refused->refusal)
                        : services_.is_ending ? refusal_reason::shutting_down
                        : time_left() < min_time_left
                            ? refusal_reason::deadline_too_near
                            : refusal_reason::upstreams_busy;
    detail_ =
        refused
            ? core::name_of(routing::placement_refusal_names, refused->refusal)
            : std::string_view();
    if (refused && refused->refusal == routing::placement_refusal::backlog_full)
    {
        services_.metrics
            ->get_counter(
                "hyssoploft_backlog_refusals_total",
                {{"urgency", std::to_string(terms_.urgency)}})
            .add();
    }
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
