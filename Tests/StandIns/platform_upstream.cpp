// Stand-in for an upstream of the users' platform: it sends heartbeats to
// control VMs and answers calls with its signature and the call's identifier,
// whole or as a stream of numbered events. A line of its log names each call.

#include <platform/names.hpp>

#include <LibCore/text.hpp>
#include <LibHttp/http_client.hpp>
#include <LibHttp/http_server.hpp>
#include <StandIns/announcer.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/numbers.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

ABSL_FLAG(std::string, id, "upstream", "Identifier.");
ABSL_FLAG(std::string, address, "", "IP:port to listen on.");
ABSL_FLAG(std::vector<std::string>, control, {}, "Control VMs, IP:port.");
ABSL_FLAG(std::string, data_center, "", "Data centre.");
ABSL_FLAG(std::string, role, "", "Upstream role to announce.");
ABSL_FLAG(int, events, 5, "Events of a stream.");
ABSL_FLAG(bool, heartbeats, true, "Whether to announce itself.");

namespace {

using namespace hyssoploft;
using namespace std::chrono_literals;
namespace asio = http::asio;
namespace json = boost::json;
namespace names = platform::names;

constexpr auto heartbeat_interval = 500ms;
constexpr auto heartbeat_timeout = 1s;
/// Calls to this path are cut off after two events, unless they resume.
constexpr std::string_view cut_path = "/resume/cut";
constexpr int events_before_cut = 2;

class upstream final : public http::request_handler
{
public:
    asio::awaitable<void> handle(http::exchange& it) override
    {
        const auto& message = it.message();
        const std::string target(message.target());
        const std::string id(http::header_value(message, names::request_id));
        const std::string last(
            http::header_value(message, names::last_event_id));
        std::printf(
            "call %s %s id=%s last=%s\n",
            std::string(message.method_string()).c_str(), target.c_str(),
            id.c_str(), last.c_str());
        std::fflush(stdout);
        const bool streams = target.rfind("/stream/", 0) == 0 ||
                             target.rfind("/resume/", 0) == 0;
        if (streams)
        {
            co_await stream(it, id, target, last);
            co_return;
        }
        http::response answer(http::bhttp::status::ok, 11);
        answer.set(names::request_id, id);
        answer.set(names::upstream_signature, absl::GetFlag(FLAGS_id));
        answer.body() = core::concat(
            std::string(message.method_string()), " ", target, " ",
            message.body());
        (void)co_await it.respond(std::move(answer));
    }

private:
    static asio::awaitable<void> stream(
        http::exchange& it, std::string id, std::string target,
        std::string last)
    {
        http::bhttp::response<http::bhttp::empty_body> head(
            http::bhttp::status::ok, 11);
        head.set(names::request_id, id);
        head.set(names::upstream_signature, absl::GetFlag(FLAGS_id));
        head.set("Content-Type", "text/event-stream");
        auto status = co_await it.begin_stream(std::move(head));
        int sent = 0;
        const bool resumes = absl::SimpleAtoi(last, &sent);
        const int end = absl::GetFlag(FLAGS_events);
        for (int n = sent + 1; n <= end && status.ok(); ++n)
        {
            if (target == cut_path && !resumes && n > events_before_cut)
            {
                it.close_after();
                co_return;
            }
            const auto event = core::concat(
                "id: ", n, "\ndata: ", target, " part ", n, "\n\n");
            status = co_await it.write(event);
        }
        if (status.ok())
        {
            (void)co_await it.end_stream();
        }
    }
};

asio::awaitable<void> send_heartbeats(http::traffic_thread& thread)
{
    const auto control = absl::GetFlag(FLAGS_control);
    const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    asio::steady_timer timer(thread.context());
    std::size_t next = 0;
    for (std::uint64_t sequence = 1;; ++sequence)
    {
        json::object body;
        body["service"] = absl::GetFlag(FLAGS_role);
        body["address"] = absl::GetFlag(FLAGS_address);
        body["zone"] = absl::GetFlag(FLAGS_data_center);
        body["version"] = "v1";
        body["slots"] = 16;
        body["state"] = "ready";
        body["cold-left-ms"] = 0;
        body["seq"] = sequence;
        body["born"] = born;
        http::request message(
            http::bhttp::verb::post,
            core::concat(names::heartbeat_path, absl::GetFlag(FLAGS_id)), 11);
        message.set(http::bhttp::field::content_type, "application/json");
        message.body() = json::serialize(body);
        message.prepare_payload();
        const auto call = std::make_shared<http::http_call>(thread.pool());
        const auto& address = control[next % control.size()];
        const auto status = co_await call->start(
            address, std::move(message), false, heartbeat_timeout);
        bool acknowledged = false;
        if (status.ok())
        {
            const auto answer =
                co_await call->read_all(4096, heartbeat_timeout);
            acknowledged = answer.ok() && call->head().result_int() / 100 == 2;
        }
        if (!acknowledged)
        {
            ++next;
        }
        timer.expires_after(heartbeat_interval);
        http::error_code ec;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_control).empty())
    {
        std::fprintf(stderr, "--control is needed\n");
        return 2;
    }
    const auto thread = std::make_shared<http::traffic_thread>();
    auto server = http::http_server::create(
        {absl::GetFlag(FLAGS_address)}, {thread}, std::make_shared<upstream>());
    if (!server.ok())
    {
        std::fprintf(stderr, "%s\n", server.status().ToString().c_str());
        return 1;
    }
    (*server)->start();
    if (absl::GetFlag(FLAGS_heartbeats))
    {
        asio::co_spawn(
            thread->context(), send_heartbeats(*thread), asio::detached);
    }
    tests::wait_for_signal();
    thread->stop();
    return 0;
}
