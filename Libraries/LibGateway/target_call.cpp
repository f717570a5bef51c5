// Sends one attempt to an upstream or to another VM and records its outcome.

#include <LibGateway/target_call.hpp>

#include <LibCore/text.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::gateway {

namespace {

refusal no_route_refusal(
    const routing::no_route_reason reason, const request_context& context)
{
    using routing::no_route_reason;
    switch (reason)
    {
    case no_route_reason::residency_forbids:
        return make_refusal(
            refusal_reason::residency_forbids,
            "no upstream serves this in a region that the residency rule "
            "allows");
    case no_route_reason::all_ejected_or_full: {
        auto out = make_refusal(
            refusal_reason::upstreams_busy, "no upstream takes work now");
        out.retry_after = std::chrono::seconds(1);
        out.other_vms = vms_in_regions(*context.fleet, context.allowed_regions);
        return out;
    }
    case no_route_reason::link_budget_exhausted: {
        auto out = make_refusal(
            refusal_reason::link_budget_exhausted,
            "the links to other regions are used up");
        out.retry_after = std::chrono::seconds(1);
        return out;
    }
    case no_route_reason::no_upstream:
        break;
    }
    return make_refusal(
        refusal_reason::no_upstream, "no upstream serves this at present");
}

} // namespace

refusal failure_refusal(const retry::call_failure& failure)
{
    const auto ran = failure.state == retry::run_state::not_run
                         ? not_run::yes
                         : not_run::unknown;
    if (failure.kind == retry::failure_kind::timeout)
    {
        return make_refusal(
            refusal_reason::upstream_timeout,
            "the upstream did not answer in time", ran);
    }
    if (failure.kind == retry::failure_kind::upstream_overloaded)
    {
        auto out = make_refusal(
            refusal_reason::upstreams_busy, "the upstream is overloaded", ran);
        out.retry_after = std::chrono::seconds(1);
        return out;
    }
    return make_refusal(
        refusal_reason::upstream_failed,
        core::concat(
            "the call to the upstream failed: ",
            core::name_of(retry::failure_kind_names, failure.kind)),
        ran);
}

target_call::target_call(
    gateway_services& services, const request_context& context,
    http::connection_pool& pool)
    : services_(services), context_(context),
      call_(std::make_shared<http::http_call>(pool))
{}

target_call::~target_call()
{
    if (running_call_id_ != 0)
    {
        services_.calls.remove(running_call_id_);
    }
    if (!chosen_)
    {
        return;
    }
    routing::call_result result;
    result.outcome = outcome();
    result.total = services_.dispatch->now() - start_time_;
    result.first_token = first_token_time_ == core::time_point()
                             ? core::duration()
                             : first_token_time_ - start_time_;
    result.answer_tokens = generated_tokens_;
    result.bytes = call_->bytes();
    services_.dispatch->record_call_result(
        decision_.upstream, routing_, result);
    if (completed_ && result.first_token.count() > 0)
    {
        services_.metrics->get_distribution("hyssoploft_first_token_seconds")
            .record(core::to_seconds(result.first_token));
    }
    write_span();
}

std::optional<refusal>
target_call::choose(const routing::routing_request& request)
{
    routing_ = request;
    routing_.local_only = context_.forwarded;
    // The residency rule may have changed since the request started; retries
    // and resumed streams follow the current one.
    if (!apply_current_residency_rule(
            services_, context_, routing_.allowed_regions))
    {
        return make_refusal(
            refusal_reason::residency_forbids,
            "the residency rule changed while the request ran");
    }
    start_time_ = services_.dispatch->now();
    const auto result = services_.dispatch->choose(routing_);
    if (!result.chosen)
    {
        return no_route_refusal(result.refusal, context_);
    }
    chosen_ = true;
    decision_ = result.decision;
    start_unix_ns_ = services_.dispatch->unix_nanoseconds();
    trace_ = telemetry::child_of(context_.trace, *services_.random);
    attempt_id_ = new_identifier(*services_.random);
    services_.metrics
        ->get_counter(
            "hyssoploft_routing_decisions_total",
            {{"reason", std::string(core::name_of(
                            routing::routing_reason_names, decision_.reason))}})
        .add();
    if (decision_.region != services_.self.region)
    {
        return choose_vm();
    }
    const auto found = context_.fleet->upstreams.find(decision_.upstream);
    const auto newest = services_.control->fleet();
    const auto now_found = newest->upstreams.find(decision_.upstream);
    if (now_found != newest->upstreams.end())
    {
        address_ = now_found->second.address;
    }
    else if (found != context_.fleet->upstreams.end())
    {
        address_ = found->second.address;
    }
    return std::nullopt;
}

std::optional<refusal> target_call::choose_vm()
{
    const auto fleet = services_.control->fleet();
    const auto upstream = fleet->upstreams.find(decision_.upstream);
    routing::forwarding_request request;
    request.region = decision_.region;
    request.data_center = upstream == fleet->upstreams.end()
                              ? std::string()
                              : upstream->second.data_center;
    request.hop_count = context_.hops;
    request.visited = context_.visited;
    const auto result = services_.dispatch->choose_vm(request);
    const auto vm = fleet->vms.find(result.vm);
    if (result.vm.empty() || vm == fleet->vms.end())
    {
        // Nothing was sent, so the router must not record a failure of the
        // upstream.
        cancelled_ = true;
        return make_refusal(
            refusal_reason::no_upstream,
            core::concat(
                "no VM of region \"", decision_.region, "\" is reachable: ",
                core::name_of(
                    routing::forwarding_reason_names, result.reason)));
    }
    via_vm_ = result.vm;
    address_ = vm->second.http_address;
    return std::nullopt;
}

http::asio::awaitable<bool>
target_call::start(http::request message, bool fresh_connection)
{
    message.set("x-request-id", attempt_id_);
    message.set("traceparent", trace_.to_traceparent());
    if (!via_vm_.empty())
    {
        const auto it = make_envelope(
            context_, attempt_id_, message, services_.dispatch->now(),
            services_.dispatch->unix_nanoseconds());
        message.set(
            http::beast::string_view(
                envelope_header.data(), envelope_header.size()),
            sign(it, services_.self.fleet_keys.front()));
    }
    else
    {
        message.set(
            http::beast::string_view(via_header.data(), via_header.size()),
            services_.self.id);
    }
    // The process may have been paused since the call was placed.
    if (services_.dispatch->now() >= context_.deadline)
    {
        expired_ = true;
        co_return false;
    }
    const auto executor = co_await http::asio::this_coro::executor;
    register_running_call(executor);
    const auto status = co_await call_->start(
        address_, std::move(message), fresh_connection, remaining());
    record_transport_status(status);
    if (status.ok())
    {
        record_answer_head();
    }
    co_return !failure().has_value() && !cancelled_;
}

void target_call::register_running_call(
    const http::asio::any_io_executor& executor)
{
    // A call that may not be repeated is not cancelled when its VM is lost: it
    // can't be sent again, so it waits for its answer.
    if (via_vm_.empty() ||
        context_.route.repeat != resource::repeat_rule::idempotent)
    {
        return;
    }
    update_last_byte_time();
    running_call_id_ = services_.calls.add(
        {via_vm_, last_byte_,
         [executor, weak = std::weak_ptr<http::http_call>(call_)] {
             http::asio::post(executor, [weak] {
                 if (const auto call = weak.lock())
                 {
                     call->cancel();
                 }
             });
         }});
}

void target_call::update_last_byte_time()
{
    last_byte_->store(services_.dispatch->now().time_since_epoch().count());
}

void target_call::record_transport_status(const absl::Status& status)
{
    const bool sent = call_->stage() != http::call_stage::connecting;
    seen_.bytes_sent = sent ? std::max<std::uint64_t>(1, call_->bytes()) : 0;
    if (status.ok())
    {
        return;
    }
    if (absl::IsDeadlineExceeded(status))
    {
        seen_.end = retry::transport_end::timeout;
        return;
    }
    seen_.parsed = !absl::IsDataLoss(status) ||
                   call_->stage() == http::call_stage::reading_answer;
    seen_.end =
        sent ? retry::transport_end::reset : retry::transport_end::refused;
}

void target_call::record_answer_head()
{
    update_last_byte_time();
    const auto& it = call_->head();
    seen_.status = static_cast<int>(it.result_int());
    // Detects the answer to another call, delivered here by a fault of the
    // upstream or a proxy.
    seen_.identified = http::header_value(it, "x-request-id") == attempt_id_;
    if (!seen_.identified)
    {
        services_.metrics->get_counter("hyssoploft_mismatched_answers_total")
            .add();
    }
    if (via_vm_.empty())
    {
        return;
    }
    // The statement that a call did not run is accepted only from VMs of the
    // fleet, not from upstreams.
    const auto statement = http::header_value(it, "x-hyssoploft-not-run");
    if (statement == "true")
    {
        seen_.statement = retry::run_statement::not_run;
    }
    else if (statement == "false")
    {
        seen_.statement = retry::run_statement::ran;
    }
    else if (!statement.empty())
    {
        seen_.statement = retry::run_statement::unknown;
    }
}

http::asio::awaitable<std::optional<std::string>> target_call::read_some()
{
    return read_some(std::chrono::nanoseconds::max());
}

http::asio::awaitable<std::optional<std::string>>
target_call::read_some(std::chrono::nanoseconds limit)
{
    auto piece = co_await call_->read_some(std::min(limit, remaining()));
    if (!piece.ok())
    {
        record_transport_status(piece.status());
        co_return std::nullopt;
    }
    update_last_byte_time();
    seen_.body_started = true;
    co_return *std::move(piece);
}

http::asio::awaitable<std::optional<std::string>> target_call::read_all()
{
    auto body =
        co_await call_->read_all(http::max_answer_body_bytes, remaining());
    if (!body.ok())
    {
        too_large_ = absl::IsResourceExhausted(body.status());
        record_transport_status(body.status());
        co_return std::nullopt;
    }
    co_return *std::move(body);
}

void target_call::report_first_token()
{
    if (first_token_time_ != core::time_point())
    {
        return;
    }
    first_token_time_ = services_.dispatch->now();
    services_.dispatch->record_first_token(
        decision_.upstream, routing_, first_token_time_ - start_time_);
}

void target_call::set_malformed()
{
    seen_.parsed = false;
}

void target_call::set_completed(std::uint32_t tokens)
{
    generated_tokens_ = tokens;
    completed_ = true;
}

void target_call::cancel()
{
    cancelled_ = true;
    call_->cancel();
}

std::optional<retry::call_failure> target_call::failure() const
{
    if (expired_)
    {
        return retry::call_failure{
            retry::failure_kind::timeout, retry::run_state::not_run, false};
    }
    const bool whole =
        seen_.end == retry::transport_end::whole && seen_.identified;
    if (whole && seen_.statement == retry::run_statement::not_run)
    {
        // The other VM refused the call, whatever the status: this is neither
        // an answer of the upstream nor its fault.
        return retry::call_failure{
            seen_.status == 429 || seen_.status == 503
                ? retry::failure_kind::upstream_overloaded
                : retry::failure_kind::upstream_error,
            retry::run_state::not_run, false};
    }
    return retry::classify(seen_);
}

std::chrono::nanoseconds target_call::remaining() const
{
    return std::max<core::duration>(
        std::chrono::milliseconds(1),
        context_.deadline - services_.dispatch->now());
}

routing::call_outcome target_call::outcome() const
{
    if (completed_)
    {
        return routing::call_outcome::completed;
    }
    if (cancelled_ || expired_)
    {
        return routing::call_outcome::cancelled;
    }
    const auto failed = failure();
    if (failed && !failed->upstream_fault)
    {
        return routing::call_outcome::rejected_for_load;
    }
    return routing::call_outcome::failed;
}

void target_call::write_span()
{
    telemetry::span it;
    it.context = trace_;
    it.parent_span_id = context_.trace.span_id;
    it.name = via_vm_.empty() ? "upstream call" : "forward";
    it.kind = telemetry::span_kind::client;
    it.start_unix_ns = start_unix_ns_;
    it.end_unix_ns = services_.dispatch->unix_nanoseconds();
    it.error = !completed_ && !cancelled_;
    it.attributes = {
        {"upstream", decision_.upstream},
        {"region", decision_.region},
        {"routing.reason",
         std::string(
             core::name_of(routing::routing_reason_names, decision_.reason))},
        {"call.stage",
         std::string(core::name_of(http::call_stage_names, call_->stage()))},
        {"tokens", std::to_string(generated_tokens_)}};
    if (!via_vm_.empty())
    {
        it.attributes.emplace_back("via_vm", via_vm_);
    }
    services_.spans->finished(std::move(it));
}

} // namespace hyssoploft::gateway
