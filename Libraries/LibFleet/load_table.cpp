// Sums the loads that VMs report.

#include <LibFleet/load_table.hpp>

#include <utility>

namespace hyssoploft::fleet {

void load_table::report(
    const std::string& vm, std::vector<load_row> loads, core::time_point now)
{
    reports_[vm] = {std::move(loads), now};
    std::erase_if(reports_, [now](const auto& it) {
        return now - it.second.at > report_life;
    });
}

std::vector<load_row>
load_table::others(const std::string& reader, core::time_point now) const
{
    std::map<std::string, load_row> sums;
    for (const auto& [vm, it] : reports_)
    {
        if (vm == reader || now - it.at > report_life)
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
