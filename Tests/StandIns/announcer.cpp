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
#include <cinttypes>
#include <csignal>
#include <cstdio>
#include <random>
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

// Hashes as the API has them: hexadecimal text.
json::array to_text(const std::vector<std::uint64_t>& hashes)
{
    json::array out;
    for (const auto hash : hashes)
    {
        char text[17];
        std::snprintf(text, sizeof text, "%" PRIx64, hash);
        out.emplace_back(text);
    }
    return out;
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
        (void)co_await post("load", lagged_load());
        timer.expires_after(500ms);
        http::error_code ec;
        co_await timer.async_wait(
            http::asio::redirect_error(http::asio::use_awaitable, ec));
    }
}

json::object announcer::lagged_load()
{
    const auto now = std::chrono::steady_clock::now();
    samples_.push_back({now, running_, queued_});
    // The newest sample that is at least lag_ old.
    while (samples_.size() > 1 && samples_[1].time + lag_ <= now)
    {
        samples_.pop_front();
    }
    const load_sample& it = samples_.front();
    const std::chrono::duration<double> age = now - it.time;
    return {
        {"id", record_.at("id")},
        {"sequence", ++sequence_},
        {"running", it.running},
        {"queued", it.queued},
        {"lag_seconds", age.count()}};
}

void announcer::publish_cache(
    std::shared_ptr<batch> steps, std::vector<std::string> vms)
{
    http::asio::co_spawn(
        thread_->context(),
        [self = shared_from_this(), steps, vms] {
            return self->run_cache(steps, vms);
        },
        http::asio::detached);
}

http::asio::awaitable<void>
announcer::run_cache(std::shared_ptr<batch> steps, std::vector<std::string> vms)
{
    const auto self = shared_from_this();
    std::minstd_rand random(static_cast<unsigned>(
        std::hash<std::string>()(vms.front()) ^ incarnation_));
    http::asio::steady_timer timer(thread_->context());
    for (std::uint64_t sequence = 1; !leaving_; ++sequence)
    {
        timer.expires_after(500ms);
        http::error_code ec;
        co_await timer.async_wait(
            http::asio::redirect_error(http::asio::use_awaitable, ec));
        const auto [stored, evicted] = steps->take_cache_changes();
        const bool lost = random() % 6 == 0;
        const auto late = std::chrono::milliseconds(500 + random() % 3000);
        if (lost)
        {
            continue;
        }
        json::object body;
        body["id"] = record_.at("id");
        body["sequence"] = sequence;
        body["stored"] = to_text(stored);
        body["evicted"] = to_text(evicted);
        http::asio::co_spawn(
            thread_->context(), deliver(late, vms, std::move(body)),
            http::asio::detached);
    }
}

http::asio::awaitable<void> announcer::deliver(
    std::chrono::milliseconds late, std::vector<std::string> vms,
    json::object body)
{
    const auto self = shared_from_this();
    http::asio::steady_timer timer(thread_->context());
    timer.expires_after(late);
    http::error_code ec;
    co_await timer.async_wait(
        http::asio::redirect_error(http::asio::use_awaitable, ec));
    for (const auto& vm : vms)
    {
        (void)co_await post_to(vm, "cache-events", body);
    }
}

http::asio::awaitable<bool> announcer::post(std::string path, json::object body)
{
    co_return co_await post_to(
        vms_[next_vm_ % vms_.size()], std::move(path), std::move(body));
}

http::asio::awaitable<bool>
announcer::post_to(std::string vm, std::string path, json::object body)
{
    http::request message(http::bhttp::verb::post, "/upstreams/v1/" + path, 11);
    message.set(http::bhttp::field::content_type, "application/json");
    message.body() = json::serialize(body);
    const auto call = std::make_shared<http::http_call>(thread_->pool());
    const auto status =
        co_await call->start(std::move(vm), std::move(message), false, 2s);
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
