// Stand-in for a model engine: OpenAI-compatible chat completions, whole and
// streamed, with a batch whose token time grows with its size, a prompt cost
// and faults that tests ask for.

#include <LibHttp/http_server.hpp>
#include <StandIns/announcer.hpp>

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
            news->set_running(running);
        }
    }

    asio::awaitable<void> answer(http::exchange& it)
    {
        const auto fault = absl::GetFlag(FLAGS_fault);
        if (fault == "http_500" || fault == "overloaded")
        {
            http::response refused(
                fault == "http_500" ? http::bhttp::status::internal_server_error
                                    : http::bhttp::status::service_unavailable,
                11);
            refused.set("x-request-id", request_id(it));
            (void)co_await it.respond(std::move(refused));
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
        std::string text;
        const auto end = end_of(wanted);
        for (std::uint32_t n = wanted.first; n < end; ++n)
        {
            text += token_text(n);
        }
        co_await wait_ms(it, token_ms() * (end - wanted.first));
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
            {"usage", {{"completion_tokens", end - wanted.first}}}});
        (void)co_await it.respond(std::move(answer));
    }

    // NOTE: g++ 12 can't compile braced lists inside a coroutine's co_await.
    static std::string chunk(std::uint32_t n)
    {
        json::object delta{{"content", token_text(n)}};
        json::object choice{{"index", 0}, {"delta", std::move(delta)}};
        return http::to_sse(json::serialize(json::object{
            {"object", "chat.completion.chunk"},
            {"choices", json::array{std::move(choice)}}}));
    }

    asio::awaitable<void> stream(http::exchange& it, const chat& wanted)
    {
        http::bhttp::response<http::bhttp::empty_body> head(
            http::bhttp::status::ok, 11);
        head.set("x-request-id", request_id(it));
        head.set("content-type", "text/event-stream");
        (void)co_await it.begin_stream(std::move(head));
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
    bool leaked_ = false;
};

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
    if (!absl::GetFlag(FLAGS_vms).empty())
    {
        handler->news = std::make_shared<tests::announcer>(
            thread, std::move(record), absl::GetFlag(FLAGS_vms));
        handler->news->start();
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
