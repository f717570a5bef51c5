// Calls of plain services: retries of idempotent ones, and ledger records and
// replayed answers for the others.

#include <LibGateway/service_run.hpp>

#include <LibCore/keyed_hash.hpp>
#include <LibCore/text.hpp>
#include <LibGateway/await_callback.hpp>
#include <LibHttp/header_policy.hpp>

#include <glog/logging.h>

#include <utility>

namespace hyssoploft::gateway {

namespace {

constexpr std::size_t max_idempotency_key_bytes = 255;
constexpr std::size_t bytes_per_token = 4;
/// Time between polls of a record whose call another attempt runs.
constexpr std::chrono::milliseconds record_poll_interval{200};

ledger::stored_answer to_stored_answer(const http::response& answer)
{
    ledger::stored_answer out;
    out.status = answer.result_int();
    for (const auto& field : answer)
    {
        out.headers.emplace_back(
            std::string(field.name_string()), std::string(field.value()));
    }
    out.body = answer.body();
    return out;
}

http::response from_stored_answer(const ledger::stored_answer& stored)
{
    http::response out;
    http::set_status(out, stored.status);
    for (const auto& [name, value] : stored.headers)
    {
        out.set(name, value);
    }
    out.body() = stored.body;
    return out;
}

refusal refusal_of(ledger::begin_outcome outcome)
{
    switch (outcome)
    {
    case ledger::begin_outcome::body_mismatch:
        return make_refusal(
            refusal_reason::idempotency_key_reuse,
            "another body was sent under this Idempotency-Key");
    case ledger::begin_outcome::in_progress: {
        auto out = make_refusal(
            refusal_reason::order_in_progress,
            "the call runs; ask again under the same Idempotency-Key");
        out.retry_after = std::chrono::seconds(1);
        return out;
    }
    case ledger::begin_outcome::ledger_full:
        return make_refusal(
            refusal_reason::ledger_full, "no room for another record");
    case ledger::begin_outcome::created:
    case ledger::begin_outcome::finished:
    case ledger::begin_outcome::unknown:
        break;
    }
    return make_refusal(
        refusal_reason::result_unknown,
        "the call began and its result can't be known; it is never sent "
        "again under this Idempotency-Key");
}

} // namespace

service_run::service_run(
    gateway_services& services, http::exchange& caller, request_context context)
    : services_(services), caller_(caller), context_(std::move(context))
{}

bool service_run::is_repeatable() const
{
    return context_.route.repeat == resource::repeat_rule::idempotent;
}

double service_run::cost_tokens() const
{
    const std::size_t tokens =
        caller_.message().body().size() / bytes_per_token;
    return 1.0 + static_cast<double>(tokens);
}

std::optional<refusal> service_run::reserve()
{
    if (context_.forwarded || context_.route.open)
    {
        return std::nullopt;
    }
    const auto result =
        services_.dispatch->reserve(context_.caller.account, cost_tokens());
    if (result.granted)
    {
        reservation_ = result.taken;
        return std::nullopt;
    }
    auto out = make_refusal(
        refusal_reason::rate_exceeded,
        "the account's rate is used up at this VM");
    out.retry_after = result.retry_after;
    out.other_vms = vms_in_regions(*context_.fleet, context_.allowed_regions);
    return out;
}

http::asio::awaitable<void> service_run::run()
{
    const auto self = shared_from_this();
    if (auto refused = reserve())
    {
        co_await refuse(*std::move(refused));
        write_span();
        co_return;
    }
    admission::waiting_request waiting;
    waiting.account = context_.caller.account;
    waiting.weight = context_.weight;
    waiting.cost_tokens = cost_tokens();
    waiting.interactive =
        context_.route.priority == resource::priority_class::interactive;
    waiting.deadline = context_.deadline;
    auto refused = co_await services_.dispatch->admit(
        caller_, std::move(waiting), context_.route.name, ticket_);
    if (refused)
    {
        settle(false);
        co_await refuse(*std::move(refused));
        write_span();
        co_return;
    }
    services_.dispatch->count_request();
    const auto& digest = context_.caller.key_digest;
    if (!digest.empty() && is_withdrawn(*services_.control, digest))
    {
        co_await refuse(make_refusal(
            refusal_reason::withdrawn_key,
            "the key was withdrawn while the request waited"));
    }
    else if (is_repeatable() || context_.forwarded)
    {
        // The record of a forwarded call is written by its entry VM.
        // A call that may not be repeated continues after its caller
        // disconnects, so that the result is recorded for the caller's retry.
        if (is_repeatable())
        {
            caller_.on_caller_gone([this] {
                if (current_call_)
                {
                    current_call_->cancel();
                }
            });
        }
        co_await send_result(co_await call_upstreams());
        caller_.on_caller_gone(nullptr);
    }
    else
    {
        co_await run_at_most_once();
    }
    settle(sent_status_ != 0 && !replayed_);
    services_.dispatch->finish_request(
        ticket_, context_.route.name, cost_tokens(), upstream_overloaded_);
    write_span();
}

ledger::begin_request
service_run::make_begin_request(std::string_view key) const
{
    const auto& it = caller_.message();
    ledger::begin_request out;
    out.id.account = context_.caller.account;
    out.id.route = context_.route.name;
    out.id.key_digest = core::to_hex(core::sha256(key));
    out.body_digest = core::to_hex(core::sha256(core::concat(
        std::string_view(it.method_string().data(), it.method_string().size()),
        "\n", http::strip_credentials(it.target()), "\n", it.body())));
    out.attempt = new_identifier(*services_.random);
    out.owner_vm = services_.self.id;
    out.region = services_.self.region;
    out.deadline = context_.deadline - services_.dispatch->now();
    out.record_lifetime = context_.route.record_lifetime;
    return out;
}

http::asio::awaitable<void> service_run::run_at_most_once()
{
    const auto key = http::header_value(caller_.message(), "idempotency-key");
    if (key.empty() || key.size() > max_idempotency_key_bytes)
    {
        co_await refuse(make_refusal(
            refusal_reason::idempotency_key_missing,
            "this route needs an Idempotency-Key of 1 to 255 bytes"));
        co_return;
    }
    const auto request = make_begin_request(key);
    for (;;)
    {
        std::optional<refusal> refused;
        const auto record = co_await begin_record(request, refused);
        if (refused)
        {
            co_await refuse(*std::move(refused));
            co_return;
        }
        if (record.outcome == ledger::begin_outcome::created)
        {
            co_await run_new_record(request);
            co_return;
        }
        if (record.outcome == ledger::begin_outcome::finished)
        {
            co_await replay_answer(request, record);
            co_return;
        }
        const bool wait =
            record.outcome == ledger::begin_outcome::in_progress &&
            services_.dispatch->now() + record_poll_interval <
                context_.deadline &&
            !caller_.caller_gone();
        if (!wait)
        {
            co_await refuse(refusal_of(record.outcome));
            co_return;
        }
        co_await sleep_for(record_poll_interval);
    }
}

http::asio::awaitable<ledger::begin_result> service_run::begin_record(
    const ledger::begin_request& request, std::optional<refusal>& out)
{
    using result = std::pair<absl::Status, ledger::begin_result>;
    auto [status, record] =
        co_await await_callback<result>(caller_.executor(), [&](auto done) {
            services_.ledger->begin(
                request, [done](absl::Status ok, ledger::begin_result it) {
                    done({std::move(ok), std::move(it)});
                });
        });
    if (!status.ok())
    {
        // This attempt has sent nothing to an upstream and never will.
        services_.ledger->abandon(request);
        out = make_refusal(
            refusal_reason::no_quorum,
            "the record of the call could not be committed");
        out->retry_after = std::chrono::seconds(1);
    }
    co_return record;
}

http::asio::awaitable<void> service_run::replay_answer(
    const ledger::begin_request& request, ledger::begin_result record)
{
    using result = std::pair<absl::Status, ledger::stored_answer>;
    auto [status, stored] =
        co_await await_callback<result>(caller_.executor(), [&](auto done) {
            services_.ledger->fetch_answer(
                request.id, record,
                [done](absl::Status ok, ledger::stored_answer it) {
                    done({std::move(ok), std::move(it)});
                });
        });
    replayed_ = true;
    if (!status.ok())
    {
        co_await refuse(make_refusal(
            refusal_reason::answer_not_stored,
            "the call ran once; its answer is not available"));
        co_return;
    }
    call_result end;
    end.answer = from_stored_answer(stored);
    end.answer->set("x-hyssoploft-replayed", "true");
    co_await send_result(std::move(end));
}

http::asio::awaitable<void>
service_run::run_new_record(ledger::begin_request request)
{
    auto end = co_await call_upstreams();
    if (end.answer)
    {
        const auto stored = to_stored_answer(*end.answer);
        const auto status = co_await await_callback<absl::Status>(
            caller_.executor(), [&](auto done) {
                services_.ledger->finish(request, stored, done);
            });
        if (!status.ok())
        {
            // The caller still receives this answer; a later request under
            // the same Idempotency-Key is refused with result_unknown.
            LOG(WARNING) << "order_record_not_finished route="
                         << context_.route.name << " error=\""
                         << status.ToString() << "\"";
        }
    }
    else if (end.refused && end.refused->ran == not_run::yes)
    {
        services_.ledger->abandon(request);
    }
    else if (end.refused && end.refused->ran == not_run::unknown)
    {
        end.refused = refusal_of(ledger::begin_outcome::unknown);
    }
    co_await send_result(std::move(end));
}

http::asio::awaitable<service_run::call_result> service_run::call_upstreams()
{
    call_result out;
    for (;;)
    {
        // The caller may disconnect before the first attempt or between two
        // attempts, when there is no call to cancel.
        if (is_repeatable() && caller_.caller_gone())
        {
            out.refused = make_refusal(
                refusal_reason::upstream_failed, "the caller went away");
            co_return out;
        }
        ++attempt_count_;
        target_call call(services_, context_, caller_.pool());
        routing::routing_request routing;
        routing.account = context_.caller.account;
        routing.role = context_.route.upstream_role;
        routing.prompt_tokens = static_cast<std::uint32_t>(cost_tokens());
        routing.allowed_regions = context_.allowed_regions;
        routing.excluded = excluded_upstreams_;
        routing.priority = context_.route.priority;
        routing.remote_price_seconds = context_.route.remote_price_seconds;
        if (auto refused = call.choose(routing))
        {
            if (!out.refused)
            {
                out.refused = std::move(refused);
            }
            co_return out;
        }
        current_call_ = &call;
        // A call that may not be repeated gets a fresh connection: if a reused
        // one breaks during the request, it is unknown whether the call ran.
        const bool started =
            co_await call.start(make_upstream_message(), !is_repeatable());
        if (started)
        {
            call.report_first_token();
            auto body = co_await call.read_all();
            if (body)
            {
                call.set_completed(0);
                out.refused.reset();
                out.answer.emplace();
                http::set_status(*out.answer, call.head().result_int());
                http::copy_response_headers(call.head(), out.answer->base());
                out.answer->body() = *std::move(body);
                current_call_ = nullptr;
                co_return out;
            }
        }
        current_call_ = nullptr;
        const auto failure = call.failure();
        if (call.is_too_large())
        {
            out.refused = make_refusal(
                refusal_reason::answer_too_large,
                "the upstream's answer exceeds the size limit");
            co_return out;
        }
        if (call.is_cancelled() || !failure)
        {
            out.refused = make_refusal(
                refusal_reason::upstream_failed, "the caller went away");
            co_return out;
        }
        upstream_overloaded_ |=
            failure->kind == retry::failure_kind::upstream_overloaded;
        excluded_upstreams_.insert(call.upstream());
        out.refused = failure_refusal(*failure);
        // The last attempt may not have run, but an earlier one may have.
        may_have_run_ |= failure->state == retry::run_state::may_have_run;
        if (may_have_run_ && out.refused->ran == not_run::yes)
        {
            out.refused->ran = not_run::unknown;
        }
        if (!co_await wait_for_retry(*failure))
        {
            co_return out;
        }
    }
}

http::asio::awaitable<bool>
service_run::wait_for_retry(const retry::call_failure& failure)
{
    retry::failed_call failed;
    failed.kind = failure.kind;
    failed.state = failure.state;
    failed.idempotent = is_repeatable();
    failed.attempts = attempt_count_;
    failed.deadline = context_.deadline;
    const auto decision = services_.dispatch->decide_retry(failed);
    if (!decision.allowed())
    {
        co_return false;
    }
    co_await sleep_for(decision.backoff);
    co_return true;
}

http::asio::awaitable<void> service_run::sleep_for(core::duration d)
{
    http::asio::steady_timer timer(caller_.executor(), d);
    http::error_code ec;
    co_await timer.async_wait(
        http::asio::redirect_error(http::asio::use_awaitable, ec));
}

http::request service_run::make_upstream_message() const
{
    const auto& from = caller_.message();
    http::request out;
    // The text: an enumerated method is lost if it has no registered name.
    out.method_string(from.method_string());
    out.target(
        http::strip_credentials({from.target().data(), from.target().size()}));
    http::copy_request_headers(from, out);
    out.body() = from.body();
    return out;
}

http::asio::awaitable<void> service_run::send_result(call_result end)
{
    if (!end.answer)
    {
        co_await refuse(*std::move(end.refused));
        co_return;
    }
    end.answer->set("x-request-id", context_.request_id);
    sent_status_ = end.answer->result_int();
    (void)co_await caller_.respond(*std::move(end.answer));
}

http::asio::awaitable<void> service_run::refuse(refusal it)
{
    refused_ = it;
    auto answer = to_response(it);
    answer.set("x-request-id", context_.request_id);
    (void)co_await caller_.respond(std::move(answer));
}

void service_run::settle(bool ran)
{
    if (reservation_)
    {
        services_.dispatch->settle(*reservation_, ran ? cost_tokens() : 0);
        reservation_.reset();
    }
}

void service_run::write_span() const
{
    const std::string result =
        refused_ ? std::string(rule_of(refused_->reason).name)
                 : std::string(replayed_ ? "replayed" : "answered");
    record_request(
        services_, context_,
        {"service", result, refused_.has_value(), attempt_count_, 0});
}

} // namespace hyssoploft::gateway
