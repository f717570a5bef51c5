// Sends a second call for a slow answer, and decides which of the two answers
// the caller gets.

#include <LibRelay/relay_run.hpp>

#include <LibCore/text.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace hyssoploft::relay {

namespace {

using retry::second_call_reason;
using routing::placement_outcome;

/// Whether the answer is one that ends the request.
bool is_final(const attempt_result& result, const upstream_attempt& call)
{
    constexpr unsigned first_server_error = 500;
    return result.execution == execution_state::answered &&
           call.head().result_int() < first_server_error;
}

void count_hedge(relay_services& services, std::string_view outcome)
{
    services.metrics
        ->get_counter(
            "hyssoploft_hedges_total", {{"outcome", std::string(outcome)}})
        .add();
}

} // namespace

/// Shared by the run of its request and the coroutine that waits for the call.
/// The latter may outlive the former while a cancelled call still connects.
struct hedge_call
{
    hedge_call(
        relay_services& services, const request_terms& terms,
        http::exchange& caller, std::shared_ptr<const fleet::traffic_view> seen,
        routing::placement to)
        : view(std::move(seen)), target(std::move(to)),
          call(services, terms, caller.pool()), ended(caller.executor())
    {}

    std::shared_ptr<const fleet::traffic_view> view;
    routing::placement target;
    upstream_attempt call;
    http::asio::steady_timer ended; // Cancelled once the call has ended.
    core::time_point started{};
    std::uint64_t incarnation = 0;
    bool has_won = false;    // It has a valid answer, and came first.
    bool is_settled = false; // Counted in the log, the router and metrics.
};

bool relay_run::is_hedge_running() const
{
    return hedge_ && !hedge_->is_settled;
}

void relay_run::record_first_answer(
    const attempt_result& result, const routing::placement& target)
{
    auto* policy = slow_answers_for(services_, terms_.role);
    if (!policy || terms_.relayed || terms_.is_engine || !target.local)
    {
        return;
    }
    const auto now = services_.clock->now();
    if (result.end == placement_outcome::rejected)
    {
        policy->record_rejection(now);
    }
    // Without the calls that lost to their hedge the slowest answers would be
    // missing, and the delay would shrink with each hedge.
    const bool was_slow = is_hedge_running() && hedge_->has_won;
    if (result.execution == execution_state::answered || was_slow)
    {
        policy->record_answer(now - attempt_started_at_);
    }
}

void relay_run::start_hedge_timer()
{
    ++hedge_timer_number_;
    // Engines would read the prompt twice, which delays the streams of all
    // their callers.
    const bool is_candidate =
        !terms_.relayed && !terms_.is_engine && !hedge_ &&
        !caller_.answer_started() &&
        terms_.repeat == manifest::repeat_kind::idempotent &&
        current_target_->local;
    const auto* policy =
        is_candidate ? slow_answers_for(services_, terms_.role) : nullptr;
    if (!policy)
    {
        return;
    }
    if (!hedge_timer_)
    {
        hedge_timer_.emplace(caller_.executor());
    }
    hedge_timer_->expires_after(policy->delay(terms_.latency_target));
    hedge_timer_->async_wait(
        [weak = weak_from_this(),
         number = hedge_timer_number_](const http::error_code& ec) {
            const auto self = weak.lock();
            if (!ec && self && self->hedge_timer_number_ == number)
            {
                self->on_slow_answer();
            }
        });
}

relay_run::hedge_choice relay_run::choose_hedge(
    const fleet::traffic_view& view, const retry::slow_answer_policy& policy,
    core::time_point now)
{
    retry::slow_call call;
    call.is_repeatable = terms_.repeat == manifest::repeat_kind::idempotent;
    call.has_second_call = hedge_ != nullptr;
    call.may_run_again = may_rerun();
    call.is_sent = current_attempt_->was_sent();
    call.is_stopping = services_.is_ending || services_.is_draining;
    // Only for a call that was sent: check_admission() takes the manifest in
    // force for the request's, and one that still connects must find out at
    // its sending that it was admitted under an older one.
    call.is_permitted = call.is_sent && !fleet::is_outdated(view, now) &&
                        !check_admission(view);
    call.has_repeat_budget =
        retry_budget_for(services_, terms_.role).has_room(1, now);
    call.sent_at = attempt_started_at_;
    call.arrived = terms_.arrived;
    call.deadline = terms_.deadline;
    call.latency_target = terms_.latency_target;
    const auto reason = policy.check_call(call, now);
    if (reason != second_call_reason::allowed)
    {
        return {reason, std::nullopt};
    }
    auto request = make_placement_request();
    request.local_only = true;
    request.excluded.insert(current_target_->upstream);
    const auto placed = services_.router->choose(view, request, now);
    if (!placed.chosen)
    {
        return {second_call_reason::no_upstream, std::nullopt};
    }
    const auto found = view.fleet->upstreams.find(placed.chosen->upstream);
    retry::second_upstream upstream;
    upstream.expected_seconds = placed.estimate.expected_seconds;
    upstream.running = placed.estimate.running;
    upstream.capacity =
        found == view.fleet->upstreams.end() ? 0 : found->second.capacity;
    upstream.is_last_resort =
        placed.chosen->reason == routing::placement_reason::last_resort;
    const auto checked = policy.check_upstream(call, upstream, now);
    if (checked == second_call_reason::allowed)
    {
        return {checked, placed.chosen};
    }
    services_.router->finish_call(
        placed.chosen->ticket, placement_outcome::cancelled, now);
    return {checked, std::nullopt};
}

void relay_run::on_slow_answer()
{
    // A reserved repeat has taken the place of the current attempt.
    auto* policy = slow_answers_for(services_, terms_.role);
    if (!policy || !awaits_head_ || !current_attempt_ || reserved_ ||
        caller_.caller_gone())
    {
        return;
    }
    const auto now = services_.clock->now();
    auto view = services_.source->view();
    const auto choice = choose_hedge(*view, *policy, now);
    if (!choice.target)
    {
        count_hedge(services_, "not_sent");
        services_.metrics
            ->get_counter(
                "hyssoploft_hedges_not_sent_total",
                {{"reason",
                  std::string(core::name_of(
                      retry::second_call_reason_names, choice.reason))}})
            .add();
        return;
    }
    // Both have room: choose_hedge() has asked them at this time.
    (void)policy->take(now);
    (void)retry_budget_for(services_, terms_.role).take(now);
    send_hedge(std::move(view), *choice.target, now);
}

void relay_run::send_hedge(
    std::shared_ptr<const fleet::traffic_view> view,
    const routing::placement& target, core::time_point now)
{
    ++attempt_counts_.attempts;
    hedge_ = std::make_shared<hedge_call>(
        services_, terms_, caller_, std::move(view), target);
    hedge_->started = now;
    const auto found = hedge_->view->fleet->upstreams.find(target.upstream);
    hedge_->incarnation = found == hedge_->view->fleet->upstreams.end()
                              ? 0
                              : found->second.incarnation;
    http::asio::co_spawn(
        caller_.executor(), run_hedge(shared_from_this(), hedge_),
        http::asio::detached);
}

http::asio::awaitable<void> relay_run::run_hedge(
    std::shared_ptr<relay_run> self, std::shared_ptr<hedge_call> it)
{
    // Once the hedge is settled, the exchange and the services may be gone.
    if (it->is_settled)
    {
        co_return;
    }
    const auto result = co_await it->call.start(
        *it->view, it->target, self->caller_.message(), std::string(),
        self->time_left());
    if (it->is_settled)
    {
        co_return;
    }
    if (is_final(result, it->call))
    {
        it->has_won = true;
        self->current_attempt_->cancel();
        it->ended.cancel();
        co_return;
    }
    it->call.cancel();
    const bool is_error = result.execution == execution_state::answered;
    if (result.end == placement_outcome::rejected)
    {
        if (auto* policy = slow_answers_for(self->services_, self->terms_.role))
        {
            policy->record_rejection(self->services_.clock->now());
        }
    }
    self->excluded_upstreams_.insert(it->target.upstream);
    self->settle_hedge(
        is_error ? placement_outcome::errored : result.end,
        result.execution != execution_state::not_run, "failed");
}

void relay_run::settle_hedge(
    placement_outcome end, bool may_have_run, std::string_view outcome)
{
    hedge_->is_settled = true;
    attempt_counts_.executions += may_have_run ? 1 : 0;
    services_.router->finish_call(
        hedge_->target.ticket, end, services_.clock->now());
    hedge_text_ =
        core::concat(",", hedge_->target.upstream, ":hedge:", outcome);
    if (outcome == "failed")
    {
        hedge_text_ += core::concat(
            ":", core::name_of(routing::placement_outcome_names, end));
    }
    count_hedge(services_, outcome);
    hedge_->ended.cancel();
}

void relay_run::cancel_hedge(std::string_view outcome)
{
    if (!is_hedge_running())
    {
        return;
    }
    const bool was_sent = hedge_->call.was_sent();
    hedge_->call.cancel();
    settle_hedge(placement_outcome::cancelled, was_sent, outcome);
}

http::asio::awaitable<bool>
relay_run::has_hedge_won(const attempt_result& result, upstream_attempt& first)
{
    if (!hedge_->has_won && is_final(result, first))
    {
        cancel_hedge("lost");
        co_return false;
    }
    stop_silence_watch();
    // No longer than a call of its own would be waited for.
    hedge_->ended.expires_after(first_answer_patience());
    while (is_hedge_running() && !hedge_->has_won)
    {
        http::error_code ec;
        co_await hedge_->ended.async_wait(
            http::asio::redirect_error(http::asio::use_awaitable, ec));
        if (!ec && !hedge_->has_won)
        {
            cancel_hedge("silent");
        }
    }
    co_return is_hedge_running();
}

http::asio::awaitable<relay_run::next_step>
relay_run::forward_hedge(const attempt_result& result, upstream_attempt& first)
{
    const auto now = services_.clock->now();
    // Its answer may have come in the turn in which it was cancelled.
    const bool was_slow =
        absl::IsCancelled(result.status) || is_final(result, first);
    const bool is_error = result.execution == execution_state::answered;
    attempts_text_ += core::concat(
        ":", was_slow ? "slow"
             : is_error
                 ? "error"
                 : core::name_of(execution_state_names, result.execution));
    attempt_counts_.executions +=
        result.execution != execution_state::not_run ? 1 : 0;
    first.cancel();
    finish_placement(
        was_slow   ? placement_outcome::cancelled
        : is_error ? placement_outcome::errored
                   : result.end);
    excluded_upstreams_.insert(current_target_->upstream);

    hedge_->is_settled = true;
    ++attempt_counts_.executions;
    count_hedge(services_, "won");
    attempts_text_ += core::concat(",", hedge_->target.upstream, ":hedge:won");
    placement_ticket_ = hedge_->target.ticket;
    current_attempt_ = &hedge_->call;
    current_target_ = &hedge_->target;
    current_incarnation_ = hedge_->incarnation;
    attempt_started_at_ = hedge_->started;
    first_event_deadline_ = now + first_answer_patience();
    watch_silence(first_event_deadline_);
    co_return co_await forward_answer(hedge_->call, hedge_->target);
}

} // namespace hyssoploft::relay
