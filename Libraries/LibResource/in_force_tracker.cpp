// Keeps the newest version that each VM has reported.

#include <LibResource/in_force_tracker.hpp>

#include <algorithm>

namespace hyssoploft::resource {

bool in_force_tracker::report(const std::string& vm, in_force_report it)
{
    const auto at = reports_.find(vm);
    if (at == reports_.end())
    {
        return reports_.size() < max_tracked_vms &&
               reports_.emplace(vm, it).second;
    }
    auto& kept = at->second;
    const bool newer =
        it.incarnation > kept.incarnation ||
        (it.incarnation == kept.incarnation && it.version > kept.version);
    if (newer)
    {
        kept = it;
    }
    return newer;
}

void in_force_tracker::remove(const std::string& vm)
{
    reports_.erase(vm);
}

std::vector<std::string> in_force_tracker::lagging_vms(
    const fleet& declared, std::uint64_t version) const
{
    std::vector<std::string> found;
    for (const auto& vm : declared.vms)
    {
        const auto at = reports_.find(vm.id);
        if (at == reports_.end() || at->second.version < version)
        {
            found.push_back(vm.id);
        }
    }
    return found;
}

std::uint64_t in_force_tracker::min_version(const fleet& declared) const
{
    std::uint64_t version = declared.vms.empty() ? 0 : UINT64_MAX;
    for (const auto& vm : declared.vms)
    {
        const auto at = reports_.find(vm.id);
        version =
            std::min(version, at == reports_.end() ? 0 : at->second.version);
    }
    return version;
}

} // namespace hyssoploft::resource
