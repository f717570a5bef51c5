// Plays a seeded workload against entry VMs and prints JSON.

#include <Load/caller.hpp>
#include <Load/report.hpp>
#include <Load/workload.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>

ABSL_FLAG(std::string, deployment, "valea", "valea or ferreira.");
ABSL_FLAG(std::uint64_t, seed, 1, "Of the arrivals.");
ABSL_FLAG(double, seconds, 20, "Length of the traffic, at most 120.");
ABSL_FLAG(double, rate, 1, "Multiplies the calls per second.");
ABSL_FLAG(double, flood, 6, "Times its rate that one account sends.");
ABSL_FLAG(std::vector<std::string>, vms, {}, "VMs to ask for entry VMs.");
ABSL_FLAG(std::vector<std::string>, engines, {}, "Engines to ask for totals.");
ABSL_FLAG(
    std::string, accounts, "",
    "File of lines: account, tokens per second, burst, key, second key.");
ABSL_FLAG(double, credit_seconds, 5, "Seconds since the rates were declared.");

namespace {

using namespace hyssoploft;
using namespace std::chrono_literals;
namespace asio = http::asio;
namespace json = boost::json;

// Time after the last arrival in which answers still count.
constexpr auto drain_time = 10s;
constexpr double max_seconds = 120;
// compare.sh withdraws the first keys later, when most of their streams ended.
constexpr double key_change_part = 0.3;
constexpr auto directory_interval = 2s;

class run
{
public:
    run(std::shared_ptr<http::traffic_thread> thread,
        const load::workload_settings& workload, load::caller_settings settings)
        : thread_(std::move(thread)), arrivals_(draw_arrivals(workload)),
          calls_(*thread_, std::move(settings))
    {}

    // Returns when every call has ended or drain_time has passed.
    asio::awaitable<bool> play()
    {
        if (!co_await calls_.refresh())
        {
            co_return false;
        }
        const auto start = std::chrono::steady_clock::now();
        calls_.start(start);
        asio::co_spawn(thread_->context(), keep_directory(), asio::detached);
        for (const auto& it : arrivals_)
        {
            const auto due = start + std::chrono::microseconds(
                                         static_cast<long>(it.time * 1e6));
            co_await wait_until(due);
            ++open_;
            asio::co_spawn(thread_->context(), one(it), asio::detached);
        }
        const auto end = std::chrono::steady_clock::now() + drain_time;
        while (open_ > 0 && std::chrono::steady_clock::now() < end)
        {
            co_await wait_until(std::chrono::steady_clock::now() + 50ms);
        }
        done_ = true;
        co_return true;
    }

    // Sums one number of the engines' /stats.
    asio::awaitable<double>
    engines_total(std::vector<std::string> engines, std::string name)
    {
        double out = 0;
        for (const auto& it : engines)
        {
            http::request message(http::bhttp::verb::get, "/stats", 11);
            const auto call =
                std::make_shared<http::http_call>(thread_->pool());
            const auto status =
                co_await call->start(it, std::move(message), true, 2s);
            if (!status.ok())
            {
                continue;
            }
            const auto body = co_await call->read_all(4096, 2s);
            boost::system::error_code ec;
            const auto parsed =
                json::parse(body.ok() ? *body : std::string("{}"), ec);
            const auto* value =
                ec ? nullptr : parsed.as_object().if_contains(name);
            out += value ? value->to_number<double>() : 0;
        }
        co_return out;
    }

    const load::report& result() const
    {
        return report_;
    }

    std::size_t unfinished() const
    {
        return open_;
    }

private:
    asio::awaitable<void> wait_until(std::chrono::steady_clock::time_point due)
    {
        asio::steady_timer timer(thread_->context());
        timer.expires_at(due);
        http::error_code ec;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }

    asio::awaitable<void> keep_directory()
    {
        while (!done_)
        {
            co_await wait_until(
                std::chrono::steady_clock::now() + directory_interval);
            (void)co_await calls_.refresh();
        }
    }

    asio::awaitable<void> one(const load::arrival& call)
    {
        auto record = co_await calls_.send(call);
        report_.add(call, std::move(record));
        --open_;
    }

    std::shared_ptr<http::traffic_thread> thread_;
    const std::vector<load::arrival> arrivals_;
    load::caller calls_;
    load::report report_;
    std::size_t open_ = 0;
    bool done_ = false;
};

bool read_accounts(load::caller_settings& out)
{
    std::ifstream in(absl::GetFlag(FLAGS_accounts));
    std::string name;
    load::account_access it;
    while (in >> name >> it.tokens_per_second >> it.burst_tokens >>
           it.first_key >> it.second_key)
    {
        out.accounts[name] = it;
    }
    return out.accounts.size() == load::account_names.size();
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    load::workload_settings workload;
    workload.deployment = absl::GetFlag(FLAGS_deployment);
    workload.seed = absl::GetFlag(FLAGS_seed);
    workload.seconds = std::min(max_seconds, absl::GetFlag(FLAGS_seconds));
    workload.rate = absl::GetFlag(FLAGS_rate);
    workload.flood_factor = absl::GetFlag(FLAGS_flood);
    load::caller_settings settings;
    settings.seed_vms = absl::GetFlag(FLAGS_vms);
    settings.seed = workload.seed;
    settings.key_change_at = workload.seconds * key_change_part;
    settings.credit_seconds = absl::GetFlag(FLAGS_credit_seconds);
    if (!read_accounts(settings))
    {
        std::fprintf(stderr, "--accounts needs a line for each account\n");
        return 2;
    }
    const auto thread = std::make_shared<http::traffic_thread>();
    run it(thread, workload, std::move(settings));
    const auto wait = [&](auto work) {
        return asio::co_spawn(
                   thread->context(), std::move(work), asio::use_future)
            .get();
    };
    if (!wait(it.play()))
    {
        std::fprintf(stderr, "no VM answers /v1/entry-vms\n");
        return 1;
    }
    const auto engines = absl::GetFlag(FLAGS_engines);
    const double prefilled = wait(it.engines_total(engines, "prefilled"));
    const double refused = wait(it.engines_total(engines, "refused"));
    json::object out = it.result().summary(prefilled, refused);
    out["deployment"] = workload.deployment;
    out["seed"] = workload.seed;
    out["unfinished"] = it.unfinished();
    std::printf("%s\n", json::serialize(out).c_str());
    thread->stop();
    return 0;
}
