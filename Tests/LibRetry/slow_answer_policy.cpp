// Guards against second calls that must not be sent, and against second calls
// that add to the load of upstreams that are slow because they are overloaded.

#include <LibRetry/slow_answer_policy.hpp>

#include <doctest.h>

#include <functional>

using namespace hyssoploft;
using namespace hyssoploft::retry;
using namespace std::chrono_literals;
using reason = second_call_reason;

namespace {

constexpr core::time_point start{1000s};
constexpr core::duration target = 400ms;
/// The 95th percentile of the recorded latencies below.
constexpr core::duration usual_delay = 95ms;

slow_answer_settings tenth()
{
    slow_answer_settings out;
    out.share = 0.1;
    return out;
}

/// Requests of a calm role: answers take 1 to 100 ms.
void add_calm_traffic(slow_answer_policy& policy)
{
    for (int i = 1; i <= 100; ++i)
    {
        policy.on_request(start);
        policy.record_answer(i * 1ms);
    }
}

slow_call permitted_call()
{
    slow_call out;
    out.is_repeatable = true;
    out.may_run_again = true;
    out.is_sent = true;
    out.is_permitted = true;
    out.has_repeat_budget = true;
    out.sent_at = start;
    out.arrived = start;
    out.deadline = start + 3s;
    out.latency_target = target;
    return out;
}

} // namespace

TEST_CASE("each condition on the call prevents a second one for its own reason")
{
    struct row
    {
        const char* name;
        std::function<void(slow_call&)> change;
        core::duration elapsed;
        reason expected;
    };
    const row rows[] = {
        {"slow", [](auto&) {}, usual_delay, reason::allowed},
        {"before the delay", [](auto&) {}, usual_delay - 1ms,
         reason::too_early},
        {"not repeatable",
         [](auto& it) {
             it.is_repeatable = false;
         },
         150ms, reason::not_repeatable},
        {"a second call was sent",
         [](auto& it) {
             it.has_second_call = true;
         },
         150ms, reason::already_sent},
        {"no attempt left",
         [](auto& it) {
             it.may_run_again = false;
         },
         150ms, reason::attempts_used_up},
        {"the VM stops",
         [](auto& it) {
             it.is_stopping = true;
         },
         150ms, reason::stopping},
        {"still connecting",
         [](auto& it) {
             it.is_sent = false;
         },
         150ms, reason::not_connected},
        {"not admitted any more",
         [](auto& it) {
             it.is_permitted = false;
         },
         150ms, reason::not_permitted},
        {"the fleet's budget is used up",
         [](auto& it) {
             it.has_repeat_budget = false;
         },
         150ms, reason::repeat_budget_used_up},
        {"the target has passed", [](auto&) {}, target, reason::too_late},
        {"the request had waited before",
         [](auto& it) {
             it.arrived = start - 300ms;
         },
         100ms, reason::too_late},
        {"the deadline is near",
         [](auto& it) {
             it.deadline = start + 150ms;
         },
         150ms, reason::too_late},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        slow_answer_policy policy(tenth());
        add_calm_traffic(policy);
        auto call = permitted_call();
        row.change(call);
        CHECK_EQ(policy.check_call(call, start + row.elapsed), row.expected);
    }
}

TEST_CASE("a second call goes only to an upstream that is clearly faster")
{
    struct row
    {
        const char* name;
        second_upstream upstream;
        core::duration elapsed;
        reason expected;
    };
    const row rows[] = {
        {"idle", {0.05, 0, 8, false}, 100ms, reason::allowed},
        {"half of its places are taken",
         {0.05, 4, 8, false},
         100ms,
         reason::allowed},
        {"more than half",
         {0.05, 4.5, 8, false},
         100ms,
         reason::upstreams_busy},
        {"paused", {0.05, 0, 8, true}, 100ms, reason::no_upstream},
        {"as slow as the first", {0.06, 0, 8, false}, 100ms, reason::no_gain},
        {"no capacity stated",
         {0.05, 1, 0, false},
         100ms,
         reason::upstreams_busy},
        {"twice its time is left", {0.1, 0, 8, false}, 200ms, reason::allowed},
        {"less is left", {0.1, 0, 8, false}, 201ms, reason::too_late},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        const slow_answer_policy policy(tenth());
        CHECK_EQ(
            policy.check_upstream(
                permitted_call(), row.upstream, start + row.elapsed),
            row.expected);
    }
}

TEST_CASE("the delay follows recent latencies and what callers need")
{
    struct row
    {
        const char* name;
        int answers;
        core::duration latency; // Of each answer.
        core::duration latency_target;
        core::duration expected;
    };
    const row rows[] = {
        {"no answers yet", 0, 0ms, 400ms, 200ms},
        {"too few answers", 31, 100ms, 400ms, 200ms},
        {"enough answers", 32, 100ms, 400ms, 100ms},
        {"fast answers", 500, 1ms, 400ms, 40ms},
        {"fast answers, short target", 500, 1ms, 50ms, 20ms},
        {"slow answers", 500, 900ms, 400ms, 900ms},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        slow_answer_policy policy(tenth());
        for (int i = 0; i < row.answers; ++i)
        {
            policy.record_answer(row.latency);
        }
        CHECK_EQ(policy.delay(row.latency_target), row.expected);
    }
}

// Load: most answers are slow, so that almost every call is a candidate.
TEST_CASE("second calls stay within the operators' share of the requests")
{
    for (const double share : {0.0, 0.01, 0.1})
    {
        CAPTURE(share);
        slow_answer_settings settings;
        settings.share = share;
        slow_answer_policy policy(settings);
        int sent = 0;
        const int requests = 6000;
        for (int i = 0; i < requests; ++i)
        {
            const auto now = start + i * 10ms;
            policy.on_request(now);
            auto call = permitted_call();
            call.arrived = call.sent_at = now - 300ms;
            call.deadline = now + 3s;
            const auto decided = policy.check_call(call, now);
            if (decided != reason::allowed)
            {
                CHECK_EQ(decided, reason::share_used_up);
                continue;
            }
            CHECK(policy.take(now));
            ++sent;
        }
        CHECK_LE(sent, share * requests);
        CHECK_GE(sent, share * requests * 0.8);
    }
}

// Load: more calls than the upstreams can run, of which they reject some.
TEST_CASE("there are no second calls while upstreams reject calls")
{
    slow_answer_policy policy(tenth());
    add_calm_traffic(policy);
    const auto call = permitted_call();
    policy.record_rejection(start);
    CHECK_EQ(policy.check_call(call, start + 200ms), reason::upstreams_reject);
    auto later = call;
    later.arrived = later.sent_at = start + 900ms;
    later.deadline = start + 4s;
    CHECK_EQ(policy.check_call(later, start + 999ms), reason::upstreams_reject);
    CHECK_EQ(policy.check_call(later, start + 1s), reason::allowed);
}
