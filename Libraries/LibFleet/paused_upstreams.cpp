// Keeps until when upstreams want no calls of this VM.

#include <LibFleet/paused_upstreams.hpp>

#include <algorithm>

namespace hyssoploft::fleet {

const paused_upstreams::entry* paused_upstreams::find(
    const std::string& upstream, std::uint64_t incarnation) const
{
    const auto found = entries_.find(upstream);
    // An incarnation that is listed late is not a new one.
    const bool is_meant =
        found != entries_.end() && incarnation <= found->second.incarnation;
    return is_meant ? &found->second : nullptr;
}

bool paused_upstreams::add(
    const std::string& upstream, std::uint64_t incarnation,
    core::duration pause, core::time_point now)
{
    const auto ends_at =
        now + std::clamp(pause, core::duration::zero(), max_pause);
    auto& it = entries_[upstream];
    const bool is_known =
        incarnation < it.incarnation ||
        (incarnation == it.incarnation && ends_at <= it.ends_at);
    if (is_known)
    {
        return false;
    }
    it = {incarnation, ends_at};
    return true;
}

core::time_point paused_upstreams::ends_at(
    const std::string& upstream, std::uint64_t incarnation,
    core::time_point now) const
{
    const auto* it = find(upstream, incarnation);
    return it ? std::max(now, it->ends_at) : now;
}

std::uint32_t paused_upstreams::max_calls(
    const std::string& upstream, std::uint64_t incarnation,
    std::uint32_t capacity, core::time_point now) const
{
    const auto* it = find(upstream, incarnation);
    if (!it || now >= it->ends_at + ramp_time)
    {
        return capacity;
    }
    if (now < it->ends_at)
    {
        return 0;
    }
    const double passed =
        core::to_seconds(now - it->ends_at) / core::to_seconds(ramp_time);
    return std::max(1U, static_cast<std::uint32_t>(passed * capacity));
}

std::vector<std::string> paused_upstreams::remove_ended(core::time_point now)
{
    std::vector<std::string> out;
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        if (now < it->second.ends_at + ramp_time)
        {
            ++it;
            continue;
        }
        out.push_back(it->first);
        it = entries_.erase(it);
    }
    return out;
}

} // namespace hyssoploft::fleet
