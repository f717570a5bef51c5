// Client side of the upstreams' API.

#include <StandIns/announcer.hpp>

#include <LibHttp/http_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include <chrono>
#include <csignal>
#include <utility>

namespace hyssoploft::tests {

namespace {

using namespace std::chrono_literals;
namespace json = boost::json;

std::uint64_t start_milliseconds()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

} // namespace

announcer::announcer(
    std::shared_ptr<http::traffic_thread> thread, json::object record,
    std::vector<std::string> vms)
    : thread_(std::move(thread)), record_(std::move(record)),
      vms_(std::move(vms)), incarnation_(start_milliseconds())
{}

void announcer::start()
{
    http::asio::co_spawn(
        thread_->context(),
        [self = shared_from_this()] {
            return self->run();
        },
        http::asio::detached);
}

http::asio::awaitable<void> announcer::run()
{
    const auto self = shared_from_this();
    http::asio::steady_timer timer(thread_->context());
    for (std::uint64_t round = 0; !leaving_; ++round)
    {
        // Announcements renew the lease every 2 s, load goes out each 0.5 s.
        if (round % 4 == 0)
        {
            json::object it = record_;
            it["incarnation"] = incarnation_;
            it["sequence"] = ++sequence_;
            if (!co_await post("announce", std::move(it)))
            {
                ++next_vm_;
            }
        }
        json::object load{
            {"id", record_.at("id")},
            {"sequence", ++sequence_},
            {"running", running_.load()},
            {"queued", 0},
            {"lag_seconds", 0.0}};
        (void)co_await post("load", std::move(load));
        timer.expires_after(500ms);
        http::error_code ec;
        co_await timer.async_wait(
            http::asio::redirect_error(http::asio::use_awaitable, ec));
    }
}

http::asio::awaitable<bool> announcer::post(std::string path, json::object body)
{
    http::request message(http::bhttp::verb::post, "/upstreams/v1/" + path, 11);
    message.set(http::bhttp::field::content_type, "application/json");
    message.body() = json::serialize(body);
    const auto call = std::make_shared<http::http_call>(thread_->pool());
    const auto status = co_await call->start(
        vms_[next_vm_ % vms_.size()], std::move(message), false, 2s);
    if (!status.ok())
    {
        co_return false;
    }
    const auto answer = co_await call->read_all(4096, 2s);
    co_return answer.ok() && call->head().result_int() == 200;
}

void announcer::leave()
{
    leaving_ = true;
    json::object body{{"id", record_.at("id")}, {"incarnation", incarnation_}};
    http::asio::co_spawn(
        thread_->context(), post("leave", std::move(body)),
        http::asio::use_future)
        .wait_for(2s);
}

void wait_for_signal()
{
    http::asio::io_context context(1);
    http::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([](const http::error_code&, int) {});
    context.run();
}

} // namespace hyssoploft::tests
