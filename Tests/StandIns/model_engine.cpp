// Stand-in for a model engine: OpenAI-compatible chat completions, whole and
// streamed, with a batch whose token time grows with its size, a prompt cost
// and faults that tests ask for.

#include <LibHttp/http_server.hpp>
#include <StandIns/announcer.hpp>
#include <StandIns/batch.hpp>

#include <LibGateway/chat_request.hpp>
#include <LibHttp/sse_parser.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>
#include <string>

ABSL_FLAG(std::string, id, "engine", "Identifier.");
ABSL_FLAG(std::string, address, "", "IP:port to listen on.");
ABSL_FLAG(std::vector<std::string>, vms, {}, "VMs to announce to.");
ABSL_FLAG(std::string, region, "", "Region.");
ABSL_FLAG(std::string, data_center, "", "Data centre.");
ABSL_FLAG(std::string, role, "engine", "Role to announce.");
ABSL_FLAG(std::vector<std::string>, models, {"m"}, "Models to announce.");
ABSL_FLAG(std::uint32_t, capacity, 16, "Calls at a time.");
ABSL_FLAG(double, first_token_ms, 1, "Time to the first token.");
ABSL_FLAG(double, token_ms, 1, "Time between tokens of a batch of one.");
ABSL_FLAG(double, batch_slowdown, 0.05, "Added part of it for each call.");
ABSL_FLAG(std::uint32_t, max_tokens, 16, "Tokens of an answer at most.");
ABSL_FLAG(bool, resume, true, "Whether it continues broken answers.");
ABSL_FLAG(
    std::int32_t, break_after, -1,
    "Resets each stream after this many tokens; -1: never.");
ABSL_FLAG(
    std::string, fault, "",
    "mismatched_id, no_end_marker, http_500, overloaded or empty.");

ABSL_FLAG(
    bool, batching, false,
    "Steps of a continuous batch and a prefix cache instead of the times "
    "above; the answer has max_tokens tokens.");
ABSL_FLAG(double, slowness, 1, "Multiplies the length of each step.");
ABSL_FLAG(std::uint32_t, max_queue, 48, "Waiting calls; then 503.");
ABSL_FLAG(std::uint32_t, cache_blocks, 1500, "Blocks of the prefix cache.");
ABSL_FLAG(std::uint32_t, load_lag_ms, 0, "Age of load when it is reported.");
ABSL_FLAG(
    std::vector<std::string>, event_vms, {},
    "VMs that get cache events; they come late and one in six is lost.");

namespace {

using namespace hyssoploft;
namespace asio = http::asio;
namespace json = boost::json;

struct chat
{
    bool stream = false;
    std::uint32_t limit = 0;
    std::uint32_t first = 0; // Tokens that the caller has already.
};

// Each answer is the words "t0 t1 t2 ...": a test sees at once whether a
// token is missing, doubled or out of order.
std::string token_text(std::uint32_t n)
{
    return "t" + std::to_string(n) + " ";
}

chat parse_chat(const std::string& body)
{
    const json::object it = json::parse(body).as_object();
    chat out;
    out.stream = it.contains("stream") && it.at("stream").as_bool();
    out.limit = static_cast<std::uint32_t>(it.at("max_tokens").as_int64());
    if (it.contains("continue_final_message"))
    {
        const auto& messages = it.at("messages").as_array();
        const auto& text =
            messages.back().as_object().at("content").as_string();
        out.first = static_cast<std::uint32_t>(
            std::count(text.begin(), text.end(), ' '));
    }
    return out;
}

class engine final : public http::request_handler
{
public:
    std::shared_ptr<tests::announcer> news;
    std::shared_ptr<tests::batch> steps; // Null without --batching.

    asio::awaitable<void> handle(http::exchange& it) override
    {
        if (it.message().target() == "/stats")
        {
            http::response answer(http::bhttp::status::ok, 11);
            answer.body() = stats();
            (void)co_await it.respond(std::move(answer));
            co_return;
        }
        ++calls_;
        leaked_ = leaked_ || sees_key(it.message());
        report(++running_);
        co_await answer(it);
        report(--running_);
    }

private:
    std::string stats() const
    {
        return json::serialize(json::object{
            {"calls", calls_},
            {"leaked_key", leaked_},
            {"refused", refused_},
            {"prefilled", steps ? steps->prefilled() : 0},
            {"incarnation", news ? news->incarnation() : 0}});
    }

    static bool sees_key(const http::request& message)
    {
        return message.count("authorization") > 0 ||
               message.count("x-api-key") > 0 || message.count("cookie") > 0;
    }

    void report(std::uint32_t running)
    {
        if (news)
        {
            const auto queued = steps ? steps->queued() : 0;
            news->set_load(running - std::min(running, queued), queued);
        }
    }

    asio::awaitable<void> answer(http::exchange& it)
    {
        const auto fault = absl::GetFlag(FLAGS_fault);
        if (fault == "http_500" || fault == "overloaded")
        {
            co_await refuse(
                it, fault == "http_500"
                        ? http::bhttp::status::internal_server_error
                        : http::bhttp::status::service_unavailable);
            co_return;
        }
        if (steps)
        {
            co_await answer_in_steps(it);
            co_return;
        }
        const chat wanted = parse_chat(it.message().body());
        co_await wait_ms(it, absl::GetFlag(FLAGS_first_token_ms));
        if (wanted.stream)
        {
            co_await stream(it, wanted);
            co_return;
        }
        co_await whole(it, wanted);
    }

    static asio::awaitable<void>
    refuse(http::exchange& it, http::bhttp::status status)
    {
        http::response refused(status, 11);
        refused.set("x-request-id", request_id(it));
        (void)co_await it.respond(std::move(refused));
    }

    asio::awaitable<void> answer_in_steps(http::exchange& it)
    {
        const auto request = gateway::chat_request::create(it.message().body());
        if (!request.ok())
        {
            co_await refuse(it, http::bhttp::status::bad_request);
            co_return;
        }
        const auto work = std::make_shared<tests::sequence>(it.executor());
        // NOTE: the hashes equal those of the gateway, as if the engine
        // published the identifiers that the gateway computes.
        work->prefix_hashes = request->prefix_hashes();
        work->prompt_tokens = request->prompt_tokens();
        work->answer_tokens = request->answer_limit();
        const auto body = json::parse(it.message().body());
        const auto* priority = body.as_object().if_contains("priority");
        work->batch_class = priority && priority->to_number<int>() > 0;
        if (!steps->add(work))
        {
            ++refused_;
            co_await refuse(it, http::bhttp::status::service_unavailable);
            co_return;
        }
        it.on_caller_gone([work] {
            work->cancelled = true;
            work->progress.cancel();
        });
        const auto first = parse_chat(it.message().body()).first;
        co_await send_steps(it, *work, request->stream(), first);
        it.on_caller_gone(nullptr);
        work->cancelled = true;
    }

    static asio::awaitable<void> send_steps(
        http::exchange& it, tests::sequence& work, bool stream,
        std::uint32_t first)
    {
        std::uint32_t sent = 0;
        while (sent < work.answer_tokens && !work.cancelled)
        {
            const auto wanted = stream ? sent + 1 : work.answer_tokens;
            if (work.generated < wanted)
            {
                work.progress.expires_after(std::chrono::seconds(60));
                http::error_code ec;
                co_await work.progress.async_wait(
                    asio::redirect_error(asio::use_awaitable, ec));
                continue;
            }
            if (!stream)
            {
                co_await send_whole(it, first, first + work.answer_tokens);
                co_return;
            }
            if (sent == 0)
            {
                co_await send_head(it);
            }
            const auto status = co_await it.write(chunk(first + sent++));
            if (!status.ok())
            {
                co_return;
            }
        }
        if (!work.cancelled)
        {
            (void)co_await it.write(http::to_sse("[DONE]"));
            (void)co_await it.end_stream();
        }
    }

    static std::string request_id(http::exchange& it)
    {
        if (absl::GetFlag(FLAGS_fault) == "mismatched_id")
        {
            return "another-request";
        }
        return std::string(http::header_value(it.message(), "x-request-id"));
    }

    static std::uint32_t end_of(const chat& wanted)
    {
        return wanted.first +
               std::min(
                   wanted.limit,
                   absl::GetFlag(FLAGS_max_tokens) > wanted.first
                       ? absl::GetFlag(FLAGS_max_tokens) - wanted.first
                       : 0);
    }

    asio::awaitable<void> whole(http::exchange& it, const chat& wanted)
    {
        const auto end = end_of(wanted);
        co_await wait_ms(it, token_ms() * (end - wanted.first));
        co_await send_whole(it, wanted.first, end);
    }

    static asio::awaitable<void>
    send_whole(http::exchange& it, std::uint32_t first, std::uint32_t end)
    {
        std::string text;
        for (std::uint32_t n = first; n < end; ++n)
        {
            text += token_text(n);
        }
        http::response answer(http::bhttp::status::ok, 11);
        answer.set("x-request-id", request_id(it));
        answer.set("content-type", "application/json");
        json::object message{{"role", "assistant"}, {"content", text}};
        json::object choice{
            {"index", 0},
            {"message", std::move(message)},
            {"finish_reason", "stop"}};
        answer.body() = json::serialize(json::object{
            {"object", "chat.completion"},
            {"choices", json::array{std::move(choice)}},
            {"system_fingerprint", absl::GetFlag(FLAGS_region)},
            {"usage", {{"completion_tokens", end - first}}}});
        (void)co_await it.respond(std::move(answer));
    }

    // NOTE: g++ 12 can't compile braced lists inside a coroutine's co_await.
    static std::string chunk(std::uint32_t n)
    {
        json::object delta{{"content", token_text(n)}};
        json::object choice{{"index", 0}, {"delta", std::move(delta)}};
        return http::to_sse(json::serialize(json::object{
            {"object", "chat.completion.chunk"},
            {"system_fingerprint", absl::GetFlag(FLAGS_region)},
            {"choices", json::array{std::move(choice)}}}));
    }

    static asio::awaitable<void> send_head(http::exchange& it)
    {
        http::bhttp::response<http::bhttp::empty_body> head(
            http::bhttp::status::ok, 11);
        head.set("x-request-id", request_id(it));
        head.set("content-type", "text/event-stream");
        (void)co_await it.begin_stream(std::move(head));
    }

    asio::awaitable<void> stream(http::exchange& it, const chat& wanted)
    {
        co_await send_head(it);
        const auto end = end_of(wanted);
        const auto break_after = absl::GetFlag(FLAGS_break_after);
        std::int32_t sent = 0;
        for (std::uint32_t n = wanted.first; n < end; ++n)
        {
            if (break_after >= 0 && sent++ >= break_after)
            {
                it.close_after();
                co_return;
            }
            if (n > wanted.first)
            {
                co_await wait_ms(it, token_ms());
            }
            const auto status = co_await it.write(chunk(n));
            if (!status.ok() || it.caller_gone())
            {
                co_return;
            }
        }
        if (absl::GetFlag(FLAGS_fault) != "no_end_marker")
        {
            (void)co_await it.write(http::to_sse("[DONE]"));
        }
        (void)co_await it.end_stream();
    }

    double token_ms() const
    {
        return absl::GetFlag(FLAGS_token_ms) *
               (1 + absl::GetFlag(FLAGS_batch_slowdown) * (running_ - 1));
    }

    static asio::awaitable<void> wait_ms(http::exchange& it, double ms)
    {
        if (ms <= 0)
        {
            co_return;
        }
        asio::steady_timer timer(
            it.executor(),
            std::chrono::microseconds(static_cast<long>(ms * 1000)));
        http::error_code ec;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }

    // One traffic thread: no locks are needed.
    std::uint32_t running_ = 0;
    std::uint64_t calls_ = 0;
    std::uint64_t refused_ = 0; // For load.
    bool leaked_ = false;
};

std::shared_ptr<tests::batch> make_steps(asio::io_context& context)
{
    const double slowness = absl::GetFlag(FLAGS_slowness);
    tests::batch_settings it;
    it.step_ms *= slowness;
    it.sequence_ms *= slowness;
    it.prompt_token_ms *= slowness;
    it.capacity = absl::GetFlag(FLAGS_capacity);
    it.max_queue = absl::GetFlag(FLAGS_max_queue);
    it.cache_blocks = absl::GetFlag(FLAGS_cache_blocks);
    return std::make_shared<tests::batch>(context, it);
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    const auto thread = std::make_shared<http::traffic_thread>();
    const auto handler = std::make_shared<engine>();
    auto server = http::http_server::create(
        {absl::GetFlag(FLAGS_address)}, {thread}, handler);
    if (!server.ok())
    {
        std::fprintf(stderr, "%s\n", server.status().ToString().c_str());
        return 1;
    }
    json::array models;
    for (const auto& it : absl::GetFlag(FLAGS_models))
    {
        models.emplace_back(it);
    }
    json::object record{
        {"id", absl::GetFlag(FLAGS_id)},
        {"address", absl::GetFlag(FLAGS_address)},
        {"role", absl::GetFlag(FLAGS_role)},
        {"region", absl::GetFlag(FLAGS_region)},
        {"data_center", absl::GetFlag(FLAGS_data_center)},
        {"models", std::move(models)},
        {"capacity", absl::GetFlag(FLAGS_capacity)},
        {"capabilities",
         {{"resume", absl::GetFlag(FLAGS_resume)},
          {"cancel", true},
          {"priorities", true}}}};
    if (absl::GetFlag(FLAGS_batching))
    {
        handler->steps = make_steps(thread->context());
    }
    if (!absl::GetFlag(FLAGS_vms).empty())
    {
        handler->news = std::make_shared<tests::announcer>(
            thread, std::move(record), absl::GetFlag(FLAGS_vms));
        handler->news->set_lag(
            std::chrono::milliseconds(absl::GetFlag(FLAGS_load_lag_ms)));
        handler->news->start();
        if (handler->steps && !absl::GetFlag(FLAGS_event_vms).empty())
        {
            handler->news->publish_cache(
                handler->steps, absl::GetFlag(FLAGS_event_vms));
        }
    }
    (*server)->start();
    tests::wait_for_signal();
    if (handler->news)
    {
        handler->news->leave();
    }
    (*server)->drain();
    thread->stop();
    return 0;
}
