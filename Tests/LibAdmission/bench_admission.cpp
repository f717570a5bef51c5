// Benchmarks of admission in virtual time with seeded load: waiting time of
// each account under fair and FIFO admission, and concurrency limits in front
// of an upstream that slows down. Prints a table, or JSON with --json.

#include <LibAdmission/concurrency_limit.hpp>
#include <LibAdmission/fair_admission.hpp>
#include <LibAdmission/fifo_admission.hpp>

#include <LibCore/random_source.hpp>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

using namespace hyssoploft;
using namespace std::chrono_literals;

namespace {

constexpr int account_count = 5;
constexpr double seconds_per_token = 0.01; // Of one call.
constexpr std::uint32_t slots = 12;

struct simulated_call
{
    int account; // account_count stands for batch work of account 1.
    double tokens;
    core::time_point sent_at;
};

struct account_result
{
    std::vector<double> wait_seconds; // Of calls that ran.
    double refused = 0;
    double expired = 0; // Refused after waiting.
};

double percentile(std::vector<double>& values, double fraction)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(
        fraction * static_cast<double>(values.size() - 1))];
}

// Accounts 1 to 4 use 15% of the capacity each, batch work 10%, and account 0
// sends 1.5 times the capacity from 60 s to 240 s, else 15%.
std::vector<account_result>
replay_load(admission::admission_controller& controller, std::uint64_t seed)
{
    core::seeded_random random(seed);
    std::vector<account_result> results(account_count + 1);
    std::unordered_map<std::uint64_t, simulated_call> calls;
    std::vector<std::pair<core::time_point, std::uint64_t>> running;
    const core::time_point start{1h};
    core::time_point now = start;
    std::uint64_t id = 0;
    controller.set_capacity(slots, now);
    const auto run = [&](std::uint64_t call_id) {
        const simulated_call& it = calls[call_id];
        results[it.account].wait_seconds.push_back(
            core::to_seconds(now - it.sent_at));
        running.emplace_back(
            now + core::from_seconds(it.tokens * seconds_per_token), call_id);
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
        const bool is_surge = now >= start + 60s && now < start + 240s;
        for (int a = 0; a <= account_count; ++a)
        {
            const double load_share = a == 0 && is_surge   ? 1.5
                                      : a == account_count ? 0.1
                                                           : 0.15;
            const double mean_tokens = a == account_count ? 400 : 100;
            if (random.uniform() >=
                load_share * slots / (mean_tokens * seconds_per_token) * 0.01)
            {
                continue;
            }
            admission::waiting_request request;
            request.id = ++id;
            request.account = std::to_string(a == account_count ? 1 : a);
            const double tokens = mean_tokens * (0.5 + random.uniform());
            request.cost_tokens =
                1.5 * tokens; // The token limit, not the real length.
            request.interactive = a != account_count;
            request.expected_run =
                core::from_seconds(request.cost_tokens * seconds_per_token);
            request.deadline = now + (a == account_count ? 300s : 20s);
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

struct slowdown_result
{
    std::vector<double> first_token; // Seconds from arrival, of all calls.
    std::vector<double> at_upstream; // The part after admission.
    double ran = 0;
    double refused = 0; // Never ran: refused early or after waiting.
    double lowest_limit = 1e9;
};

// Five accounts use 15% each of an upstream that runs 12 calls at a time and
// queues the others. From 60 s to 120 s every call takes three times as long.
// Without a rule the limit is `fixed_limit`, which otherwise bounds the
// adaptive limit.
slowdown_result replay_slowdown(
    std::optional<admission::limit_rule> rule, std::uint32_t fixed_limit,
    std::uint64_t seed)
{
    constexpr double first_token_seconds = 0.05;
    core::seeded_random random(seed);
    admission::fair_admission controller;
    admission::limit_settings settings;
    settings.rule = rule.value_or(admission::limit_rule::gradient);
    settings.initial_limit = slots;
    settings.max_limit = fixed_limit;
    admission::concurrency_limit limit(settings);
    slowdown_result result;
    std::unordered_map<std::uint64_t, simulated_call> calls;
    std::vector<std::pair<std::uint64_t, core::time_point>> queued;
    std::vector<std::pair<core::time_point, std::uint64_t>> running;
    const core::time_point start{1h};
    core::time_point now = start;
    std::uint64_t id = 0;
    controller.set_capacity(rule ? limit.limit() : fixed_limit, now);
    const auto send = [&](std::uint64_t call_id) {
        queued.emplace_back(call_id, now);
    };
    for (; now < start + 240s; now += 10ms)
    {
        const bool is_slow = now >= start + 60s && now < start + 120s;
        std::erase_if(running, [&](const auto& it) {
            if (it.first > now)
            {
                return false;
            }
            controller.finished(it.second, calls[it.second].tokens, false, now);
            return true;
        });
        for (int a = 0; a < account_count; ++a)
        {
            constexpr double mean_tokens = 100;
            if (random.uniform() >=
                0.15 * slots / (mean_tokens * seconds_per_token) * 0.01)
            {
                continue;
            }
            admission::waiting_request request;
            request.id = ++id;
            request.account = std::to_string(a);
            const double tokens = mean_tokens * (0.5 + random.uniform());
            request.cost_tokens = 1.5 * tokens;
            request.expected_run =
                core::from_seconds(request.cost_tokens * seconds_per_token);
            request.deadline = now + 20s;
            calls[id] = {a, tokens, now};
            const auto answer = controller.submit(request, now);
            if (answer.verdict == admission::admission_verdict::run)
            {
                send(id);
            }
            result.refused +=
                answer.verdict == admission::admission_verdict::refuse ? 1 : 0;
        }
        const auto update = controller.poll(now);
        for (const auto it : update.run)
        {
            send(it);
        }
        result.refused += static_cast<double>(update.refused.size());
        while (running.size() < slots && !queued.empty())
        {
            const auto [call_id, sent_at] = queued.front();
            queued.erase(queued.begin());
            const simulated_call& it = calls[call_id];
            const double slowdown_factor = is_slow ? 3 : 1;
            const double first = first_token_seconds * slowdown_factor;
            running.emplace_back(
                now + core::from_seconds(
                          it.tokens * seconds_per_token * slowdown_factor),
                call_id);
            const double wait = core::to_seconds(now - sent_at) + first;
            result.ran += 1;
            result.at_upstream.push_back(wait);
            result.first_token.push_back(
                core::to_seconds(now - it.sent_at) + first);
            limit.observe(
                core::from_seconds(wait),
                static_cast<std::uint32_t>(running.size() + queued.size()),
                false, now);
        }
        if (rule)
        {
            controller.set_capacity(limit.limit(), now);
            result.lowest_limit =
                std::min(result.lowest_limit, 1.0 * limit.limit());
        }
    }
    return result;
}

void compare_limits(bool json)
{
    struct variant
    {
        const char* name;
        std::optional<admission::limit_rule> rule;
        std::uint32_t limit_bound;
    };
    if (!json)
    {
        std::printf(
            "%-16s %6s %8s %10s %10s %10s %10s %8s\n", "limit", "ran",
            "refused", "first p50", "first p99", "there p50", "there p99",
            "lowest");
    }
    for (const variant& it :
         {variant{"fixed 12", {}, slots}, variant{"fixed 32", {}, 32},
          variant{"gradient to 32", admission::limit_rule::gradient, 32},
          variant{"aimd to 32", admission::limit_rule::aimd, 32}})
    {
        auto outcome = replay_slowdown(it.rule, it.limit_bound, 42);
        std::printf(
            json ? "{\"limit\":\"%s\",\"ran\":%.0f,\"refused\":%.0f,"
                   "\"first_token_p50_s\":%.3f,\"first_token_p99_s\":%.3f,"
                   "\"at_upstream_p50_s\":%.3f,\"at_upstream_p99_s\":%.3f,"
                   "\"lowest_limit\":%.0f}\n"
                 : "%-16s %6.0f %8.0f %10.3f %10.3f %10.3f %10.3f %8.0f\n",
            it.name, outcome.ran, outcome.refused,
            percentile(outcome.first_token, 0.5),
            percentile(outcome.first_token, 0.99),
            percentile(outcome.at_upstream, 0.5),
            percentile(outcome.at_upstream, 0.99),
            it.rule ? outcome.lowest_limit : it.limit_bound);
    }
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
        auto results = replay_load(*it.controller, 42);
        for (int a = 0; a <= account_count; ++a)
        {
            auto& outcome = results[a];
            const auto name =
                a == account_count ? std::string("batch") : std::to_string(a);
            std::printf(
                json ? "{\"variant\":\"%s\",\"account\":\"%s\",\"ran\":%zu,"
                       "\"p50_s\":%.3f,\"p99_s\":%.3f,\"refused\":%.0f,"
                       "\"expired\":%.0f}\n"
                     : "%-16s %-8s %6zu %8.3f %8.3f %8.0f %8.0f\n",
                it.name, name.c_str(), outcome.wait_seconds.size(),
                percentile(outcome.wait_seconds, 0.5),
                percentile(outcome.wait_seconds, 0.99), outcome.refused,
                outcome.expired);
        }
    }
    compare_limits(json);
}
