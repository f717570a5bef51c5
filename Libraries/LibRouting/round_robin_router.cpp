// Round robin baseline.

#include <LibRouting/round_robin_router.hpp>

#include <algorithm>
#include <vector>

namespace hyssoploft::routing {

const membership::upstream_record*
round_robin_router::pick(const candidates& found, const std::string& here)
{
    auto usable = found.usable;
    const auto remote = std::stable_partition(
        usable.begin(), usable.end(), [&](const auto* it) {
            return it->region == here;
        });
    if (remote != usable.begin())
    {
        usable.erase(remote, usable.end());
    }
    return usable[turn_++ % usable.size()];
}

} // namespace hyssoploft::routing
