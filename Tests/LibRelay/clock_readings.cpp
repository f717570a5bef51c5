// Guards against decisions that compare two readings of the clock as if they
// were one moment. The order in which operands are evaluated differs between
// compilers and machines: a decision that reads the left one first fails with a
// clock that goes back, one that reads the right one first with a clock that
// advances.

#include "relay_fixture.hpp"

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::tests;
using namespace std::chrono_literals;

namespace {

std::string stream_of_two()
{
    return signed_stream_head() + numbered_event(1) + numbered_event(2) +
           last_chunk();
}

} // namespace

TEST_CASE("a clock that moves at each reading refuses no request")
{
    struct row
    {
        const char* path;
        std::string reply;
    };
    const row rows[] = {
        {"/order/1", signed_answer(200, "done")},
        {"/read/1", signed_answer(200, "done")},
        {"/stream/1", stream_of_two()},
        {"/resume/1", stream_of_two()},
        {"/generate/1", stream_of_two()},
    };
    for (const auto& row : rows)
    {
        for (const core::duration step :
             {1ns, 1000ns, 1000000ns, -1000ns, -1000000ns})
        {
            CAPTURE(row.path);
            CAPTURE(step.count());
            relay_fixture it;
            it.add_engine("engine", it.upstream.address());
            it.clock->set_step(step);
            it.upstream.set_replies({{row.reply}});
            const auto got = it.call(relay_request(row.path, "a"));
            CHECK_EQ(got.status, 200);
            CHECK(got.whole);
        }
    }
}

TEST_CASE("a pause that ended at the last reading stops no request")
{
    relay_fixture it;
    it.clock->set_step(1ms);
    it.upstream.set_replies(
        {{signed_answer(
             503, "busy", "{id}", "Retry-After: 1\r\nx-not-run: 1\r\n")},
         {signed_answer(200, "done")}});
    CHECK_EQ(it.call(relay_request("/order/1", "a")).status, 503);
    it.clock->skip(1s);
    CHECK_EQ(it.call(relay_request("/order/2", "b")).status, 200);
}
