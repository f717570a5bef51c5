// Guards against retries of requests that must not run twice, and against
// failures that reach the caller although a retry is allowed.

#include <LibRelay/repeat_rules.hpp>

#include <doctest.h>

using namespace hyssoploft;
using manifest::repeat_kind;

TEST_CASE(
    "only idempotent requests and resumable streams may run more than once")
{
    struct rule_case
    {
        repeat_kind kind;
        std::uint32_t max_executions;
        relay::attempt_counts counts;
        bool expected;
    };
    const rule_case cases[] = {
        {repeat_kind::idempotent, 2, {1, 1}, true},
        {repeat_kind::idempotent, 2, {2, 2}, false},
        {repeat_kind::idempotent, 1, {1, 1}, false},
        // An engine that answered 500 before the first event.
        {repeat_kind::resumable_stream, 2, {1, 1}, true},
        {repeat_kind::resumable_stream, 2, {2, 2}, false},
        {repeat_kind::at_most_once, 9, {1, 1}, false},
        {repeat_kind::streamed, 9, {1, 1}, false},
        {repeat_kind::idempotent,
         9,
         {relay::max_attempts_per_request, 1},
         false}};
    for (const auto& it : cases)
    {
        CAPTURE(static_cast<int>(it.kind));
        CAPTURE(it.counts.executions);
        CHECK(
            relay::may_rerun(it.kind, it.max_executions, it.counts) ==
            it.expected);
    }
}

TEST_CASE("requests that did not run are retried a limited number of times")
{
    CHECK(relay::may_resend({1, 0}));
    CHECK_FALSE(relay::may_resend({relay::max_attempts_per_request, 0}));
}

// Guards against work that is given up although its upstream was only silent
// for a while, and no repeat of it is certain.
TEST_CASE("a call waits for a silent peer until its deadline")
{
    using namespace std::chrono_literals;
    struct row
    {
        std::chrono::milliseconds time_left;
        std::chrono::milliseconds expected;
    };
    const row rows[] = {
        {6s, 6s}, {12s, 12s}, {3s, 3s}, {1500ms, 1500ms}, {300ms, 1500ms}};
    for (const auto& it : rows)
    {
        CAPTURE(it.time_left.count());
        CHECK(relay::silence_timeout_for(1500ms, it.time_left) == it.expected);
    }
}
