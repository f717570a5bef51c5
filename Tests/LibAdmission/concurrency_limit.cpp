// Guards against a concurrency limit that leaves its bounds, stays high under
// overload or does not recover afterwards.

#include <LibAdmission/concurrency_limit.hpp>

#include <doctest.h>

#include <algorithm>

using namespace hyssoploft;
using namespace std::chrono_literals;

namespace {

// Simulates an upstream that serves `slots` calls at a time, 100 ms each, and
// queues the rest, under as many calls as the limit allows.
void observe_calls(
    admission::concurrency_limit& limit, double slots, int calls,
    core::time_point& now)
{
    for (int n = 0; n < calls; ++n)
    {
        const auto in_flight = limit.limit();
        const double seconds = 0.1 * std::max(1.0, in_flight / slots);
        now += core::from_seconds(seconds / in_flight);
        limit.observe(core::from_seconds(seconds), in_flight, false, now);
    }
}

} // namespace

TEST_CASE(
    "both rules converge to the upstream's capacity and follow its decrease")
{
    using admission::limit_rule;
    for (const auto rule : {limit_rule::gradient, limit_rule::aimd})
    {
        CAPTURE(core::name_of(admission::limit_rule_names, rule));
        admission::concurrency_limit limit({rule, 1, 256, 4});
        core::time_point now{1h};
        observe_calls(limit, 32, 4000, now);
        CHECK_GE(limit.limit(), 24);
        CHECK_LE(limit.limit(), 96);
        observe_calls(limit, 8, 1000, now);
        CHECK_LE(limit.limit(), 32);
        CHECK_GE(limit.limit(), 4);
        for (int n = 0; n < 1000; ++n)
        {
            now += 1s;
            limit.observe(100ms, 4, true, now);
        }
        CHECK_EQ(limit.limit(), 1);
        observe_calls(limit, 32, 3000, now);
        CHECK_GE(limit.limit(), 16);
    }
}

TEST_CASE(
    "an unused limit does not grow; calls in flight together decrease it once")
{
    admission::concurrency_limit limit;
    core::time_point now{1h};
    for (int n = 0; n < 1000; ++n)
    {
        limit.observe(100ms, 1, false, now += 10ms);
    }
    CHECK_EQ(limit.limit(), 8);
    for (int n = 0; n < 20; ++n)
    {
        limit.observe(100ms, 8, true, now);
    }
    CHECK_EQ(limit.limit(), 6);
}
