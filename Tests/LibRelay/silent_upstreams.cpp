// Guards against running calls that are given up because their upstream is
// silent for a while, although no repeat of them is certain.

#include "relay_fixture.hpp"

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::tests;
using namespace std::chrono_literals;

namespace {

/// Longer than a VM waits for a silent stream that it could resume elsewhere,
/// and shorter than the timeout of the routes.
constexpr auto long_silence = 2400ms;

reply silent_stream(std::chrono::milliseconds silence)
{
    return {
        signed_stream_head() + numbered_event(1),
        after_reply::keep,
        {{silence, numbered_event(2) + last_chunk()}}};
}

void check_whole(const answer& got)
{
    CHECK_EQ(got.status, 200);
    CHECK(got.whole);
    CHECK_NE(got.body.find("part 1"), std::string::npos);
    CHECK_NE(got.body.find("part 2"), std::string::npos);
}

} // namespace

// Failure: the attempt was given up first, and only then was asked whether the
// request may be repeated.
TEST_CASE("a silent stream goes on where its repeat is not permitted")
{
    struct row
    {
        std::string name;
        std::function<void(fleet::traffic_view&, membership::fleet_view&)>
            change; // During the silence.
    };
    const row rows[] = {
        {"the route is dropped",
         [](auto& view, auto&) {
             auto next = view.routes->source();
             next.version = 2;
             next.routes.clear();
             view.routes = std::make_shared<manifest::route_table>(next);
         }},
        {"the other upstream leaves",
         [](auto&, auto& fleet) {
             fleet.upstreams["second"].state =
                 membership::upstream_state::leaving;
         }},
        {"the other data centre is evacuated",
         [](auto& view, auto&) {
             view.evacuated = {"n-b"};
         }},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        relay_fixture it;
        scripted_upstream second(it.state);
        it.add_upstream("second", second.address());
        it.set_busy("second");
        it.upstream.set_replies({silent_stream(long_silence)});
        test_caller caller(it.address);
        caller.send(relay_request("/resume/1", "a"));
        CHECK(caller.read_until("part 1"));
        it.source->change(row.change);
        check_whole(caller.read());
        it.state.with([&] {
            CHECK_EQ(second.received.size(), 0);
        });
    }
}

// Failure: each stream of a silent upstream was given up, and the retry budget
// admitted a part of them.
TEST_CASE("streams that the retry budget does not cover stay at their upstream")
{
    relay_fixture it;
    // A repeat needs room for a second one, if its upstream rejects it.
    it.services->repeats = {0, 2, std::chrono::seconds(10)};
    scripted_upstream second(it.state);
    it.add_upstream("second", second.address());
    it.set_busy("second");
    it.upstream.set_replies({silent_stream(long_silence)});
    second.set_replies(
        {{signed_stream_head() + numbered_event(2) + last_chunk()}});
    std::vector<std::unique_ptr<test_caller>> callers;
    for (const auto* id : {"a", "b", "c"})
    {
        callers.push_back(std::make_unique<test_caller>(it.address));
        callers.back()->send(relay_request("/resume/1", id));
    }
    for (const auto& caller : callers)
    {
        check_whole(caller->read());
    }
    it.state.with([&] {
        CHECK_EQ(second.received.size(), 1);
    });
}

// Failure: the time limit of an attempt did not count the attempt itself, so
// that the last one was given up as well.
TEST_CASE("the last permitted attempt is not given up for silence")
{
    relay_fixture it;
    scripted_upstream second(it.state);
    scripted_upstream third(it.state);
    it.add_upstream("second", second.address());
    it.add_upstream("third", third.address());
    const reply late{"", after_reply::keep, {{900ms, signed_answer(200, "x")}}};
    for (auto* upstream : {&it.upstream, &second, &third})
    {
        upstream->set_replies({late});
    }
    const auto got = it.call(relay_request("/read/1", "a"));
    CHECK_EQ(got.status, 200);
    CHECK_EQ(got.body, "x");
    it.state.with([&] {
        CHECK_EQ(
            it.upstream.received.size() + second.received.size() +
                third.received.size(),
            2);
    });
}

// Failure: a sound upstream that paused for a second lost all its streams.
TEST_CASE("a stream stays at an upstream that pauses for a second and goes on")
{
    relay_fixture it;
    scripted_upstream second(it.state);
    it.add_upstream("second", second.address());
    it.set_busy("second");
    it.upstream.set_replies({silent_stream(1500ms)});
    check_whole(it.call(relay_request("/resume/1", "a")));
    it.state.with([&] {
        CHECK_EQ(second.received.size(), 0);
    });
}
