// Guards against hedges of calls that must not run twice, and against hedges
// that multiply the load of upstreams that are already slow.

#include <LibRetry/hedge_policy.hpp>

#include <doctest.h>

#include <functional>

using namespace hyssoploft;
using namespace hyssoploft::retry;
using namespace std::chrono_literals;

namespace {

constexpr core::time_point start{1000s};

waiting_call hedgeable_call()
{
    return {true, true, true, false, start, start + 60s, 5s};
}

} // namespace

TEST_CASE("each condition of a hedge refuses with its own reason")
{
    struct condition_case
    {
        const char* name;
        std::function<void(waiting_call&)> apply;
        core::duration elapsed;
        hedge_reason expected_reason;
    };
    const condition_case condition_cases[] = {
        {"the delay has passed", [](auto&) {}, 500ms, hedge_reason::allowed},
        {"before the delay", [](auto&) {}, 499ms, hedge_reason::too_early},
        {"not idempotent",
         [](auto& it) {
             it.idempotent = false;
         },
         1s, hedge_reason::not_idempotent},
        {"batch",
         [](auto& it) {
             it.interactive = false;
         },
         1s, hedge_reason::batch},
        {"upstream can't cancel",
         [](auto& it) {
             it.cancellable = false;
         },
         1s, hedge_reason::not_cancellable},
        {"second attempt was sent",
         [](auto& it) {
             it.has_hedge = true;
         },
         1s, hedge_reason::already_hedged},
        {"would miss the deadline", [](auto&) {}, 55s,
         hedge_reason::deadline_too_near}};
    for (const condition_case& it : condition_cases)
    {
        CAPTURE(it.name);
        hedge_policy policy{hedge_settings()};
        waiting_call call = hedgeable_call();
        it.apply(call);
        CHECK_EQ(policy.decide(call, start + it.elapsed), it.expected_reason);
    }
}

TEST_CASE("hedges add a tenth to the calls of a slow fleet, not as many again")
{
    const hedge_settings settings;
    hedge_policy policy(settings);
    int hedges = 0;
    const int requests = 6000;
    for (int i = 0; i < requests; ++i)
    {
        const core::time_point now = start + i * 10ms;
        policy.on_request(now);
        waiting_call call = hedgeable_call();
        call.sent_at = now - 1s;
        call.deadline = now + 60s;
        hedges += policy.decide(call, now) == hedge_reason::allowed ? 1 : 0;
    }
    CHECK_LE(
        hedges,
        settings.budget_share * requests + settings.budget_base_attempts * 7.0);
    CHECK_GE(hedges, settings.budget_share * requests * 0.8);
}
