// Cancels calls to VMs that have left the membership.

#include <LibGateway/running_calls.hpp>

#include <utility>
#include <vector>

namespace hyssoploft::gateway {

namespace {

bool is_target_gone(const membership::fleet_view& fleet, const running_call& it)
{
    // An upstream whose reports are overdue may still run its calls. If it is
    // lost, the connection ends them before its lease expires.
    if (it.via_vm.empty())
    {
        return false;
    }
    const auto vm = fleet.vms.find(it.via_vm);
    return vm == fleet.vms.end() ||
           vm->second.state == membership::vm_state::dead;
}

} // namespace

std::uint64_t running_calls::add(running_call it)
{
    const std::lock_guard lock(mutex_);
    const std::uint64_t id = next_id_++;
    calls_[id] = std::move(it);
    return id;
}

void running_calls::remove(std::uint64_t id)
{
    const std::lock_guard lock(mutex_);
    calls_.erase(id);
}

void running_calls::cancel_lost(
    const membership::fleet_view& fleet, core::time_point now)
{
    std::vector<std::function<void()>> lost;
    {
        const std::lock_guard lock(mutex_);
        for (auto it = calls_.begin(); it != calls_.end();)
        {
            const core::time_point last(
                core::duration(it->second.last_byte->load()));
            if (now - last >= silence_time && is_target_gone(fleet, it->second))
            {
                lost.push_back(std::move(it->second.on_lost));
                it = calls_.erase(it);
                continue;
            }
            ++it;
        }
    }
    for (const auto& it : lost)
    {
        it();
    }
}

} // namespace hyssoploft::gateway
