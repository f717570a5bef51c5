// Announcements and answers of an upstream.

#include <Soak/upstream_stand_in.hpp>

#include <platform/names.hpp>

#include <LibCore/clock.hpp>
#include <LibCore/text.hpp>
#include <Soak/http_call.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>
#include <utility>

namespace hyssoploft::soak {

namespace {

namespace asio = http::asio;
namespace names = platform::names;

constexpr std::uint16_t upstream_port = 9000;
constexpr std::chrono::milliseconds announce_interval{700};
constexpr std::chrono::milliseconds announce_limit{1000};
constexpr std::chrono::milliseconds work_time{15};
constexpr std::chrono::milliseconds event_interval{25};

asio::awaitable<void>
wait(asio::any_io_executor executor, std::chrono::milliseconds d)
{
    http::error_code ec;
    asio::steady_timer timer(executor, d);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

http::response answer_with(unsigned status, std::string body)
{
    http::response out(http::bhttp::int_to_status(status), 11);
    out.body() = std::move(body);
    return out;
}

} // namespace

absl::StatusOr<std::shared_ptr<upstream_stand_in>> upstream_stand_in::create(
    std::shared_ptr<http::traffic_thread> thread,
    const upstream_options& options, promise_checker& checker,
    core::random_source& random)
{
    std::shared_ptr<upstream_stand_in> it(
        new upstream_stand_in(std::move(thread), options, checker, random));
    auto server = http::http_server::create(
        {core::concat(options.ip, ":", upstream_port)}, {it->thread_}, it);
    if (!server.ok())
    {
        return server.status();
    }
    it->server_ = *std::move(server);
    auto proxy = fault_proxy::create(
        it->thread_->context(), options.ip,
        {asio::ip::make_address(options.ip), upstream_port});
    if (!proxy.ok())
    {
        return proxy.status();
    }
    it->proxy_ = *std::move(proxy);
    return it;
}

upstream_stand_in::upstream_stand_in(
    std::shared_ptr<http::traffic_thread> thread,
    const upstream_options& options, promise_checker& checker,
    core::random_source& random)
    : thread_(std::move(thread)), options_(options), checker_(checker),
      random_(random)
{
    start_again();
}

void upstream_stand_in::start()
{
    server_->start();
    proxy_->start();
    asio::co_spawn(thread_->context(), announce(), asio::detached);
}

asio::awaitable<void> upstream_stand_in::announce()
{
    const auto self = shared_from_this();
    for (;;)
    {
        if (!silent_)
        {
            co_await announce_once();
        }
        co_await wait(thread_->context().get_executor(), announce_interval);
    }
}

asio::awaitable<void> upstream_stand_in::announce_once()
{
    last_announcement_ = core::concat(
        R"({"service":")", options_.role, R"(","address":")", proxy_->address(),
        R"(","zone":")", options_.data_center,
        R"(","version":"v1","slots":16,"state":"ready","cold-left-ms":0,)",
        R"("born":)", born_, R"(,"seq":)", ++sequence_, "}");
    co_await repeat_announcement();
}

asio::awaitable<void> upstream_stand_in::repeat_announcement()
{
    const auto to =
        random_.below(static_cast<std::uint64_t>(options_.control.size()));
    (void)co_await tell(
        to, core::concat(names::heartbeat_path, options_.id),
        last_announcement_);
}

asio::awaitable<bool> upstream_stand_in::leave(std::size_t control_vm)
{
    silent_ = true;
    const auto status = co_await tell(
        control_vm, core::concat(names::deregister_path, options_.id), "");
    co_return status == 200;
}

asio::awaitable<unsigned> upstream_stand_in::tell(
    std::size_t control_vm, std::string target, std::string body)
{
    http::request message(http::bhttp::verb::post, target, 11);
    message.set(http::bhttp::field::host, "control");
    message.body() = std::move(body);
    kept_connection connection(thread_->context());
    const auto answer = co_await call(
        connection, options_.control[control_vm], std::move(message),
        announce_limit);
    co_return answer.status;
}

void upstream_stand_in::start_again()
{
    constexpr std::uint64_t nanoseconds_per_millisecond = 1'000'000;
    born_ = core::suspend_aware_clock().unix_nanoseconds() /
            nanoseconds_per_millisecond;
    sequence_ = 0;
    runs_ = 0;
    silent_ = false;
    departed_ = false;
}

asio::awaitable<void> upstream_stand_in::handle(http::exchange& it)
{
    const auto& message = it.message();
    const std::string request_id(
        http::header_value(message, names::request_id));
    const auto expected = http::header_value(message, names::expected_upstream);
    if (request_id.empty() || (!expected.empty() && expected != options_.id))
    {
        auto refusal = answer_with(request_id.empty() ? 400 : 421, "");
        refusal.set(names::not_run, "1");
        (void)co_await it.respond(std::move(refusal));
        co_return;
    }
    ++runs_;
    if (departed_)
    {
        checker_.ran_after_departure(request_id, options_.id);
    }
    checker_.ran(
        request_id, std::string(http::header_value(message, names::account)),
        !http::header_value(message, names::key).empty());
    if (message.target().find("/stream/") != http::beast::string_view::npos)
    {
        co_await answer_stream(it, request_id);
        co_return;
    }
    co_await wait(it.executor(), work_time);
    auto out = answer_with(200, plain_body(request_id, options_.id));
    out.set(names::request_id, request_id);
    out.set(names::upstream_signature, options_.id);
    (void)co_await it.respond(std::move(out));
}

asio::awaitable<void> upstream_stand_in::answer_stream(
    http::exchange& it, const std::string& request_id)
{
    int last = 0;
    const auto text = http::header_value(it.message(), names::last_event_id);
    std::from_chars(text.data(), text.data() + text.size(), last);
    http::bhttp::response<http::bhttp::empty_body> head(
        http::bhttp::status::ok, 11);
    head.set(http::bhttp::field::content_type, "text/event-stream");
    head.set(names::request_id, request_id);
    head.set(names::upstream_signature, options_.id);
    if (!(co_await it.begin_stream(std::move(head))).ok())
    {
        co_return;
    }
    for (int n = last + 1; n <= events_of_stream; ++n)
    {
        co_await wait(it.executor(), event_interval);
        if (!(co_await it.write(event_text(request_id, n))).ok())
        {
            co_return;
        }
    }
    (void)co_await it.end_stream();
}

} // namespace hyssoploft::soak
