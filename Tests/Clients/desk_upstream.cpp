// Stand-in for an upstream of the users' platform: announces itself to a
// control VM and answers every request; a path that ends with "/large" gets
// 1 MiB. It ends by itself.

#include <LibHttp/http_client.hpp>
#include <LibHttp/http_server.hpp>
#include <platform/names.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include <iostream>
#include <string>

ABSL_FLAG(std::string, address, "", "IP:port to listen on");
ABSL_FLAG(std::string, control, "", "IP:port of the control VM");

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using namespace hyssoploft;

constexpr auto beat_interval = 500ms;
constexpr int max_beats = 360;

class desk final : public http::request_handler
{
public:
    asio::awaitable<void> handle(http::exchange& it) override
    {
        const std::string target(it.message().target());
        http::response out(http::bhttp::status::ok, 11);
        out.set(
            platform::names::request_id,
            std::string(
                http::header_value(it.message(), platform::names::request_id)));
        out.set(platform::names::upstream_signature, "s");
        const bool large = target.ends_with("/large");
        out.body() = large ? std::string(1 << 20, 'x') : std::string("ok");
        (void)co_await it.respond(std::move(out));
    }
};

asio::awaitable<void> announce(http::connection_pool& pool)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (int n = 1; n <= max_beats; ++n)
    {
        http::request message(
            http::bhttp::verb::post,
            std::string(platform::names::heartbeat_path) + "i-1", 11);
        message.body() = R"({"service":"desk","address":")" +
                         absl::GetFlag(FLAGS_address) +
                         R"(","zone":"r1-a","version":"v1","slots":64,)"
                         R"("state":"ready","cold-left-ms":0,"seq":)" +
                         std::to_string(n) + "}";
        const auto call = std::make_shared<http::http_call>(pool);
        const auto status = co_await call->start(
            absl::GetFlag(FLAGS_control), std::move(message), false, 1s);
        if (status.ok())
        {
            (void)co_await call->read_all(4096, 1s);
        }
        timer.expires_after(beat_interval);
        boost::system::error_code ec;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    const auto thread = std::make_shared<http::traffic_thread>();
    const auto server = http::http_server::create(
        {absl::GetFlag(FLAGS_address)}, {thread}, std::make_shared<desk>());
    if (!server.ok())
    {
        std::cerr << server.status() << "\n";
        return 2;
    }
    (*server)->start();
    asio::co_spawn(
        thread->context(), announce(thread->pool()), asio::use_future)
        .wait();
    return 0;
}
