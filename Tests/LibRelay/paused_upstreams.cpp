// Guards against requests to an upstream that refused one with 503 and
// Retry-After, on every way to an upstream, before that time has passed.

#include "relay_fixture.hpp"

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::tests;
using namespace std::chrono_literals;

namespace {

std::string refusal(std::string_view headers)
{
    return signed_answer(
        503, "busy", "{id}", "Retry-After: 5\r\n" + std::string(headers));
}

std::size_t received(relay_fixture& it, const scripted_upstream& from)
{
    return it.state.with([&] {
        return from.received.size();
    });
}

double retry_after_of(const answer& it)
{
    return it.retry_after.empty() ? 0 : std::stod(it.retry_after);
}

} // namespace

TEST_CASE("an upstream that asks for a pause gets no request until its end")
{
    struct row
    {
        std::string name;
        std::string text;
        unsigned first_status;
    };
    const row rows[] = {
        {"with a statement that it has not run", refusal("x-not-run: 1\r\n"),
         503},
        {"without one", refusal(""), 502},
        {"cut inside its body",
         refusal("x-not-run: 1\r\n")
             .substr(0, refusal("x-not-run: 1\r\n").size() - 2),
         503},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        relay_fixture it;
        it.upstream.set_replies(
            {{row.text,
              row.text.back() == 'y' ? after_reply::keep : after_reply::close},
             {signed_answer(200, "done")}});
        CHECK_EQ(
            it.call(relay_request("/order/1", "a")).status, row.first_status);
        for (const auto* path : {"/order/2", "/read/2", "/resume/2"})
        {
            CAPTURE(path);
            const auto got = it.call(relay_request(path, "b"));
            CHECK_EQ(got.status, 503);
            // From the end of the pause, not from the present.
            CHECK(retry_after_of(got) >= 4);
            CHECK(retry_after_of(got) <= 6);
        }
        CHECK_EQ(received(it, it.upstream), 1);
        it.clock->skip(4500ms);
        CHECK_EQ(it.call(relay_request("/order/3", "c")).status, 503);
        it.clock->skip(600ms);
        CHECK_EQ(it.call(relay_request("/order/4", "d")).status, 200);
        CHECK_EQ(received(it, it.upstream), 2);
    }
}

TEST_CASE("requests go on at the upstreams that did not ask for a pause")
{
    relay_fixture it;
    scripted_upstream second(it.state);
    it.add_upstream("second", second.address());
    it.set_busy("second");
    it.upstream.set_replies({{refusal("x-not-run: 1\r\n")}});
    second.set_replies({{signed_answer(200, "done")}});
    for (int n = 0; n < 10; ++n)
    {
        CHECK_EQ(
            it.call(relay_request("/order/1", std::to_string(n))).status, 200);
    }
    CHECK_EQ(received(it, it.upstream), 1);
    CHECK_EQ(received(it, second), 10);
}

// A request that was placed before the answer came is placed again.
TEST_CASE("the pause is looked at again next to the send")
{
    relay_fixture it;
    it.upstream.set_replies({{signed_answer(200, "done")}});
    it.codec->before_send = [&] {
        it.services->router->pauses().add("first", 0, 5s, it.clock->now());
    };
    CHECK_EQ(it.call(relay_request("/order/1", "a")).status, 503);
    CHECK_EQ(received(it, it.upstream), 0);
}

TEST_CASE("a new incarnation is not paused")
{
    relay_fixture it;
    it.source->change([](auto&, auto& fleet) {
        fleet.upstreams["first"].incarnation = 1;
    });
    it.upstream.set_replies(
        {{refusal("x-not-run: 1\r\n")}, {signed_answer(200, "done")}});
    CHECK_EQ(it.call(relay_request("/order/1", "a")).status, 503);
    CHECK_EQ(it.call(relay_request("/order/2", "b")).status, 503);
    it.source->change([](auto&, auto& fleet) {
        fleet.upstreams["first"].incarnation = 2;
    });
    CHECK_EQ(it.call(relay_request("/order/3", "c")).status, 200);
}

TEST_CASE("a running stream goes on while its upstream is paused")
{
    relay_fixture it;
    it.upstream.set_replies(
        {{signed_stream_head() + numbered_event(1),
          after_reply::keep,
          {{300ms, numbered_event(2) + last_chunk()}}}});
    test_caller caller(it.address);
    caller.send(relay_request("/resume/1", "a"));
    CHECK(caller.read_until("part 1"));
    http::asio::post(it.context(), [&] {
        it.services->router->pauses().add("first", 0, 5s, it.clock->now());
    });
    const auto got = caller.read();
    CHECK_EQ(got.status, 200);
    CHECK(got.whole);
}
