// Aggregates the load reports of VMs.

#include <LibFleet/load_table.hpp>

#include <utility>

namespace hyssoploft::fleet {

void load_table::set_report(
    const std::string& vm, std::vector<load_row> loads, core::time_point now)
{
    reports_[vm] = {std::move(loads), now};
    std::erase_if(reports_, [now](const auto& it) {
        return now - it.second.received_at > report_lifetime;
    });
}

std::vector<load_row> load_table::sums_excluding(
    const std::string& excluded_vm, core::time_point now) const
{
    std::map<std::string, load_row> sums;
    for (const auto& [vm, it] : reports_)
    {
        if (vm == excluded_vm || now - it.received_at > report_lifetime)
        {
            continue;
        }
        for (const auto& row : it.loads)
        {
            auto& sum = sums[row.upstream];
            sum.upstream = row.upstream;
            sum.running += row.running;
            sum.waiting_tokens += row.waiting_tokens;
        }
    }
    std::vector<load_row> out;
    out.reserve(sums.size());
    for (auto& [id, it] : sums)
    {
        out.push_back(std::move(it));
    }
    return out;
}

} // namespace hyssoploft::fleet
