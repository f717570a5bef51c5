// Guards against one account that delays the others, starvation of batch work,
// and refusal of requests that would have met their deadline.

#include <LibAdmission/fair_admission.hpp>

#include <LibCore/random_source.hpp>

#include <doctest.h>

#include <map>

using namespace hyssoploft;
using namespace std::chrono_literals;

namespace {

constexpr core::time_point start{1h};

admission::waiting_request make_request(
    std::uint64_t id, const std::string& account, double cost,
    bool interactive = true, double weight = 1)
{
    return {id, account, weight, cost, interactive, start + 1h, 1ms};
}

// Runs all requests one at a time and returns their order.
std::vector<std::uint64_t> run_all(admission::fair_admission& it)
{
    std::vector<std::uint64_t> order;
    while (true)
    {
        const auto update = it.poll(start);
        for (const auto id : update.run)
        {
            order.push_back(id);
            it.finished(id, 10, false, start);
        }
        if (update.run.empty())
        {
            return order;
        }
    }
}

} // namespace

TEST_CASE("tokens are shared by weight, not by number of requests")
{
    admission::fair_admission fair({400, 4000, 0.15, false});
    std::map<std::uint64_t, std::string> account_of;
    std::uint64_t id = 0;
    for (int n = 0; n < 300; ++n)
    {
        account_of[++id] = "small";
        fair.submit(make_request(id, "small", 10), start);
        account_of[++id] = "large";
        fair.submit(make_request(id, "large", 40), start);
        account_of[++id] = "heavy";
        fair.submit(make_request(id, "heavy", 10, true, 2), start);
    }
    fair.set_capacity(1, start);
    std::map<std::string, double> tokens;
    for (int n = 0; n < 200; ++n)
    {
        const auto update = fair.poll(start);
        REQUIRE_EQ(update.run.size(), 1);
        const auto& account = account_of[update.run[0]];
        tokens[account] += account == "large" ? 40 : 10;
        fair.finished(
            update.run[0], account == "large" ? 40 : 10, false, start);
    }
    CHECK_EQ(tokens["large"] / tokens["small"], doctest::Approx(1).epsilon(.1));
    CHECK_EQ(tokens["heavy"] / tokens["small"], doctest::Approx(2).epsilon(.1));
}

TEST_CASE(
    "a flooding account delays the others at most by the fair-queueing bound")
{
    // One slot, 1 s per 100 tokens. Account 0 floods the queue with requests of
    // 100 tokens; the others send one request of 50 at a time. In start-time
    // fair queueing a request waits for at most one request of every other
    // account and for the one that runs.
    const int accounts = 5;
    core::seeded_random random(3);
    admission::fair_admission fair({64, 4096, 0.15, false});
    core::time_point now = start;
    fair.set_capacity(1, now);
    std::map<std::uint64_t, std::pair<int, core::time_point>> sent;
    std::map<int, bool> has_open_request;
    std::uint64_t id = 0;
    std::uint64_t running = 0;
    core::time_point ends_at{};
    double worst_wait_seconds = 0;
    const auto start_call = [&](std::uint64_t request_id) {
        const auto [account, sent_at] = sent[request_id];
        if (account != 0)
        {
            worst_wait_seconds =
                std::max(worst_wait_seconds, core::to_seconds(now - sent_at));
        }
        running = request_id;
        ends_at = now + (account == 0 ? 1000ms : 500ms);
    };
    for (int n = 0; n < 200000; ++n)
    {
        now += 10ms;
        if (running != 0 && now >= ends_at)
        {
            const int account = sent[running].first;
            has_open_request[account] = false;
            fair.finished(running, account == 0 ? 100 : 50, false, now);
            running = 0;
        }
        for (int a = 0; a < accounts; ++a)
        {
            const bool sends =
                a == 0 ? random.below(10) == 0
                       : !has_open_request[a] && random.below(300) == 0;
            if (!sends)
            {
                continue;
            }
            sent[++id] = {a, now};
            auto request =
                make_request(id, std::to_string(a), a == 0 ? 100 : 50);
            request.deadline = now + 1h;
            const auto answer = fair.submit(request, now);
            has_open_request[a] =
                answer.verdict != admission::admission_verdict::refuse;
            if (answer.verdict == admission::admission_verdict::run)
            {
                start_call(id);
            }
        }
        const auto update = fair.poll(now);
        for (const auto it : update.run)
        {
            start_call(it);
        }
    }
    // 1 s running and 1 s queued of account 0, 3 x 0.5 s of the other accounts,
    // and one simulation step of 10 ms for each.
    CHECK_LE(worst_wait_seconds, 1 + 1 + 3 * 0.5 + 0.06);
    CHECK_GT(worst_wait_seconds, 0.5);
}

TEST_CASE("batch work gets its share while interactive work waits")
{
    admission::fair_admission fair({400, 4000, 0.2, false});
    for (std::uint64_t n = 1; n <= 300; ++n)
    {
        fair.submit(make_request(n, "a", 10), start);
        fair.submit(make_request(1000 + n, "b", 10, false), start);
    }
    fair.set_capacity(1, start);
    const auto order = run_all(fair);
    REQUIRE_EQ(order.size(), 600);
    std::size_t batch = 0;
    for (std::size_t n = 0; n < 100; ++n)
    {
        batch += order[n] > 1000 ? 1 : 0;
    }
    CHECK_GE(batch, 19);
    CHECK_LE(batch, 21);
}

TEST_CASE("a full queue and a shutdown refuse with their own reasons")
{
    admission::fair_admission fair({2, 3, 0.15, true});
    using admission::refusal_reason;
    CHECK(
        fair.submit(make_request(1, "a", 10), start).verdict ==
        admission::admission_verdict::wait);
    fair.submit(make_request(2, "a", 10), start);
    CHECK(
        fair.submit(make_request(3, "a", 10), start).reason ==
        refusal_reason::queue_full);
    fair.submit(make_request(4, "b", 10), start);
    CHECK(
        fair.submit(make_request(5, "c", 10), start).reason ==
        refusal_reason::queue_full);
    fair.shut_down();
    CHECK(
        fair.submit(make_request(6, "c", 10), start).reason ==
        refusal_reason::shutting_down);
    fair.set_capacity(1, start);
    CHECK_EQ(run_all(fair).size(), 3);
}

TEST_CASE("work that would miss its deadline in the queue is refused early")
{
    admission::fair_admission fair;
    fair.set_capacity(1, start);
    // 100 tokens take 1 s, so nine queued requests of 100 take 9 s.
    for (std::uint64_t n = 1; n <= 10; ++n)
    {
        auto request = make_request(n, "a", 100);
        request.expected_run = 1s;
        CHECK(
            fair.submit(request, start).verdict !=
            admission::admission_verdict::refuse);
    }
    auto late = make_request(11, "a", 100);
    late.expected_run = 1s;
    late.deadline = start + 9s;
    const auto answer = fair.submit(late, start);
    CHECK(answer.verdict == admission::admission_verdict::refuse);
    CHECK(answer.reason == admission::refusal_reason::deadline_too_near);
    CHECK_EQ(answer.retry_after / 1ms, 1000);
    late.deadline = start + 11s;
    CHECK(
        fair.submit(late, start).verdict == admission::admission_verdict::wait);
    // A request of another account with the same weight waits less.
    auto other = make_request(12, "b", 100);
    other.expected_run = 1s;
    other.deadline = start + 3s;
    CHECK(
        fair.submit(other, start).verdict ==
        admission::admission_verdict::wait);
}
