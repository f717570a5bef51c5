// Requests of callers, changes and reads of the operator.

#include <Soak/soak_load.hpp>

#include <platform/names.hpp>

#include <LibCore/text.hpp>
#include <Soak/http_call.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace hyssoploft::soak {

namespace {

namespace asio = http::asio;
namespace names = platform::names;

constexpr std::chrono::milliseconds call_limit{4000};
constexpr std::chrono::milliseconds operator_limit{1500};
constexpr int put_attempts = 20;
/// Reads at the end of a run, half a second apart.
constexpr int final_reads = 30;

struct caller_account
{
    const char* name;
    const char* key;
};

constexpr std::array<caller_account, 2> accounts{
    {{"shop-a", "key-of-shop-a-0001"}, {"shop-b", "key-of-shop-b-0002"}}};

const char* path_of(request_kind kind)
{
    switch (kind)
    {
    case request_kind::at_most_once:
        return "/order/";
    case request_kind::idempotent:
        return "/look/";
    case request_kind::stream:
        return "/stream/";
    }
    return "/";
}

asio::awaitable<void> wait(asio::io_context& io, std::chrono::milliseconds d)
{
    http::error_code ec;
    asio::steady_timer timer(io, d);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

std::string route(
    const char* name, const char* kind, const char* service,
    std::int64_t timeout_ms)
{
    return core::concat(
        R"({"name":")", name, R"(","host":"soak.example","path-prefix":"/)",
        name, R"(/","kind":")", kind, R"(","timeout-ms":)", timeout_ms,
        R"(,"target-latency-ms":500,"priority":0,"service":")", service,
        R"(","max-attempts":3,"public":false,"sticky":false,"resumable":true,)",
        R"("gap-target-ms":600,"home-regions":[]})");
}

} // namespace

soak_load::soak_load(
    asio::io_context& io, const load_targets& targets, promise_checker& checker,
    core::random_source& random)
    : io_(io), targets_(targets), checker_(checker), random_(random)
{}

http::tcp::endpoint soak_load::any(const std::vector<http::tcp::endpoint>& of)
{
    return of[random_.below(static_cast<std::uint64_t>(of.size()))];
}

std::string soak_load::document(std::uint64_t version) const
{
    std::string tenants;
    for (const auto& it : accounts)
    {
        tenants += core::concat(
            tenants.empty() ? "" : ",", R"({"name":")", it.name,
            R"(","api-keys":[")", it.key,
            R"("],"priority":1,"unit":"tokens","plain-tokens":200,)",
            R"("rate-per-s":400000,"burst":400000,"home-regions":[]})");
    }
    // Successive versions differ in a time-out, as operators change them.
    const auto timeout = longest_timeout.count() - 10 * (version % 50);
    return core::concat(
        R"({"version":)", version, R"(,"routes":[)",
        route("order", "unsafe", "booking", timeout), ",",
        route("look", "safe", "booking", timeout), ",",
        route("stream", "streaming", "engine", timeout),
        R"(],"services":[{"name":"booking","health-path":"/healthz",)",
        R"("max-conns":200},{"name":"engine","health-path":"/healthz",)",
        R"("max-conns":200}],"limits":{"max-header-bytes":16384,)",
        R"("max-body-bytes":4194304,"header-timeout-ms":3000,)",
        R"("idle-timeout-ms":15000},"tenants":[)", tenants, "]}");
}

asio::awaitable<bool> soak_load::put(std::uint64_t version)
{
    http::request message(
        http::bhttp::verb::post, std::string(names::put_config_path), 11);
    message.set(http::bhttp::field::host, "control");
    message.body() = document(version);
    kept_connection connection(io_);
    const auto answer = co_await call(
        connection, any(targets_.control), std::move(message), operator_limit);
    if (answer.status >= 400 && answer.status < 500)
    {
        checker_.broken(core::concat(
            "version ", version, " was refused with ", answer.status));
    }
    if (answer.status == 200 && answer.complete)
    {
        checker_.acknowledged(version);
        co_return true;
    }
    co_return false;
}

asio::awaitable<std::uint64_t> soak_load::read()
{
    http::request message(
        http::bhttp::verb::get, std::string(names::get_config_path), 11);
    message.set(http::bhttp::field::host, "control");
    const auto before = checker_.newest_acknowledged();
    kept_connection connection(io_);
    const auto answer = co_await call(
        connection, any(targets_.control), std::move(message), operator_limit);
    if (answer.status != 200 || !answer.complete)
    {
        co_return 0;
    }
    std::uint64_t version = 0;
    constexpr std::string_view field = R"("version":)";
    const auto at = answer.body.find(field);
    if (at != std::string::npos)
    {
        const char* first = answer.body.data() + at + field.size();
        std::from_chars(
            first, answer.body.data() + answer.body.size(), version);
    }
    checker_.read_back(version, before);
    if (answer.body != document(version))
    {
        checker_.broken(core::concat(
            "version ", version, " was read back with other content"));
    }
    co_return version;
}

asio::awaitable<bool> soak_load::put_first()
{
    for (int n = 0; n < put_attempts; ++n)
    {
        version_ = 1;
        if (co_await put(version_))
        {
            co_return true;
        }
        co_await wait(io_, std::chrono::milliseconds(500));
    }
    co_return false;
}

asio::awaitable<void> soak_load::operate_until_stopped()
{
    while (!stopped_)
    {
        co_await wait(io_, std::chrono::milliseconds(100 + random_.below(600)));
        if (random_.below(3) == 0)
        {
            version_ += 1 + random_.below(3);
        }
        // A document without a clear answer is sent again unchanged.
        if (random_.below(2) == 0)
        {
            (void)co_await put(version_);
        }
        else
        {
            (void)co_await read();
        }
    }
}

asio::awaitable<void> soak_load::read_at_the_end()
{
    for (int n = 0; n < final_reads; ++n)
    {
        const auto version = co_await read();
        if (version != 0 && version >= checker_.newest_acknowledged())
        {
            co_return;
        }
        co_await wait(io_, std::chrono::milliseconds(500));
    }
    checker_.broken("the document could not be read at the end");
}

asio::awaitable<bool> soak_load::send(kept_connection& from, request_kind kind)
{
    const auto id = core::concat("r", next_id_++);
    const auto& account = accounts[random_.below(accounts.size())];
    http::request message(
        http::bhttp::verb::post, core::concat(path_of(kind), id), 11);
    message.set(http::bhttp::field::host, "soak.example");
    message.set(names::request_id, id);
    message.set(names::key, account.key);
    // A caller must not be able to name another account.
    message.set(names::account, "forged");
    message.set(names::deadline_ms, "3500");
    message.body() = "body of " + id;
    checker_.sent(id, kind, account.name);
    const auto began = clock_.now();
    auto answer = co_await call(
        from, any(targets_.entries), std::move(message), call_limit);
    answer.lasted = std::chrono::duration_cast<std::chrono::milliseconds>(
        clock_.now() - began);
    checker_.answered(id, answer);
    co_return answer.status == 200 && answer.complete;
}

asio::awaitable<bool> soak_load::probe()
{
    kept_connection connection(io_);
    co_return co_await send(connection, request_kind::idempotent);
}

asio::awaitable<void> soak_load::call_until_stopped()
{
    kept_connection connection(io_);
    while (!stopped_)
    {
        const auto kind = static_cast<request_kind>(random_.below(3));
        const bool served = co_await send(connection, kind);
        const auto pause = served ? random_.below(40) : 50 + random_.below(150);
        co_await wait(io_, std::chrono::milliseconds(pause));
    }
}

} // namespace hyssoploft::soak
