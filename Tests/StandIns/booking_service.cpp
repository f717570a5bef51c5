// Stand-in for a booking service. It does not recognise repeats: each POST is
// a booking, so that a test sees every call that ran.

#include <LibHttp/http_server.hpp>
#include <StandIns/announcer.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <cstdio>
#include <map>
#include <string>

ABSL_FLAG(std::string, id, "booking", "Identifier.");
ABSL_FLAG(std::string, address, "", "IP:port to listen on.");
ABSL_FLAG(std::vector<std::string>, vms, {}, "VMs to announce to.");
ABSL_FLAG(std::string, region, "", "Region.");
ABSL_FLAG(std::string, data_center, "", "Data centre.");
ABSL_FLAG(std::string, role, "booking", "Role to announce.");
ABSL_FLAG(double, work_ms, 1, "Time that a booking takes.");
ABSL_FLAG(
    std::string, fault, "",
    "lose_answer (the booking runs and the connection closes) or empty.");

namespace {

using namespace hyssoploft;
namespace asio = http::asio;
namespace json = boost::json;

class booking_service final : public http::request_handler
{
public:
    asio::awaitable<void> handle(http::exchange& it) override
    {
        const auto& message = it.message();
        if (message.target() == "/stats")
        {
            json::object runs;
            for (const auto& [key, count] : runs_)
            {
                runs[key] = count;
            }
            json::object stats;
            stats["runs"] = std::move(runs);
            stats["leaked_key"] = leaked_;
            co_await respond(it, std::move(stats));
            co_return;
        }
        leaked_ = leaked_ || message.count("authorization") > 0 ||
                  message.count("x-api-key") > 0;
        if (message.method() != http::bhttp::verb::post)
        {
            co_await respond(it, number_as("bookings", total_));
            co_return;
        }
        const auto number = ++total_;
        ++runs_[std::string(http::header_value(message, "idempotency-key"))];
        asio::steady_timer timer(
            it.executor(), std::chrono::microseconds(static_cast<long>(
                               absl::GetFlag(FLAGS_work_ms) * 1000)));
        http::error_code ec;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
        if (absl::GetFlag(FLAGS_fault) == "lose_answer")
        {
            it.close_after();
            co_return;
        }
        co_await respond(it, number_as("booking", number));
    }

private:
    // NOTE: g++ 12 can't compile braced lists inside a coroutine's co_await.
    static json::object number_as(const char* name, std::uint64_t n)
    {
        json::object out;
        out[name] = n;
        return out;
    }

    static asio::awaitable<void> respond(http::exchange& it, json::object body)
    {
        http::response answer(http::bhttp::status::ok, 11);
        answer.set(
            "x-request-id",
            std::string(http::header_value(it.message(), "x-request-id")));
        answer.set("content-type", "application/json");
        answer.body() = json::serialize(body);
        (void)co_await it.respond(std::move(answer));
    }

    // One traffic thread: no locks are needed.
    std::map<std::string, std::uint64_t> runs_; // By Idempotency-Key.
    std::uint64_t total_ = 0;
    bool leaked_ = false;
};

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    const auto thread = std::make_shared<http::traffic_thread>();
    auto server = http::http_server::create(
        {absl::GetFlag(FLAGS_address)}, {thread},
        std::make_shared<booking_service>());
    if (!server.ok())
    {
        std::fprintf(stderr, "%s\n", server.status().ToString().c_str());
        return 1;
    }
    json::object record{
        {"id", absl::GetFlag(FLAGS_id)},
        {"address", absl::GetFlag(FLAGS_address)},
        {"role", absl::GetFlag(FLAGS_role)},
        {"region", absl::GetFlag(FLAGS_region)},
        {"data_center", absl::GetFlag(FLAGS_data_center)},
        {"capacity", 16}};
    std::shared_ptr<tests::announcer> news;
    if (!absl::GetFlag(FLAGS_vms).empty())
    {
        news = std::make_shared<tests::announcer>(
            thread, std::move(record), absl::GetFlag(FLAGS_vms));
        news->start();
    }
    (*server)->start();
    tests::wait_for_signal();
    if (news)
    {
        news->leave();
    }
    (*server)->drain();
    thread->stop();
    return 0;
}
