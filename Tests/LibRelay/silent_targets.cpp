// Guards against running work that is started again elsewhere, or given up,
// because its upstream or the control VMs were silent for a while.

#include "relay_fixture.hpp"

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::tests;
using namespace std::chrono_literals;

namespace {

using fleet_change =
    std::function<void(fleet::traffic_view&, membership::fleet_view&)>;

struct silence_case
{
    std::string name;
    fleet_change change; // While the call runs.
};

} // namespace

TEST_CASE("a running call goes on whatever becomes of its upstream's reports")
{
    const silence_case rows[] = {
        {"reports overdue",
         [](auto&, auto& fleet) {
             fleet.upstreams["first"].silent = true;
         }},
        {"lease expired",
         [](auto&, auto& fleet) {
             fleet.upstreams["first"].state =
                 membership::upstream_state::expired;
         }},
        {"no longer listed",
         [](auto&, auto& fleet) {
             fleet.upstreams.erase("first");
         }},
        {"no control VM replies",
         [](auto& view, auto&) {
             view.live_control_vms = 0;
         }},
    };
    for (const auto& row : rows)
    {
        for (const std::string path : {"/order/1", "/read/1", "/resume/1"})
        {
            CAPTURE(row.name);
            CAPTURE(path);
            relay_fixture it;
            scripted_upstream second(it.state);
            it.add_upstream("second", second.address());
            it.set_busy("second");
            const bool is_stream = path == "/resume/1";
            it.upstream.set_replies(
                {{"",
                  after_reply::keep,
                  {{150ms, is_stream ? signed_stream_head() +
                                           numbered_event(1) + last_chunk()
                                     : signed_answer(200, "part 1")}}}});
            test_caller caller(it.address);
            caller.send(relay_request(path, "a"));
            CHECK(it.state.wait([&] {
                return it.upstream.received.size() == 1;
            }));
            it.source->change(row.change);
            const auto got = caller.read();
            CHECK_EQ(got.status, 200);
            CHECK(got.whole);
            CHECK_NE(got.body.find("part 1"), std::string::npos);
            it.state.with([&] {
                CHECK_EQ(second.received.size(), 0);
            });
        }
    }
}
