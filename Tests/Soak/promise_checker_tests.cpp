// Guards against a soak that can't fail: each broken promise is reported.

#include <Soak/promise_checker.hpp>

#include <doctest.h>

using namespace hyssoploft;
using soak::promise_checker;
using soak::request_kind;

TEST_CASE("an order that runs twice is reported")
{
    promise_checker it;
    it.sent("a", request_kind::at_most_once, "shop");
    it.ran("a", "shop", false);
    CHECK(it.violations().empty());
    it.ran("a", "shop", false);
    CHECK(it.violations().size() == 1);
}

TEST_CASE("an idempotent request may run twice")
{
    promise_checker it;
    it.sent("a", request_kind::idempotent, "shop");
    it.ran("a", "shop", false);
    it.ran("a", "shop", false);
    CHECK(it.violations().empty());
}

TEST_CASE("a refusal of what ran, before or after it, is reported")
{
    promise_checker it;
    it.sent("a", request_kind::at_most_once, "shop");
    it.ran("a", "shop", false);
    it.answered("a", {503, "", "", true});
    CHECK(it.violations().size() == 1);
    it.sent("b", request_kind::at_most_once, "shop");
    it.answered("b", {429, "", "", true});
    it.ran("b", "shop", false);
    CHECK(it.violations().size() == 2);
}

TEST_CASE("a run for another account, with a key or unasked is reported")
{
    promise_checker it;
    it.sent("a", request_kind::idempotent, "shop");
    it.ran("a", "other", false);
    CHECK(it.violations().size() == 1);
    it.ran("a", "shop", true);
    CHECK(it.violations().size() == 2);
    it.ran("b", "shop", false);
    CHECK(it.violations().size() == 3);
}

TEST_CASE("an answer of another request or without a signature is reported")
{
    promise_checker it;
    it.sent("a", request_kind::idempotent, "shop");
    it.ran("a", "shop", false);
    it.answered("a", {200, "s", soak::plain_body("a", "s"), true});
    CHECK(it.violations().empty());
    CHECK(it.successes() == 1);
    it.answered("a", {200, "s", soak::plain_body("b", "s"), true});
    CHECK(it.violations().size() == 1);
    it.answered("a", {200, "", soak::plain_body("a", ""), true});
    CHECK(it.violations().size() == 2);
}

TEST_CASE("missing, repeated and early ended events are reported")
{
    promise_checker it;
    it.sent("a", request_kind::stream, "shop");
    it.ran("a", "shop", false);
    std::string whole;
    for (int n = 1; n <= soak::events_of_stream; ++n)
    {
        whole += soak::event_text("a", n);
    }
    it.answered("a", {200, "s", whole, true});
    it.answered("a", {200, "s", soak::event_text("a", 1), false});
    CHECK(it.violations().empty());
    it.answered("a", {200, "s", soak::event_text("a", 1), true});
    CHECK(it.violations().size() == 1);
    it.answered("a", {200, "s", soak::event_text("a", 2), false});
    CHECK(it.violations().size() == 2);
    it.answered(
        "a",
        {200, "s", soak::event_text("a", 1) + soak::event_text("a", 1), false});
    CHECK(it.violations().size() == 3);
}

TEST_CASE("a read that is older than what was acknowledged is reported")
{
    promise_checker it;
    it.acknowledged(7);
    it.read_back(7, it.newest_acknowledged());
    CHECK(it.violations().empty());
    it.read_back(6, it.newest_acknowledged());
    CHECK(it.violations().size() == 1);
}

TEST_CASE("an accepted request that a planned stop cuts off is reported")
{
    using std::chrono::milliseconds;
    promise_checker it;
    it.set_disturbance(soak::disturbance::planned_stops);
    it.sent("a", request_kind::idempotent, "shop");
    it.ran("a", "shop", false);
    it.answered("a", {0, "", "", false, milliseconds(20)});
    CHECK(it.violations().size() == 1);
    it.sent("b", request_kind::idempotent, "shop");
    it.answered("b", {0, "", "", false, milliseconds(300)});
    CHECK(it.violations().size() == 2);
    // It crossed the close of its connection.
    it.sent("c", request_kind::idempotent, "shop");
    it.answered("c", {0, "", "", false, milliseconds(20)});
    CHECK(it.violations().size() == 2);
}

TEST_CASE("requests that began under other faults are not held to more")
{
    promise_checker it;
    it.sent("a", request_kind::stream, "shop");
    it.set_disturbance(soak::disturbance::planned_stops);
    it.ran("a", "shop", false);
    it.ran("a", "shop", false);
    it.answered("a", {0, "", "", false, soak::longest_timeout});
    CHECK(it.violations().empty());
}

TEST_CASE("a stream that is started again because its upstream is silent is "
          "reported")
{
    promise_checker it;
    it.set_disturbance(soak::disturbance::silent_upstreams);
    it.sent("a", request_kind::stream, "shop");
    it.ran("a", "shop", false);
    it.ran("a", "shop", false);
    CHECK(it.violations().size() == 1);
    it.set_disturbance(soak::disturbance::faulty_answers);
    it.sent("b", request_kind::stream, "shop");
    it.ran("b", "shop", false);
    it.ran("b", "shop", false);
    CHECK(it.violations().size() == 1);
}

TEST_CASE("requests that are held past the time of their route are reported")
{
    using std::chrono::milliseconds;
    for (const std::size_t held : {7U, 8U})
    {
        promise_checker it;
        it.set_disturbance(soak::disturbance::faulty_answers);
        for (std::size_t n = 0; n < held; ++n)
        {
            const auto id = "r" + std::to_string(n);
            it.sent(id, request_kind::idempotent, "shop");
            it.answered(
                id,
                {0, "", "", false, soak::longest_timeout + milliseconds(500)});
        }
        it.finish();
        CHECK(it.violations().size() == (held > 7 ? 1 : 0));
    }
}

TEST_CASE("a request that reaches an upstream after its departure is reported")
{
    promise_checker it;
    it.set_disturbance(soak::disturbance::departures);
    it.sent("early", request_kind::idempotent, "shop");
    it.set_disturbance(soak::disturbance::departures);
    it.sent("late", request_kind::idempotent, "shop");
    it.ran_after_departure("early", "u1");
    CHECK(it.violations().empty());
    it.ran_after_departure("late", "u1");
    CHECK(it.violations().size() == 1);
}
