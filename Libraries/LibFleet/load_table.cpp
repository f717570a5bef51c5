// Aggregates the load reports of VMs.

#include <LibFleet/load_table.hpp>

#include <utility>

namespace hyssoploft::fleet {

void load_table::set_report(
    const std::string& vm, std::vector<load_row> loads, core::time_point now)
{
    auto& it = reports_[vm];
    subtract(totals_, it.loads);
    it = {std::move(loads), now};
    add_to_totals(it.loads);
    remove_expired(now);
}

void load_table::add_to_totals(const std::vector<load_row>& loads)
{
    for (const auto& it : loads)
    {
        auto& total = totals_[it.upstream];
        total.upstream = it.upstream;
        total.running += it.running;
        total.waiting_tokens += it.waiting_tokens;
    }
}

void load_table::subtract(row_map& totals, const std::vector<load_row>& loads)
{
    for (const auto& it : loads)
    {
        const auto found = totals.find(it.upstream);
        if (found == totals.end())
        {
            continue;
        }
        found->second.running -= it.running;
        found->second.waiting_tokens -= it.waiting_tokens;
        if (found->second.running == 0 && found->second.waiting_tokens == 0)
        {
            totals.erase(found);
        }
    }
}

void load_table::remove_expired(core::time_point now)
{
    std::erase_if(reports_, [&](const auto& it) {
        const bool expired = now - it.second.received_at > report_lifetime;
        if (expired)
        {
            subtract(totals_, it.second.loads);
        }
        return expired;
    });
}

std::vector<load_row>
load_table::sums_excluding(const std::string& excluded_vm, core::time_point now)
{
    remove_expired(now);
    auto sums = totals_;
    const auto own = reports_.find(excluded_vm);
    if (own != reports_.end())
    {
        subtract(sums, own->second.loads);
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
