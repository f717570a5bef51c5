// Choice of the next request, early refusal and estimate of the wait.

#include <LibAdmission/fair_admission.hpp>

#include <algorithm>
#include <cmath>

namespace hyssoploft::admission {

namespace {

// Factor by which earlier calls decay in the service rate with each new call.
constexpr double service_rate_decay = 0.98;

// Bounds of the retry delay sent to callers: long enough to prevent rapid
// retries, short enough that callers do not give up.
constexpr core::duration min_retry_after = std::chrono::milliseconds(100);
constexpr core::duration max_retry_after = std::chrono::seconds(60);

core::duration clamp_retry_after(core::duration it)
{
    return std::clamp(it, min_retry_after, max_retry_after);
}

} // namespace

void service_rate::add_sample(double tokens, core::duration run_time)
{
    if (tokens <= 0 || run_time <= core::duration::zero())
    {
        return;
    }
    tokens_ = service_rate_decay * tokens_ + tokens;
    seconds_ = service_rate_decay * seconds_ + core::to_seconds(run_time);
}

fair_admission::fair_admission(admission_settings settings)
    : settings_(settings)
{}

core::duration
fair_admission::expected_wait(const waiting_request& request) const
{
    if (waiting() == 0 && running_.size() < capacity_)
    {
        return core::duration::zero();
    }
    double rate_per_call = service_rate_.tokens_per_second();
    if (rate_per_call <= 0)
    {
        const double run_seconds =
            std::max(1e-3, core::to_seconds(request.expected_run));
        rate_per_call = std::max(1.0, request.cost_tokens) / run_seconds;
    }
    double total_rate = rate_per_call * std::max(1U, capacity_);
    const fair_queue& own = queue_of(request);
    const fair_queue& other = request.interactive ? batch_ : interactive_;
    if (other.size() > 0)
    {
        total_rate *= request.interactive
                          ? 1 - settings_.batch_share
                          : std::max(0.01, settings_.batch_share);
    }
    // The tokens queued for its own account are served at the account's share
    // of the weights; the wait is at most that of the whole queue.
    const bool is_counted = own.size(request.account) > 0;
    const double total_weight =
        own.total_weight() + (is_counted ? 0.0 : request.weight);
    const double tokens_ahead =
        own.queued_tokens(request.account) * total_weight / request.weight;
    return core::from_seconds(std::min(
        1e6, std::min(tokens_ahead, own.queued_tokens()) / total_rate));
}

admission_answer
fair_admission::submit(const waiting_request& request, core::time_point now)
{
    const auto refuse = [](refusal_reason reason, core::duration retry_after) {
        return admission_answer{
            admission_verdict::refuse, reason, clamp_retry_after(retry_after)};
    };
    if (shutting_down_)
    {
        return refuse(refusal_reason::shutting_down, min_retry_after);
    }
    fair_queue& queue = queue_of(request);
    const core::duration wait = expected_wait(request);
    const bool has_free_capacity =
        waiting() == 0 && running_.size() < capacity_;
    if (now + request.expected_run > request.deadline)
    {
        return refuse(refusal_reason::deadline_too_near, wait);
    }
    if (has_free_capacity)
    {
        queue.charge(request);
        start(request, now);
        return {};
    }
    if (waiting() >= settings_.max_waiting ||
        queue.size(request.account) >= settings_.max_waiting_per_account)
    {
        return refuse(refusal_reason::queue_full, wait / 4);
    }
    const core::duration lateness =
        now + wait + request.expected_run - request.deadline;
    if (settings_.refuse_early && lateness > core::duration::zero())
    {
        return refuse(refusal_reason::deadline_too_near, lateness);
    }
    queue.push(request);
    start_deadlines_.emplace(
        request.deadline - request.expected_run, request.id);
    waiting_.emplace(request.id, request);
    return {admission_verdict::wait, {}, {}};
}

void fair_admission::start(const waiting_request& request, core::time_point now)
{
    running_.emplace(request.id, running_call{request, now});
}

void fair_admission::finished(
    std::uint64_t id, double tokens, bool overloaded, core::time_point now)
{
    const auto pos = running_.find(id);
    if (pos == running_.end())
    {
        return;
    }
    const running_call& call = pos->second;
    if (!overloaded)
    {
        service_rate_.add_sample(tokens, now - call.started_at);
    }
    queue_of(call.request)
        .adjust_charge(
            call.request.account, tokens - call.request.cost_tokens,
            call.request.weight);
    running_.erase(pos);
    if (running_.empty() && waiting() == 0)
    {
        interactive_.end_busy_period();
        batch_.end_busy_period();
    }
}

void fair_admission::cancel(std::uint64_t id)
{
    const auto pos = waiting_.find(id);
    if (pos == waiting_.end())
    {
        return;
    }
    const waiting_request& request = pos->second;
    queue_of(request).erase(id);
    start_deadlines_.erase({request.deadline - request.expected_run, id});
    waiting_.erase(pos);
}

bool fair_admission::is_batch_next() const
{
    const waiting_request* head = batch_.front();
    return head != nullptr &&
           (interactive_.size() == 0 || batch_credit_ >= head->cost_tokens);
}

admission_update fair_admission::poll(core::time_point now)
{
    admission_update update;
    while (!start_deadlines_.empty() && start_deadlines_.begin()->first < now)
    {
        const std::uint64_t id = start_deadlines_.begin()->second;
        cancel(id);
        update.refused.push_back(id);
    }
    while (waiting() > 0 && running_.size() < capacity_)
    {
        const bool is_batch = is_batch_next();
        const waiting_request request =
            is_batch ? batch_.pop() : interactive_.pop();
        start_deadlines_.erase(
            {request.deadline - request.expected_run, request.id});
        waiting_.erase(request.id);
        if (is_batch)
        {
            batch_credit_ = std::max(0.0, batch_credit_ - request.cost_tokens);
        }
        else if (batch_.size() > 0)
        {
            batch_credit_ += request.cost_tokens * settings_.batch_share /
                             (1 - settings_.batch_share);
        }
        start(request, now);
        update.run.push_back(request.id);
    }
    if (batch_.size() == 0)
    {
        batch_credit_ = 0;
    }
    return update;
}

void fair_admission::set_capacity(std::uint32_t calls, core::time_point)
{
    capacity_ = calls;
}

void fair_admission::shut_down()
{
    shutting_down_ = true;
}

} // namespace hyssoploft::admission
