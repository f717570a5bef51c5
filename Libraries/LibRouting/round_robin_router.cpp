// Round robin baseline.

#include <LibRouting/round_robin_router.hpp>

#include <algorithm>
#include <vector>

namespace hyssoploft::routing {

const membership::upstream_record* round_robin_router::pick(
    const candidates& found, const std::string& local_region)
{
    auto usable = found.usable;
    const auto first_remote = std::stable_partition(
        usable.begin(), usable.end(), [&](const auto* it) {
            return it->region == local_region;
        });
    if (first_remote != usable.begin())
    {
        usable.erase(first_remote, usable.end());
    }
    return usable[next_index_++ % usable.size()];
}

} // namespace hyssoploft::routing
