// Tracks reports of VMs.

#include <LibFleet/vm_table.hpp>

namespace hyssoploft::fleet {

namespace {

using membership::vm_state;

constexpr auto dead = static_cast<std::uint8_t>(vm_state::dead);

} // namespace

bool vm_table::hear(const vm_row& it, core::time_point now)
{
    auto& own = entries_[it.id];
    own.heard = now;
    if (own.changed != 0 && own.row == it)
    {
        return false;
    }
    own.row = it;
    own.changed = ++counter_;
    return true;
}

bool vm_table::tick(core::time_point now)
{
    bool marked = false;
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        auto& [id, own] = *it;
        const auto silent = now - own.heard;
        if (silent > forget_after)
        {
            it = entries_.erase(it);
            continue;
        }
        if (silent > silence && own.row.state != dead)
        {
            own.row.state = dead;
            own.row.ready = false;
            own.changed = ++counter_;
            marked = true;
        }
        ++it;
    }
    return marked;
}

std::vector<vm_row> vm_table::changed_since(std::uint64_t cursor) const
{
    std::vector<vm_row> out;
    for (const auto& [id, it] : entries_)
    {
        if (it.changed > cursor)
        {
            out.push_back(it.row);
        }
    }
    return out;
}

} // namespace hyssoploft::fleet
