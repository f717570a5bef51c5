// Guards against a process that was paused or delayed between a decision and
// its use, and acts on a permission that has run out meanwhile.

#include "relay_fixture.hpp"

#include <doctest.h>

#include <charconv>
#include <thread>
#include <utility>

using namespace hyssoploft;
using namespace hyssoploft::tests;
using namespace std::chrono_literals;

namespace {

struct pause_case
{
    std::string name;
    core::duration pause;
    /// Changes during the pause.
    std::function<void(relay_fixture&)> change;
    unsigned status;
    std::size_t first;  // Calls that "first" gets.
    std::size_t second; // Calls that "second" gets.
};

void install_manifest(
    relay_fixture& it, const std::function<void(manifest::manifest&)>& change)
{
    it.source->change([&](auto& view, auto&) {
        auto next = view.routes->source();
        next.version += 1;
        change(next);
        view.routes = std::make_shared<manifest::route_table>(next);
    });
}

int deadline_of(const http::request& it)
{
    const auto text = http::header_value(it, "x-deadline-ms");
    int out = -1;
    (void)std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

} // namespace

TEST_CASE(
    "a call that was placed before a pause is checked again before it is sent")
{
    const pause_case rows[] = {
        {"nothing changed", 1s, [](auto&) {}, 200, 1, 0},
        {"data centre evacuated", 1s,
         [](auto& it) {
             it.source->change([](auto& view, auto&) {
                 view.evacuated = {"n-a"};
             });
         },
         200, 0, 1},
        {"upstream leaves", 1s,
         [](auto& it) {
             it.source->change([](auto&, auto& fleet) {
                 fleet.upstreams["first"].state =
                     membership::upstream_state::leaving;
             });
         },
         200, 0, 1},
        {"address belongs to another upstream", 1s,
         [](auto& it) {
             it.source->change([](auto&, auto& fleet) {
                 fleet.upstreams["first"].address = "127.0.0.1:1";
             });
         },
         200, 0, 1},
        {"key withdrawn", 1s,
         [](auto& it) {
             install_manifest(it, [](auto& next) {
                 next.accounts->front().keys = {"other"};
             });
         },
         401, 0, 0},
        {"key given to another account", 1s,
         [](auto& it) {
             install_manifest(it, [](auto& next) {
                 next.accounts->front().name = "other";
             });
         },
         401, 0, 0},
        {"route removed", 1s,
         [](auto& it) {
             install_manifest(it, [](auto& next) {
                 next.routes.clear();
             });
         },
         404, 0, 0},
        {"new manifest that permits it", 1s,
         [](auto& it) {
             install_manifest(it, [](auto&) {});
         },
         200, 1, 0},
        {"deadline passed", 4s, [](auto&) {}, 503, 0, 0},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        relay_fixture it;
        it.set_rate(100);
        scripted_upstream second(it.state);
        it.add_upstream("second", second.address());
        it.set_busy("second");
        for (auto* upstream : {&it.upstream, &second})
        {
            upstream->set_replies({{signed_answer(200, "done")}});
        }
        bool paused = false;
        it.codec->before_send = [&] {
            if (!std::exchange(paused, true))
            {
                it.clock->skip(row.pause);
                row.change(it);
            }
        };
        const auto got =
            it.call(relay_request("/order/1", "a", "x-key: k\r\n"));
        CHECK_EQ(got.status, row.status);
        it.state.with([&] {
            CHECK_EQ(it.upstream.received.size(), row.first);
            CHECK_EQ(second.received.size(), row.second);
            for (const auto& call : second.received)
            {
                // The time that passed is not handed to the upstream.
                CHECK(deadline_of(call) > 0);
                CHECK(deadline_of(call) <= (3s - row.pause) / 1ms);
            }
        });
        it.wait_idle();
        CHECK_EQ(it.limiter->refunded, row.status == 200 ? 0 : 1);
    }
}

// Guards against a stream that is not resumed, or resumed without permission,
// because the manifest changed while it ran.
TEST_CASE("a stream that ran is resumed if the new manifest still permits it")
{
    for (const bool is_permitted : {true, false})
    {
        CAPTURE(is_permitted);
        relay_fixture it;
        it.set_rate(100);
        scripted_upstream second(it.state);
        it.add_upstream("second", second.address());
        it.set_busy("second");
        it.upstream.set_replies(
            {{signed_stream_head() + numbered_event(1), after_reply::hold}});
        second.set_replies(
            {{signed_stream_head() + numbered_event(2) + last_chunk()}});
        test_caller caller(it.address);
        caller.send(relay_request("/resume/1", "a", "x-key: k\r\n"));
        CHECK(caller.read_until("part 1"));
        install_manifest(it, [&](auto& next) {
            next.accounts->front().keys = {is_permitted ? "k" : "other"};
        });
        const auto got = caller.read();
        CHECK_EQ(got.status, 200);
        CHECK_EQ(got.whole, is_permitted);
        it.state.with([&] {
            CHECK_EQ(second.received.size(), is_permitted ? 1 : 0);
        });
    }
}

TEST_CASE("after a pause of the process requests wait for news of the fleet")
{
    struct row
    {
        std::string name;
        bool is_heard; // The control thread hears a control VM again.
        std::size_t first;
        std::size_t second;
    };
    const row rows[] = {
        {"evacuation heard of after the pause", true, 0, 1},
        {"cut off from all control VMs", false, 1, 0},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        relay_fixture it;
        scripted_upstream second(it.state);
        it.add_upstream("second", second.address());
        it.set_busy("second");
        it.upstream.set_replies({{signed_answer(200, "done")}});
        second.set_replies({{signed_answer(200, "done")}});
        it.source->change([&](auto& view, auto&) {
            view.is_resuming = true;
        });
        test_caller caller(it.address);
        caller.send(relay_request("/order/1", "a"));
        while (it.server->requests() == 0)
        {
            std::this_thread::yield();
        }
        if (row.is_heard)
        {
            it.source->change([&](auto& view, auto&) {
                view.is_resuming = false;
                view.evacuated = {"n-a"};
            });
        }
        CHECK_EQ(caller.read().status, 200);
        it.state.with([&] {
            CHECK_EQ(it.upstream.received.size(), row.first);
            CHECK_EQ(second.received.size(), row.second);
        });
    }
}

TEST_CASE("a snapshot that the control thread did not renew is outdated")
{
    fleet::traffic_view it;
    const core::time_point built{100s};
    it.built = built;
    CHECK_FALSE(fleet::is_outdated(it, built + 600ms));
    CHECK(fleet::is_outdated(it, built + 3s));
    it.is_resuming = true;
    CHECK(fleet::is_outdated(it, built));
}
