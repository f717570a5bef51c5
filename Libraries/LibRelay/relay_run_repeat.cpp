// Decides when a request is repeated at another upstream.

#include <LibRelay/relay_run.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::relay {

namespace {

using routing::placement_outcome;

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
/// Room in the retry budget for the repeat, and for one more if its upstream
/// rejects it.
constexpr std::uint32_t repeat_charges = 2;

std::chrono::nanoseconds seconds_of(double seconds)
{
    return core::from_seconds(seconds);
}

} // namespace

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

bool relay_run::may_rerun() const
{
    auto counts = attempt_counts_;
    counts.executions += awaits_head_ ? 1 : 0;
    counts.executions += is_hedge_running() ? 1 : 0;
    return !terms_.relayed &&
           relay::may_rerun(terms_.repeat, terms_.max_executions, counts);
}

bool relay_run::should_rerun()
{
    if (services_.is_ending)
    {
        return false;
    }
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
    if (reserved_ && view.routes && view.routes->version() == reserved_under_)
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
    // A timer that ends earlier finds out then that the deadline has moved:
    // rescheduling it for each event costs a system call.
    if (silence_timer_due_ && *silence_timer_due_ <= *silence_deadline_)
    {
        return;
    }
    silence_timer_due_ = silence_deadline_;
    silence_timer_.expires_after(*silence_deadline_ - services_.clock->now());
    silence_timer_.async_wait(
        [weak = weak_from_this(),
         number = ++silence_timer_number_](const http::error_code& ec) {
            const auto self = weak.lock();
            if (!ec && self && self->silence_timer_number_ == number)
            {
                self->silence_timer_due_.reset();
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

bool relay_run::may_send_prompt(
    const fleet::traffic_view& view, core::time_point now) const
{
    return !terms_.is_engine || terms_.ignores_quarantine ||
           framer_.event_count() > 1 ||
           services_.guard.check(view, terms_.head.parts, now).verdict ==
               prompt_verdict::allowed;
}

bool relay_run::reserve_repeat()
{
    const auto now = services_.clock->now();
    auto& budget = retry_budget_for(services_, terms_.role);
    const auto view = services_.source->view();
    // A call that is still connecting has a time limit of its own.
    const bool is_permitted =
        current_attempt_->was_sent() && !is_hedge_running() && may_rerun() &&
        time_left() > min_time_left && budget.has_room(repeat_charges, now) &&
        !fleet::is_outdated(*view, now) && !check_admission(*view) &&
        may_send_prompt(*view, now);
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
    reserved_under_ = terms_.manifest_version;
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

} // namespace hyssoploft::relay
