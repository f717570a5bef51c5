// Admission of requests of callers and other VMs.

#include <LibRelay/relay_handler.hpp>

#include <LibCore/text.hpp>
#include <LibGateway/await_callback.hpp>
#include <LibRelay/relay_run.hpp>
#include <LibRelay/relay_ticket.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace hyssoploft::relay {

namespace {

using gateway::make_refusal;
using gateway::refusal;
using gateway::refusal_reason;

/// Time in which a VM that just started receives its manifest.
constexpr std::chrono::milliseconds manifest_retry_after{500};
/// For requests that no region may serve: only a new manifest changes that.
constexpr std::chrono::seconds residency_retry_after{10};
/// Loans per request. More than one, as other requests may use up the VM's own
/// credit while a loan is in transit.
constexpr int max_loans = 2;

// Regions allowed by both sets; an empty set allows all. False if there are
// none.
bool intersect(
    const std::set<std::string>& a, const std::set<std::string>& b,
    std::set<std::string>& out)
{
    if (a.empty() || b.empty())
    {
        out = a.empty() ? b : a;
        return true;
    }
    std::set_intersection(
        a.begin(), a.end(), b.begin(), b.end(),
        std::inserter(out, out.begin()));
    return !out.empty();
}

// Draws one of the route's roles with probability proportional to its weight.
const std::string&
draw_role(const manifest::traffic_route& route, core::random_source& random)
{
    double sum = 0;
    for (const auto& it : route.roles)
    {
        sum += it.weight;
    }
    double remaining = random.uniform() * sum;
    const std::string* chosen = &route.roles.front().role;
    for (const auto& it : route.roles)
    {
        if (it.weight <= 0)
        {
            continue;
        }
        chosen = &it.role;
        if (remaining < it.weight)
        {
            break;
        }
        remaining -= it.weight;
    }
    return *chosen;
}

http::asio::awaitable<void> send_refusal(
    relay_services& services, http::exchange& it, const std::string& request_id,
    const refusal& refused, bool relayed)
{
    auto answer = services.codec->make_refusal(refused);
    if (relayed)
    {
        answer.set(
            not_run_header,
            core::name_of(gateway::not_run_names, refused.ran).data());
    }
    const auto name = std::string(gateway::rule_of(refused.reason).name);
    core::log_line line("request_refused");
    line.with("id", request_id)
        .with("reason", name)
        .with("detail", refused.message)
        .with("status", answer.result_int())
        .with("retry_after_s", core::to_seconds(refused.retry_after));
    services.log.add(line, services.clock->now());
    services.metrics
        ->get_counter("hyssoploft_refusals_total", {{"reason", name}})
        .add();
    (void)co_await it.respond(std::move(answer));
}

} // namespace

std::variant<request_terms, refusal>
entry_handler::admit(const http::exchange& it)
{
    const auto& services = *services_;
    const auto view = services.source->view();
    const auto now = services.clock->now();
    request_terms out;
    out.head = services.codec->read_call(it.message());
    out.request_id = out.head.request_id;
    out.arrived = now;
    if (!view->routes)
    {
        auto refused = make_refusal(
            refusal_reason::no_upstream, "this VM has no manifest yet");
        refused.retry_after = manifest_retry_after;
        return refused;
    }
    const auto& routes = *view->routes;
    out.manifest_version = routes.version();
    const auto* route = routes.find_route(out.head.host, out.head.target);
    if (!route)
    {
        return make_refusal(
            refusal_reason::unknown_route,
            core::concat("no route in manifest ", routes.version()));
    }
    const manifest::client_account* account = nullptr;
    if (routes.needs_key(*route))
    {
        account = routes.find_account(out.head.key);
        if (!account)
        {
            return make_refusal(
                out.head.key.empty() ? refusal_reason::missing_key
                                     : refusal_reason::unknown_key,
                core::concat("no such key in manifest ", routes.version()));
        }
    }
    if (out.request_id.empty())
    {
        return make_refusal(
            refusal_reason::malformed_request, "the request has no identifier");
    }
    out.route = route->name;
    out.role = draw_role(*route, *services.random);
    out.repeat = route->repeat;
    out.latency_target = route->latency_target;
    out.pause_target = route->pause_target;
    out.deadline =
        now +
        std::min(route->timeout, out.head.deadline.value_or(route->timeout));
    out.urgency = route->priority;
    out.max_executions = std::max(1U, route->max_attempts);
    if (const auto* role = routes.find_role(out.role))
    {
        out.is_engine = role->is_engine && out.head.has_token_count;
        out.memory_tokens = role->engine.memory_tokens;
    }
    std::set<std::string> account_homes;
    if (account)
    {
        out.account = account->name;
        out.urgency = account->has_priority ? account->priority : out.urgency;
        account_homes = account->homes;
    }
    if (!intersect(route->homes, account_homes, out.allowed_regions))
    {
        auto refused = make_refusal(
            refusal_reason::no_upstream,
            "the homes of route and account have no region in common");
        refused.retry_after = residency_retry_after;
        return refused;
    }
    if (account && account->tokens_per_second > 0)
    {
        const bool by_tokens =
            out.head.has_token_count && !account->counts_requests;
        out.rate_tokens = by_tokens
                              ? out.head.prompt_tokens +
                                    static_cast<double>(out.head.answer_tokens)
                              : account->plain_tokens;
    }
    return out;
}

http::asio::awaitable<std::optional<refusal>>
entry_handler::reserve_rate(request_terms& terms, const http::exchange& it)
{
    auto& services = *services_;
    const auto wanted = terms.rate_tokens;
    if (wanted <= 0)
    {
        co_return std::nullopt;
    }
    auto result =
        services.rates->reserve(terms.account, wanted, services.clock->now());
    double borrowed = 0;
    for (int n = 0; n < max_loans && !result.granted && services.lender; ++n)
    {
        const double missing = wanted - result.credit;
        const auto granted_loan = co_await gateway::await_callback<rate::loan>(
            it.executor(), [&](auto done) {
                services.lender->borrow(
                    terms.account, missing, std::move(done));
            });
        borrowed += granted_loan.tokens;
        result = services.rates->reserve_with_loan(
            terms.account, wanted, granted_loan.tokens, services.clock->now());
        if (!result.granted && granted_loan.tokens < missing)
        {
            result.retry_after =
                std::max(result.retry_after, granted_loan.retry_after);
            break;
        }
    }
    if (!result.granted)
    {
        auto refused = make_refusal(
            refusal_reason::rate_exceeded,
            core::concat(
                "rate of ", terms.account, " is used up: credit ",
                result.credit, ", share ", result.share, ", borrowed ",
                borrowed, ", wanted ", wanted));
        refused.retry_after = result.retry_after;
        co_return refused;
    }
    if (borrowed > 0)
    {
        services.metrics->get_counter("hyssoploft_loans_total").add();
        terms.borrowed_tokens = borrowed;
    }
    terms.reserved = std::move(result.taken);
    co_return std::nullopt;
}

std::optional<refusal>
entry_handler::check_prompt(const request_terms& terms) const
{
    if (!terms.is_engine)
    {
        return std::nullopt;
    }
    const auto decision = services_->guard.check(
        *services_->source->view(), terms.head.parts, terms.arrived);
    return decision.verdict == prompt_verdict::quarantined
               ? std::optional(refuse_prompt(decision))
               : std::nullopt;
}

http::asio::awaitable<void> entry_handler::handle(http::exchange& it)
{
    auto accepted = admit(it);
    auto refused = std::optional<refusal>();
    // Not for a request that is admitted again.
    if (services_->is_draining)
    {
        refused = make_refusal(
            refusal_reason::shutting_down, "this VM takes no new requests");
    }
    else if (const auto* immediate = std::get_if<refusal>(&accepted))
    {
        refused = *immediate;
    }
    else
    {
        auto& terms = std::get<request_terms>(accepted);
        refused = check_prompt(terms);
        if (!refused)
        {
            refused = co_await reserve_rate(terms, it);
        }
    }
    if (refused)
    {
        const auto head = services_->codec->read_call(it.message());
        co_await send_refusal(*services_, it, head.request_id, *refused, false);
        co_return;
    }
    auto terms = std::get<request_terms>(std::move(accepted));
    retry_budget_for(*services_, terms.role).on_request(terms.arrived);
    if (auto* policy = slow_answers_for(*services_, terms.role))
    {
        policy->on_request(terms.arrived);
    }
    const auto run =
        std::make_shared<relay_run>(*services_, it, std::move(terms));
    run->set_readmission([this, &it] {
        return admit(it);
    });
    co_await run->run();
}

http::asio::awaitable<void> peer_handler::handle(http::exchange& it)
{
    const auto text = http::header_value(it.message(), ticket_header);
    const auto ticket = decode_ticket(text, services_->fleet_key);
    if (!ticket.ok())
    {
        co_await send_refusal(
            *services_, it, "",
            make_refusal(
                refusal_reason::envelope_invalid, ticket.status().ToString()),
            true);
        co_return;
    }
    const auto view = services_->source->view();
    if (services_->is_draining || !view->routes)
    {
        co_await send_refusal(
            *services_, it, ticket->request_id,
            make_refusal(
                refusal_reason::shutting_down, "this VM takes no new requests"),
            true);
        co_return;
    }
    request_terms terms;
    terms.head = services_->codec->read_call(it.message());
    terms.request_id = ticket->request_id;
    terms.role = ticket->role;
    terms.account = ticket->account;
    terms.repeat = ticket->is_idempotent ? manifest::repeat_kind::idempotent
                                         : manifest::repeat_kind::at_most_once;
    terms.is_engine = ticket->is_engine;
    terms.ignores_quarantine = ticket->ignores_quarantine;
    if (const auto* role = view->routes->find_role(terms.role))
    {
        terms.memory_tokens = role->engine.memory_tokens;
    }
    terms.latency_target = ticket->latency_target;
    terms.arrived = services_->clock->now();
    terms.deadline = terms.arrived + ticket->time_left;
    terms.urgency = ticket->urgency;
    terms.allowed_regions = {services_->region};
    terms.relayed = true;
    terms.head.last_event_id = ticket->last_event_id;
    co_await std::make_shared<relay_run>(*services_, it, std::move(terms))
        ->run();
}

} // namespace hyssoploft::relay
