// Calls the decision modules under one mutex and resumes waiting requests.

#include <LibGateway/dispatcher.hpp>

#include <LibCore/saturating_cast.hpp>
#include <LibCore/text.hpp>
#include <LibGateway/await_callback.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::gateway {

namespace {

// Weight of the newest run time in the moving average.
constexpr double run_time_smoothing_factor = 0.1;
// Each VM admits up to this multiple of an equal share of the upstreams'
// capacity, since load is not spread evenly over the VMs of a region.
constexpr double capacity_overcommit = 2.0;
// A VM with more waiting requests than this for each running one is left out
// of the directory of entry VMs.
constexpr std::size_t max_waiting_per_running = 2;

// Capacity of the serving upstreams divided by the live VMs, in concurrent
// calls. An empty region stands for the whole fleet.
double
capacity_per_vm(const membership::fleet_view& fleet, const std::string& region)
{
    double capacity = 0;
    for (const auto& [id, it] : fleet.upstreams)
    {
        const bool counted = it.state == membership::upstream_state::serving &&
                             (region.empty() || it.region == region);
        capacity += counted ? it.capacity : 0;
    }
    double vms = 0;
    for (const auto& [id, it] : fleet.vms)
    {
        const bool counted = it.state == membership::vm_state::alive &&
                             (region.empty() || it.region == region);
        vms += counted ? 1 : 0;
    }
    return capacity / std::max(1.0, vms);
}

// The larger of the VM's shares of its region and of the fleet: a region
// without upstreams forwards its calls to other regions.
std::uint32_t capacity_share(const membership::fleet_view& fleet)
{
    const auto self = fleet.vms.find(fleet.self);
    const double local = self == fleet.vms.end()
                             ? 0
                             : capacity_per_vm(fleet, self->second.region);
    const double share =
        capacity_overcommit * std::max(local, capacity_per_vm(fleet, ""));
    return core::saturating_cast<std::uint32_t>(std::max(1.0, share));
}

refusal admission_refusal(admission::refusal_reason reason)
{
    switch (reason)
    {
    case admission::refusal_reason::queue_full:
        return make_refusal(
            refusal_reason::queue_full, "the queue of the account is full");
    case admission::refusal_reason::deadline_too_near:
        return make_refusal(
            refusal_reason::deadline_too_near,
            "the request would not finish before its deadline");
    case admission::refusal_reason::shutting_down:
        break;
    }
    return make_refusal(
        refusal_reason::shutting_down, "this VM takes no new requests");
}

} // namespace

dispatcher::dispatcher(
    decision_modules modules, std::shared_ptr<control_view> control,
    std::shared_ptr<core::clock> clock,
    std::shared_ptr<core::random_source> random, telemetry::metrics& metrics)
    : control_(std::move(control)), clock_(std::move(clock)),
      random_(std::move(random)),
      waiting_gauge_(metrics.get_gauge("hyssoploft_requests_waiting")),
      running_gauge_(metrics.get_gauge("hyssoploft_requests_running")),
      modules_(std::move(modules))
{
    const std::lock_guard lock(mutex_);
    apply_new_views(clock_->now());
}

http::asio::awaitable<std::optional<refusal>> dispatcher::admit(
    http::exchange& caller, admission::waiting_request request,
    const std::string& route, admission_ticket& out)
{
    admission::admission_answer answer;
    const auto state = co_await await_callback<wait_state>(
        caller.executor(), [&](waiter done) {
            answer = submit(std::move(request), route, done, out);
            if (answer.verdict == admission::admission_verdict::run)
            {
                done(wait_state::may_run);
            }
            else if (answer.verdict == admission::admission_verdict::refuse)
            {
                done(wait_state::refused);
            }
            else
            {
                caller.on_caller_gone([this, id = out.id] {
                    cancel(id);
                });
            }
        });
    caller.on_caller_gone(nullptr);
    out.admitted_at = clock_->now();
    if (state == wait_state::may_run)
    {
        co_return std::nullopt;
    }
    const bool waited = answer.verdict == admission::admission_verdict::wait;
    auto it = admission_refusal(
        waited ? admission::refusal_reason::deadline_too_near : answer.reason);
    it.retry_after = answer.retry_after;
    co_return it;
}

admission::admission_answer dispatcher::submit(
    admission::waiting_request request, const std::string& route,
    const waiter& wake, admission_ticket& out)
{
    const auto now = clock_->now();
    const std::lock_guard lock(mutex_);
    request.id = out.id = next_id_++;
    request.expected_run = average_run_time(route);
    const auto answer = modules_.admission->submit(request, now);
    // Registered under the lock of submit(): another thread may admit the
    // request as soon as the lock is released.
    if (answer.verdict == admission::admission_verdict::wait)
    {
        waiters_[request.id] = wake;
    }
    return answer;
}

void dispatcher::cancel(std::uint64_t id)
{
    waiter wake;
    {
        const std::lock_guard lock(mutex_);
        const auto found = waiters_.find(id);
        if (found == waiters_.end())
        {
            return;
        }
        wake = std::move(found->second);
        waiters_.erase(found);
        modules_.admission->cancel(id);
    }
    wake(wait_state::refused);
}

void dispatcher::finish_request(
    const admission_ticket& ticket, const std::string& route, double tokens,
    bool overloaded)
{
    const auto now = clock_->now();
    admission::admission_update update;
    {
        const std::lock_guard lock(mutex_);
        const double seconds = core::to_seconds(now - ticket.admitted_at);
        auto [it, added] = average_run_seconds_.try_emplace(route, seconds);
        it->second += run_time_smoothing_factor * (seconds - it->second);
        modules_.admission->finished(ticket.id, tokens, overloaded, now);
        update = modules_.admission->poll(now);
    }
    wake_waiters(update);
}

routing::routing_result
dispatcher::choose(const routing::routing_request& request)
{
    const auto now = clock_->now();
    const std::lock_guard lock(mutex_);
    apply_new_views(now);
    return modules_.router->choose(request, now);
}

routing::forwarding_result
dispatcher::choose_vm(const routing::forwarding_request& request)
{
    const std::lock_guard lock(mutex_);
    return routing::choose_forwarding_vm(*fleet_, request, *random_);
}

void dispatcher::record_first_token(
    const std::string& upstream, const routing::routing_request& request,
    core::duration since_choice)
{
    const auto now = clock_->now();
    const std::lock_guard lock(mutex_);
    modules_.router->record_first_token(upstream, request, since_choice, now);
}

void dispatcher::record_call_result(
    const std::string& upstream, const routing::routing_request& request,
    const routing::call_result& result)
{
    const auto now = clock_->now();
    const std::lock_guard lock(mutex_);
    modules_.router->record_result(upstream, request, result, now);
}

void dispatcher::apply_cache_event(
    const std::string& upstream, std::uint64_t sequence,
    const std::vector<std::uint64_t>& stored,
    const std::vector<std::uint64_t>& evicted)
{
    const auto now = clock_->now();
    const std::lock_guard lock(mutex_);
    modules_.router->apply_cache_event(
        upstream, sequence, stored, evicted, now);
}

void dispatcher::count_request()
{
    const auto now = clock_->now();
    const std::lock_guard lock(mutex_);
    modules_.retries->on_request(now);
}

retry::retry_decision dispatcher::decide_retry(const retry::failed_call& call)
{
    const auto now = clock_->now();
    const std::lock_guard lock(mutex_);
    return modules_.retries->decide(call, now);
}

rate::reserve_result
dispatcher::reserve(const std::string& account, double tokens)
{
    return modules_.rates->reserve(account, tokens, clock_->now());
}

void dispatcher::settle(const rate::reservation& reserved, double used_tokens)
{
    modules_.rates->settle(reserved, used_tokens, clock_->now());
}

void dispatcher::tick()
{
    const auto now = clock_->now();
    admission::admission_update update;
    {
        const std::lock_guard lock(mutex_);
        apply_new_views(now);
        update = modules_.admission->poll(now);
        const auto waiting = modules_.admission->waiting();
        const auto running = modules_.admission->running();
        waiting_gauge_.set(static_cast<double>(waiting));
        running_gauge_.set(static_cast<double>(running));
        const bool overloaded =
            waiting > max_waiting_per_running * (running + 1);
        if (overloaded != published_overloaded_)
        {
            published_overloaded_ = overloaded;
            control_->set_overloaded(overloaded);
        }
    }
    wake_waiters(update);
}

void dispatcher::shut_down()
{
    const std::lock_guard lock(mutex_);
    modules_.admission->shut_down();
}

std::size_t dispatcher::pending() const
{
    const std::lock_guard lock(mutex_);
    return modules_.admission->waiting() + modules_.admission->running();
}

void dispatcher::apply_new_views(core::time_point now)
{
    auto fleet = control_->fleet();
    auto configuration = control_->configuration();
    if (fleet == fleet_ && configuration == configuration_)
    {
        return;
    }
    fleet_ = std::move(fleet);
    configuration_ = std::move(configuration);
    modules_.router->update(fleet_, configuration_, now);
    modules_.admission->set_capacity(capacity_share(*fleet_), now);
}

void dispatcher::wake_waiters(const admission::admission_update& update)
{
    std::vector<std::pair<waiter, wait_state>> woken;
    {
        const std::lock_guard lock(mutex_);
        const auto collect_waiter = [&](std::uint64_t id, wait_state state) {
            const auto found = waiters_.find(id);
            if (found != waiters_.end())
            {
                woken.emplace_back(std::move(found->second), state);
                waiters_.erase(found);
            }
        };
        for (const auto id : update.run)
        {
            collect_waiter(id, wait_state::may_run);
        }
        for (const auto id : update.refused)
        {
            collect_waiter(id, wait_state::refused);
        }
    }
    for (const auto& [wake, state] : woken)
    {
        wake(state);
    }
}

core::duration dispatcher::average_run_time(const std::string& route) const
{
    const auto found = average_run_seconds_.find(route);
    return found == average_run_seconds_.end()
               ? core::duration()
               : core::from_seconds(found->second);
}

} // namespace hyssoploft::gateway
