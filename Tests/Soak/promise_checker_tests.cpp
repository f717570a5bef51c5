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
