// Runs a chat completion.

#include <LibGateway/inference_run.hpp>

#include <LibCore/text.hpp>
#include <LibHttp/header_policy.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::gateway {

namespace {

namespace json = boost::json;

/// Time limit for reading the end of a stream's body after its end marker.
constexpr std::chrono::milliseconds end_of_body_timeout{100};

// Number of generated tokens that an answer reports in `usage`. 0 without a
// valid number, nothing if the body is not a chat completion.
std::optional<std::uint32_t> completion_tokens(const std::string& body)
{
    boost::system::error_code ec;
    const json::value parsed = json::parse(body, ec);
    if (ec || !parsed.is_object() || !parsed.get_object().contains("choices"))
    {
        return std::nullopt;
    }
    const auto* usage = parsed.get_object().if_contains("usage");
    const auto* object = usage ? usage->if_object() : nullptr;
    const auto* tokens =
        object ? object->if_contains("completion_tokens") : nullptr;
    const bool valid = tokens && tokens->is_int64() && tokens->get_int64() >= 0;
    return valid ? static_cast<std::uint32_t>(tokens->get_int64()) : 0;
}

} // namespace

inference_run::inference_run(
    gateway_services& services, http::exchange& caller, request_context context,
    chat_request request)
    : services_(services), caller_(caller), context_(std::move(context)),
      request_(std::move(request))
{}

http::asio::awaitable<void> inference_run::run()
{
    const auto self = shared_from_this();
    if (auto refused = reserve())
    {
        co_await refuse(*std::move(refused));
        co_return;
    }
    admission::waiting_request waiting;
    waiting.account = context_.caller.account;
    waiting.weight = context_.weight;
    waiting.cost_tokens = request_.prompt_tokens() + request_.answer_limit();
    waiting.interactive =
        context_.route.priority == resource::priority_class::interactive;
    waiting.deadline = context_.deadline;
    auto refused = co_await services_.dispatch->admit(
        caller_, std::move(waiting), context_.route.name, ticket_);
    if (refused)
    {
        settle();
        co_await refuse(*std::move(refused));
        co_return;
    }
    admitted_ = true;
    services_.dispatch->count_request();
    register_cancellation();
    co_await run_attempts();
    services_.active.remove(active_request_id_);
    caller_.on_caller_gone(nullptr);
    settle();
    write_span();
}

std::optional<refusal> inference_run::reserve()
{
    // A forwarded request was charged at the entry VM; open routes are not
    // charged.
    if (context_.forwarded || context_.route.open)
    {
        return std::nullopt;
    }
    const double wanted = request_.prompt_tokens() + request_.answer_limit();
    const auto& rates = context_.configuration->rates;
    const auto declared = rates.find(context_.caller.account);
    if (declared != rates.end() && wanted > declared->second.burst_tokens)
    {
        return make_refusal(
            refusal_reason::request_exceeds_burst,
            core::concat(
                "prompt and answer limit are ", wanted,
                " tokens, the account's burst is ",
                declared->second.burst_tokens));
    }
    const auto result =
        services_.dispatch->reserve(context_.caller.account, wanted);
    if (!result.granted)
    {
        auto out = make_refusal(
            refusal_reason::rate_exceeded,
            "the account's rate is used up at this VM");
        out.retry_after = result.retry_after;
        out.other_vms =
            vms_in_regions(*context_.fleet, context_.allowed_regions);
        return out;
    }
    reservation_ = result.taken;
    return std::nullopt;
}

void inference_run::register_cancellation()
{
    caller_.on_caller_gone([this] {
        if (current_call_)
        {
            current_call_->cancel();
        }
    });
    if (context_.caller.key_digest.empty())
    {
        return;
    }
    active_request_id_ = services_.active.add(
        context_.caller.key_digest,
        [weak = weak_from_this(), executor = caller_.executor()] {
            http::asio::post(executor, [weak] {
                const auto self = weak.lock();
                if (!self)
                {
                    return;
                }
                self->key_withdrawn_ = true;
                if (self->current_call_)
                {
                    self->current_call_->cancel();
                }
            });
        });
    // The key may have been withdrawn while the request waited.
    key_withdrawn_ =
        is_withdrawn(*services_.control, context_.caller.key_digest);
}

http::asio::awaitable<void> inference_run::run_attempts()
{
    for (;;)
    {
        // The caller may disconnect, or its key be withdrawn, while no call
        // runs; the handlers of register_cancellation() then had nothing to
        // cancel.
        if (caller_.caller_gone())
        {
            co_return;
        }
        if (key_withdrawn_)
        {
            co_await end_with_error();
            co_return;
        }
        ++attempt_count_;
        const auto end = co_await run_attempt();
        answered_ = end == attempt_result::answered;
        if (answered_ || caller_.caller_gone())
        {
            co_return;
        }
        const bool stop = end == attempt_result::stopped || key_withdrawn_;
        if (stop || !co_await prepare_retry())
        {
            co_await end_with_error();
            co_return;
        }
    }
}

http::asio::awaitable<inference_run::attempt_result>
inference_run::run_attempt()
{
    target_call call(services_, context_, caller_.pool());
    if (auto refused = call.choose(make_routing_request()))
    {
        // The failure of an earlier attempt is the more useful reason.
        if (!failure_)
        {
            refused_ = std::move(refused);
        }
        co_return attempt_result::stopped;
    }
    current_call_ = &call;
    attempt_result end = attempt_result::call_failed;
    if (co_await call.start(make_upstream_message(), false))
    {
        const bool is_stream =
            request_.stream() && call.head().result_int() == 200;
        // NOTE: g++ 12 miscompiles co_await inside a conditional operator.
        if (is_stream)
        {
            end = co_await relay_stream(call);
        }
        else
        {
            end = co_await relay_complete_answer(call);
        }
    }
    current_call_ = nullptr;
    if (call.is_cancelled())
    {
        co_return attempt_result::stopped;
    }
    if (end == attempt_result::call_failed)
    {
        failure_ = call.failure();
        may_have_run_ |=
            !failure_ || failure_->state == retry::run_state::may_have_run;
        upstream_overloaded_ |=
            failure_ &&
            failure_->kind == retry::failure_kind::upstream_overloaded;
        excluded_upstreams_.insert(call.upstream());
    }
    co_return end;
}

http::asio::awaitable<inference_run::attempt_result>
inference_run::relay_complete_answer(target_call& call)
{
    call.report_first_token();
    auto body = co_await call.read_all();
    if (!body)
    {
        if (call.is_too_large())
        {
            refused_ = make_refusal(
                refusal_reason::answer_too_large,
                "the upstream's answer exceeds the size limit");
            co_return attempt_result::stopped;
        }
        co_return attempt_result::call_failed;
    }
    const auto tokens = completion_tokens(*body);
    if (call.head().result_int() == 200 && !tokens)
    {
        call.set_malformed();
        co_return attempt_result::call_failed;
    }
    generated_tokens_ += tokens.value_or(0);
    call.set_completed(tokens.value_or(0));
    http::response answer;
    http::set_status(answer, call.head().result_int());
    http::copy_response_headers(call.head(), answer.base());
    answer.set("x-request-id", context_.request_id);
    answer.body() = *std::move(body);
    (void)co_await caller_.respond(std::move(answer));
    co_return attempt_result::answered;
}

http::asio::awaitable<inference_run::attempt_result>
inference_run::relay_stream(target_call& call)
{
    const std::uint32_t before = stream_.generated_tokens();
    while (!stream_.is_done())
    {
        const auto piece = co_await call.read_some();
        const bool ended = !piece || piece->empty();
        const std::string out = ended ? std::string() : stream_.feed(*piece);
        if (!out.empty())
        {
            call.report_first_token();
            // The head is sent with the first event: until then the request
            // can be retried at another upstream.
            if (!caller_.answer_started() && !co_await send_answer_head(call))
            {
                call.cancel();
                co_return attempt_result::stopped;
            }
            if (!(co_await caller_.write(out)).ok())
            {
                call.cancel();
                co_return attempt_result::stopped;
            }
        }
        if (ended || stream_.is_malformed())
        {
            if (!call.failure())
            {
                call.set_malformed();
            }
            co_return attempt_result::call_failed;
        }
    }
    call.set_completed(stream_.generated_tokens() - before);
    (void)co_await caller_.end_stream();
    // Reads the end of the body so that the connection can be reused. The
    // time limit covers an upstream that leaves the body open.
    (void)co_await call.read_some(end_of_body_timeout);
    co_return attempt_result::answered;
}

http::asio::awaitable<bool>
inference_run::send_answer_head(const target_call& call)
{
    http::bhttp::response<http::bhttp::empty_body> head(
        http::bhttp::status::ok, 11);
    http::copy_response_headers(call.head(), head.base());
    head.set("x-request-id", context_.request_id);
    co_return (co_await caller_.begin_stream(std::move(head))).ok();
}

http::asio::awaitable<bool> inference_run::prepare_retry()
{
    const bool started = caller_.answer_started();
    if (started && !stream_.on_upstream_failure())
    {
        co_return false;
    }
    if (!failure_)
    {
        co_return false;
    }
    retry::failed_call failed;
    failed.kind = failure_->kind;
    failed.state = failure_->state;
    failed.idempotent = true;
    // A resumed stream continues after the delivered text, so the retry
    // policy sees a request whose answer has not started.
    failed.answer_started = false;
    failed.attempts = attempt_count_;
    failed.deadline = context_.deadline;
    const auto decision = services_.dispatch->decide_retry(failed);
    services_.metrics
        ->get_counter(
            "hyssoploft_retry_decisions_total",
            {{"reason", std::string(core::name_of(
                            retry::retry_reason_names, decision.reason))}})
        .add();
    if (!decision.allowed())
    {
        co_return false;
    }
    if (started)
    {
        exclude_non_resumable_upstreams();
        stream_.resume();
        services_.metrics->get_counter("hyssoploft_streams_resumed_total")
            .add();
    }
    else
    {
        // Discards a partial event of the failed attempt.
        stream_ = chat_stream();
    }
    http::asio::steady_timer timer(caller_.executor(), decision.backoff);
    http::error_code ec;
    co_await timer.async_wait(
        http::asio::redirect_error(http::asio::use_awaitable, ec));
    co_return !caller_.caller_gone() && !key_withdrawn_;
}

void inference_run::exclude_non_resumable_upstreams()
{
    const auto fleet = services_.control->fleet();
    for (const auto& [id, it] : fleet->upstreams)
    {
        if (!it.capabilities.resume)
        {
            excluded_upstreams_.insert(id);
        }
    }
}

routing::routing_request inference_run::make_routing_request() const
{
    routing::routing_request out;
    out.account = context_.caller.account;
    out.model = request_.model();
    out.adapter = request_.adapter();
    out.role = context_.route.upstream_role;
    out.prompt_tokens = request_.prompt_tokens();
    out.answer_limit = request_.answer_limit();
    out.prefix_hashes = request_.prefix_hashes();
    out.allowed_regions = context_.allowed_regions;
    out.excluded = excluded_upstreams_;
    out.priority = context_.route.priority;
    out.remote_price_seconds = context_.route.remote_price_seconds;
    return out;
}

http::request inference_run::make_upstream_message() const
{
    http::request out(http::bhttp::verb::post, "/v1/chat/completions", 11);
    http::copy_request_headers(caller_.message(), out);
    out.set(http::bhttp::field::content_type, "application/json");
    const auto priority = context_.route.priority;
    out.body() =
        stream_.delivered().empty()
            ? request_.upstream_body(priority)
            : request_.continued_body(
                  priority, stream_.delivered(), stream_.progress().tokens);
    return out;
}

http::asio::awaitable<void> inference_run::end_with_error()
{
    if (key_withdrawn_)
    {
        refused_ = make_refusal(
            refusal_reason::withdrawn_key,
            "the key was withdrawn while the request ran",
            caller_.answer_started() ? not_run::no
            : attempt_count_ == 0    ? not_run::yes
                                     : not_run::unknown);
    }
    else if (!refused_)
    {
        refused_ = failure_ ? failure_refusal(*failure_)
                            : make_refusal(
                                  refusal_reason::upstream_failed,
                                  "the upstream failed");
        // The last attempt did not run, but an earlier one may have.
        if (may_have_run_ && refused_->ran == not_run::yes)
        {
            refused_->ran = not_run::unknown;
        }
    }
    if (!caller_.answer_started())
    {
        co_await refuse(*refused_);
        co_return;
    }
    if (!key_withdrawn_)
    {
        refused_ =
            make_refusal(refusal_reason::stream_broken, stream_.describe());
    }
    // Sends an error event and closes the connection without the final chunk,
    // so that clients detect the truncated stream both in the events and in
    // the chunked encoding.
    (void)co_await caller_.write(http::to_sse(to_json(*refused_), "error"));
    caller_.close_after();
}

http::asio::awaitable<void> inference_run::refuse(refusal it)
{
    refused_ = it;
    auto answer = to_response(it);
    answer.set("x-request-id", context_.request_id);
    (void)co_await caller_.respond(std::move(answer));
    if (!admitted_)
    {
        write_span();
    }
}

void inference_run::settle()
{
    generated_tokens_ = std::max(generated_tokens_, stream_.generated_tokens());
    if (reservation_)
    {
        const bool ran = admitted_ && (answered_ || generated_tokens_ > 0);
        const double used =
            ran ? request_.prompt_tokens() + generated_tokens_ : 0;
        services_.dispatch->settle(*reservation_, used);
        reservation_.reset();
    }
    if (admitted_)
    {
        services_.dispatch->finish_request(
            ticket_, context_.route.name,
            request_.prompt_tokens() + generated_tokens_, upstream_overloaded_);
    }
}

void inference_run::write_span() const
{
    const std::string result =
        refused_ ? std::string(rule_of(refused_->reason).name)
                 : std::string(answered_ ? "answered" : "caller_gone");
    record_request(
        services_, context_,
        {"inference", result, refused_.has_value(), attempt_count_,
         generated_tokens_});
}

} // namespace hyssoploft::gateway
