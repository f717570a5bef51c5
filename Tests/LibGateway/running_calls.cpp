// Guards against calls that wait until their deadline because the connection to
// a dead VM stays open, and against running work that is given up because its
// upstream was only slow to report.

#include <LibGateway/running_calls.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace std::chrono_literals;
using membership::vm_state;

namespace {

struct row
{
    const char* name;
    std::string via_vm;
    vm_state vm;
    core::duration silence;
    int lost;
};

} // namespace

TEST_CASE("calls are cancelled when their target is gone and silent")
{
    const row rows[] = {
        {"VM dead", "v2", vm_state::dead, 3s, 1},
        {"VM dead, still sends", "v2", vm_state::dead, 2s, 0},
        {"VM suspect", "v2", vm_state::suspect, 9s, 0},
        {"VM leaving", "v2", vm_state::leaving, 9s, 0},
        {"VM unknown", "v9", vm_state::alive, 9s, 1},
        {"direct call", "", vm_state::alive, 9s, 0},
    };
    for (const auto& it : rows)
    {
        CAPTURE(it.name);
        membership::fleet_view fleet;
        fleet.vms["v2"].state = it.vm;
        const core::time_point now(60s);
        int lost = 0;
        gateway::running_calls calls;
        calls.add(
            {it.via_vm,
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
