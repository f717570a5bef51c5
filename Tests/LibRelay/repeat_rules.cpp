// Guards against requests that run twice and must not, and against failures
// that reach the caller although a repeat is allowed.

#include <LibRelay/repeat_rules.hpp>

#include <doctest.h>

using namespace hyssoploft;
using manifest::repeat_kind;

TEST_CASE("only idempotent requests and resumable streams run again")
{
    struct rule_case
    {
        repeat_kind kind;
        std::uint32_t max_runs;
        relay::attempts_so_far so_far;
        bool again;
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
        {repeat_kind::idempotent, 9, {relay::max_tries, 1}, false}};
    for (const auto& it : cases)
    {
        CAPTURE(static_cast<int>(it.kind));
        CAPTURE(it.so_far.runs);
        CHECK(
            relay::may_run_again(it.kind, it.max_runs, it.so_far) == it.again);
    }
}

TEST_CASE("what did not run is sent elsewhere a few times at most")
{
    CHECK(relay::may_send_again({1, 0}));
    CHECK_FALSE(relay::may_send_again({relay::max_tries, 0}));
}
