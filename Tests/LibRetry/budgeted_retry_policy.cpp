// Guards against retries of calls that may have run, retries that would miss
// the deadline, and retry storms.

#include <LibRetry/budgeted_retry_policy.hpp>

#include <Support/seeded_property.hpp>

#include <doctest.h>

#include <deque>
#include <set>

using namespace hyssoploft;
using namespace hyssoploft::retry;
using namespace std::chrono_literals;

namespace {

constexpr core::time_point start{1000s};

failed_call call_with(run_state state, bool idempotent)
{
    failed_call it;
    it.state = state;
    it.idempotent = idempotent;
    it.deadline = start + 60s;
    return it;
}

} // namespace

TEST_CASE("each condition refuses with its own reason")
{
    struct condition_case
    {
        const char* name;
        failed_call call;
        retry_reason expected_reason;
    };
    failed_call partly_answered = call_with(run_state::may_have_run, true);
    partly_answered.answer_started = true;
    failed_call third_attempt = call_with(run_state::not_run, true);
    third_attempt.attempts = 3;
    failed_call near_deadline = call_with(run_state::not_run, true);
    near_deadline.deadline = start + 10ms;
    failed_call long_run = call_with(run_state::not_run, true);
    long_run.deadline = start + 2s;
    long_run.expected_run = 3s;
    const condition_case condition_cases[] = {
        {"not run", call_with(run_state::not_run, false),
         retry_reason::allowed},
        {"may have run, idempotent", call_with(run_state::may_have_run, true),
         retry_reason::allowed},
        {"may have run, not idempotent",
         call_with(run_state::may_have_run, false), retry_reason::may_have_run},
        {"the caller has part of the answer", partly_answered,
         retry_reason::answer_started},
        {"third attempt", third_attempt, retry_reason::too_many_attempts},
        {"deadline within the backoff", near_deadline,
         retry_reason::deadline_too_near},
        {"run would miss the deadline", long_run,
         retry_reason::deadline_too_near}};
    for (const condition_case& it : condition_cases)
    {
        CAPTURE(it.name);
        core::seeded_random random(1);
        budgeted_retry_policy policy({}, random);
        CHECK_EQ(policy.decide(it.call, start).reason, it.expected_reason);
    }
}

TEST_CASE("the backoff grows exponentially, has jitter and is bounded")
{
    core::seeded_random random(2);
    retry_settings settings;
    settings.max_attempts = 100;
    settings.budget_base_attempts = 1000;
    budgeted_retry_policy policy(settings, random);
    std::set<core::duration> distinct_waits;
    for (std::uint32_t n = 1; n <= 20; ++n)
    {
        failed_call it = call_with(run_state::not_run, true);
        it.attempts = n;
        const core::duration wait = policy.decide(it, start).backoff;
        const core::duration full_backoff =
            std::min<core::duration>(25ms * (1U << std::min(n - 1, 10U)), 1s);
        CHECK_GE(wait, full_backoff / 2);
        CHECK_LE(wait, full_backoff);
        distinct_waits.insert(wait);
    }
    CHECK_EQ(distinct_waits.size(), 20);
}

TEST_CASE("no retry storm when every upstream fails")
{
    core::seeded_random random(3);
    const retry_settings settings;
    budgeted_retry_policy policy(settings, random);
    // 200 calls/s for 60 s; every attempt fails at once.
    int retries = 0;
    const int requests = 200 * 60;
    for (int i = 0; i < requests; ++i)
    {
        const core::time_point now = start + i * 5ms;
        policy.on_request(now);
        failed_call it = call_with(run_state::not_run, true);
        it.deadline = now + 60s;
        while (policy.decide(it, now).allowed())
        {
            ++retries;
            ++it.attempts;
        }
    }
    const double windows = 60.0 / core::to_seconds(settings.budget_window);
    CHECK_LE(
        retries, settings.budget_share * requests +
                     settings.budget_base_attempts * (windows + 1));
    // The policy must not withhold more than a fifth of the budget.
    CHECK_GE(retries, settings.budget_share * requests * 0.8);
}

TEST_CASE("a window never holds more retries than the budget")
{
    CHECK(tests::holds(12, 100, [] {
        core::seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
        const retry_settings settings;
        budgeted_retry_policy policy(settings, random);
        std::deque<core::time_point> requests;
        std::deque<core::time_point> retries;
        core::time_point now = start;
        for (int i = 0; i < 300; ++i)
        {
            now += *rc::gen::inRange(0, 400) * 1ms;
            for (int n = *rc::gen::inRange(0, 4); n > 0; --n)
            {
                policy.on_request(now);
                requests.push_back(now);
            }
            const bool may_have_run = *rc::gen::arbitrary<bool>();
            const bool idempotent = *rc::gen::arbitrary<bool>();
            failed_call it = call_with(
                may_have_run ? run_state::may_have_run : run_state::not_run,
                idempotent);
            it.deadline = now + *rc::gen::inRange(0, 5000) * 1ms;
            const retry_decision decision = policy.decide(it, now);
            if (!decision.allowed())
            {
                continue;
            }
            RC_ASSERT(idempotent || !may_have_run);
            RC_ASSERT(now + decision.backoff < it.deadline);
            retries.push_back(now);
            const auto is_outside_window = [&](core::time_point t) {
                return t <= now - settings.budget_window;
            };
            std::erase_if(requests, is_outside_window);
            std::erase_if(retries, is_outside_window);
            RC_ASSERT(
                static_cast<double>(retries.size()) <=
                settings.budget_share * static_cast<double>(requests.size()) +
                    settings.budget_base_attempts);
        }
    }));
}

// Guards against retries of nearly two budgets inside one window: the oldest
// part of it was forgotten before the window had passed.
TEST_CASE("a budget that is used up at once returns after a whole window")
{
    for (const auto offset : {0ms, 1ms, 500ms, 950ms, 999ms})
    {
        CAPTURE(offset.count());
        const auto window = 10s;
        const auto used = start + offset;
        attempt_budget budget(0.0, 3, window);
        for (int n = 0; n < 3; ++n)
        {
            CHECK(budget.take(used));
        }
        for (auto now = used; now < used + window; now += 10ms)
        {
            CHECK_FALSE(budget.take(now));
        }
        // At most a tenth of the window later.
        CHECK(budget.take(used + window + 1s));
    }
}
