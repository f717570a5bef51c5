// Waiting time of each account under fair and FIFO admission for one seeded
// load in virtual time. Prints a table and JSON.

#include <LibAdmission/fair_admission.hpp>
#include <LibAdmission/fifo_admission.hpp>

#include <LibCore/random_source.hpp>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <unordered_map>
#include <vector>

using namespace hyssoploft;
using namespace std::chrono_literals;

namespace {

constexpr int accounts = 5;
constexpr double seconds_per_token = 0.01; // One call of one upstream.
constexpr std::uint32_t slots = 12;

struct call
{
    int account; // accounts: batch work of account 1.
    double tokens;
    core::time_point sent;
};

struct result
{
    std::vector<double> waits; // Seconds, of calls that ran.
    double refused = 0;
    double expired = 0; // Refused after waiting.
};

double percentile(std::vector<double>& values, double part)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(
        part * static_cast<double>(values.size() - 1))];
}

// Accounts 1 to 4 use 15% of the capacity each, batch work 10%, and account 0
// sends 1.5 times the capacity from 60 s to 240 s, else 15%.
std::vector<result>
replay(admission::admission_controller& controller, std::uint64_t seed)
{
    core::seeded_random random(seed);
    std::vector<result> results(accounts + 1);
    std::unordered_map<std::uint64_t, call> calls;
    std::vector<std::pair<core::time_point, std::uint64_t>> running;
    const core::time_point start{1h};
    core::time_point now = start;
    std::uint64_t id = 0;
    controller.set_capacity(slots, now);
    const auto run = [&](std::uint64_t which) {
        const call& it = calls[which];
        results[it.account].waits.push_back(core::to_seconds(now - it.sent));
        running.emplace_back(
            now + core::from_seconds(it.tokens * seconds_per_token), which);
    };
    for (; now < start + 300s; now += 10ms)
    {
        std::erase_if(running, [&](const auto& it) {
            if (it.first > now)
            {
                return false;
            }
            controller.finished(it.second, calls[it.second].tokens, false, now);
            return true;
        });
        const bool surge = now >= start + 60s && now < start + 240s;
        for (int a = 0; a <= accounts; ++a)
        {
            const double load = a == 0 && surge ? 1.5
                                : a == accounts ? 0.1
                                                : 0.15;
            const double mean = a == accounts ? 400 : 100;
            if (random.uniform() >=
                load * slots / (mean * seconds_per_token) * 0.01)
            {
                continue;
            }
            admission::waiting_request request;
            request.id = ++id;
            request.account = std::to_string(a == accounts ? 1 : a);
            const double tokens = mean * (0.5 + random.uniform());
            request.cost_tokens = 1.5 * tokens; // The limit, not the length.
            request.interactive = a != accounts;
            request.expected_run =
                core::from_seconds(request.cost_tokens * seconds_per_token);
            request.deadline = now + (a == accounts ? 300s : 20s);
            calls[id] = {a, tokens, now};
            const auto answer = controller.submit(request, now);
            if (answer.verdict == admission::admission_verdict::run)
            {
                run(id);
            }
            results[a].refused +=
                answer.verdict == admission::admission_verdict::refuse ? 1 : 0;
        }
        const auto update = controller.poll(now);
        for (const auto it : update.run)
        {
            run(it);
        }
        for (const auto it : update.refused)
        {
            results[calls[it].account].expired += 1;
        }
    }
    return results;
}

} // namespace

int main(int argc, char** argv)
{
    const bool json = argc > 1 && std::string(argv[1]) == "--json";
    if (!json)
    {
        std::printf(
            "%-16s %-8s %6s %8s %8s %8s %8s\n", "variant", "account", "ran",
            "p50 s", "p99 s", "refused", "expired");
    }
    struct variant
    {
        const char* name;
        std::unique_ptr<admission::admission_controller> controller;
    };
    variant variants[] = {
        {"fifo", std::make_unique<admission::fifo_admission>()},
        {"fair, late only",
         std::make_unique<admission::fair_admission>(
             admission::admission_settings{256, 4096, 0.15, false})},
        {"fair, early", std::make_unique<admission::fair_admission>()}};
    for (auto& it : variants)
    {
        auto results = replay(*it.controller, 42);
        for (int a = 0; a <= accounts; ++a)
        {
            auto& one = results[a];
            const auto name =
                a == accounts ? std::string("batch") : std::to_string(a);
            std::printf(
                json ? "{\"variant\":\"%s\",\"account\":\"%s\",\"ran\":%zu,"
                       "\"p50_s\":%.3f,\"p99_s\":%.3f,\"refused\":%.0f,"
                       "\"expired\":%.0f}\n"
                     : "%-16s %-8s %6zu %8.3f %8.3f %8.0f %8.0f\n",
                it.name, name.c_str(), one.waits.size(),
                percentile(one.waits, 0.5), percentile(one.waits, 0.99),
                one.refused, one.expired);
        }
    }
}
