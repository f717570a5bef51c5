// Guards against a process that was paused and then acts on a permission that
// ran out meanwhile.

#include "gateway_fixture.hpp"

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::tests;

TEST_CASE("a call whose time ran out during a pause of the process is not sent")
{
    struct row
    {
        const char* name;
        std::string request;
    };
    const row rows[] = {
        {"whole answer", chat_text()},
        {"stream", chat_text(true)},
        {"order", booking_text()},
        {"idempotent call",
         request_text("GET", "/catalogue", "", key_header())},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        gateway_fixture it;
        it.routing.on_choice = [&] {
            it.clock->skip(std::chrono::hours(1));
        };
        const auto got = it.call(row.request);
        CHECK_EQ(got.status, 504);
        CHECK_EQ(got.not_run, "true");
        CHECK(it.wait_idle());
        CHECK_EQ(it.calls(), 0);
        it.state.with([&] {
            REQUIRE_EQ(it.routing.finished.size(), 1);
            CHECK(
                it.routing.finished[0].result.outcome ==
                routing::call_outcome::cancelled);
        });
    }
}

TEST_CASE("an order withdrawn by a pause may be sent again")
{
    gateway_fixture it;
    it.routing.on_choice = [&] {
        it.clock->skip(std::chrono::hours(1));
    };
    CHECK_EQ(it.call(booking_text()).status, 504);
    CHECK(it.wait_idle());
    it.state.with([&] {
        REQUIRE_EQ(it.ledger->begun.size(), 1);
        REQUIRE_EQ(it.ledger->abandoned.size(), 1);
        CHECK_EQ(it.ledger->abandoned[0], it.ledger->begun[0].attempt);
    });
}
