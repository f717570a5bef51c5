// Upstreams that asked this VM to stay away: while they are paused, and as
// calls return to them.

#include <LibRouting/backlog_router.hpp>

#include <LibCore/log_line.hpp>

#include <glog/logging.h>

#include <algorithm>

namespace hyssoploft::routing {

bool backlog_router::may_be_called(
    const membership::upstream_record& it, core::time_point now,
    std::optional<core::time_point>& first_end) const
{
    // Pauses belong to this VM, and calls to other regions go to their VMs.
    if (pauses_.size() == 0 || it.region != region_)
    {
        return true;
    }
    const auto ends_at = pauses_.ends_at(it.id, it.incarnation, now);
    if (ends_at > now)
    {
        first_end = first_end ? std::min(*first_end, ends_at) : ends_at;
        return false;
    }
    const auto found = upstreams_.find(it.id);
    const auto running = found == upstreams_.end() ? 0 : found->second.running;
    return running < pauses_.max_calls(
                         it.id, it.incarnation, std::max(1U, it.capacity), now);
}

void backlog_router::remove_ended_pauses(core::time_point now)
{
    for (const auto& it : pauses_.remove_ended(now))
    {
        LOG(INFO)
            << core::log_line("upstream_pause_ended").with("upstream", it);
    }
}

} // namespace hyssoploft::routing
