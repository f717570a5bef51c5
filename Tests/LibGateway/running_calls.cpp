// Guards against calls that wait until their deadline because the connection to
// a dead VM or an expired upstream stays open.

#include <LibGateway/running_calls.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace std::chrono_literals;
using membership::upstream_state;
using membership::vm_state;

namespace {

struct row
{
    const char* name;
    std::string via_vm;
    vm_state vm;
    upstream_state upstream;
    core::duration silence;
    int lost;
};

} // namespace

TEST_CASE("calls are cancelled when their target is gone and silent")
{
    const row rows[] = {
        {"VM dead", "v2", vm_state::dead, upstream_state::serving, 3s, 1},
        {"VM dead, still sends", "v2", vm_state::dead, upstream_state::serving,
         2s, 0},
        {"VM suspect", "v2", vm_state::suspect, upstream_state::serving, 9s, 0},
        {"VM leaving", "v2", vm_state::leaving, upstream_state::serving, 9s, 0},
        {"VM unknown", "v9", vm_state::alive, upstream_state::serving, 9s, 1},
        {"upstream expired", "", vm_state::alive, upstream_state::expired, 3s,
         1},
        {"upstream leaving", "", vm_state::alive, upstream_state::leaving, 9s,
         0},
        {"upstream of another region", "v2", vm_state::alive,
         upstream_state::expired, 9s, 0},
    };
    for (const auto& it : rows)
    {
        CAPTURE(it.name);
        membership::fleet_view fleet;
        fleet.vms["v2"].state = it.vm;
        fleet.upstreams["u1"].state = it.upstream;
        const core::time_point now(60s);
        int lost = 0;
        gateway::running_calls calls;
        calls.add(
            {it.via_vm, "u1",
             std::make_shared<gateway::last_byte_time>(
                 (now - it.silence).time_since_epoch().count()),
             [&lost] {
                 ++lost;
             }});
        calls.cancel_lost(fleet, now);
        calls.cancel_lost(fleet, now);
        CHECK_EQ(lost, it.lost);
    }
}
