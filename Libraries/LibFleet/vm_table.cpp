// Tracks the reports of VMs and detects dead VMs.

#include <LibFleet/vm_table.hpp>

namespace hyssoploft::fleet {

namespace {

using membership::vm_state;

constexpr auto dead_state = static_cast<std::uint8_t>(vm_state::dead);

} // namespace

bool vm_table::apply_report(const vm_row& it, core::time_point now)
{
    auto& stored = entries_[it.id];
    stored.last_report_at = now;
    if (stored.change_number != 0 && stored.row == it)
    {
        return false;
    }
    stored.row = it;
    stored.change_number = ++change_counter_;
    return true;
}

bool vm_table::tick(core::time_point now)
{
    bool any_marked = false;
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        auto& [id, stored] = *it;
        const auto silent_for = now - stored.last_report_at;
        if (silent_for > removal_timeout)
        {
            it = entries_.erase(it);
            continue;
        }
        if (silent_for > silence_timeout && stored.row.state != dead_state)
        {
            stored.row.state = dead_state;
            stored.row.ready = false;
            stored.change_number = ++change_counter_;
            any_marked = true;
        }
        ++it;
    }
    return any_marked;
}

std::vector<vm_row> vm_table::changed_since(std::uint64_t cursor) const
{
    std::vector<vm_row> out;
    for (const auto& [id, it] : entries_)
    {
        if (it.change_number > cursor)
        {
            out.push_back(it.row);
        }
    }
    return out;
}

} // namespace hyssoploft::fleet
