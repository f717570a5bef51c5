// Builds and applies notices of loads.

#include <LibFleet/peer_loads.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::fleet {

namespace {

/// Of a row in a notice, besides the upstream's name.
constexpr std::size_t fixed_row_bytes = 16;

} // namespace

std::vector<load_notice>
load_announcer::next(const std::vector<load_row>& loads, core::time_point now)
{
    std::vector<load_row> news;
    std::map<std::string, told_row> told;
    for (const auto& it : loads)
    {
        const auto known = told_.find(it.upstream);
        const bool same = known != told_.end() && known->second.row == it &&
                          now - known->second.at < repeat_interval;
        told[it.upstream] = same ? known->second : told_row{it, now};
        if (!same)
        {
            news.push_back(it);
        }
    }
    for (const auto& [id, it] : told_)
    {
        if (!told.contains(id))
        {
            news.push_back({id, 0, 0});
        }
    }
    told_ = std::move(told);
    std::vector<load_notice> out;
    std::size_t bytes = max_row_bytes;
    for (auto& it : news)
    {
        const auto size = it.upstream.size() + fixed_row_bytes;
        if (bytes + size > max_row_bytes)
        {
            out.push_back({incarnation_, ++sequence_, {}});
            bytes = 0;
        }
        bytes += size;
        out.back().rows.push_back(std::move(it));
    }
    return out;
}

std::vector<load_row> load_announcer::told() const
{
    std::vector<load_row> out;
    out.reserve(told_.size());
    for (const auto& [id, it] : told_)
    {
        out.push_back(it.row);
    }
    return out;
}

void subtract_loads(
    std::map<std::string, load_row>& sums, const std::vector<load_row>& own)
{
    for (const auto& it : own)
    {
        const auto found = sums.find(it.upstream);
        if (found == sums.end())
        {
            continue;
        }
        auto& sum = found->second;
        sum.running -= std::min(sum.running, it.running);
        sum.waiting_tokens -= std::min(sum.waiting_tokens, it.waiting_tokens);
    }
}

void peer_loads::hear(
    const std::string& vm, const load_notice& it, core::time_point now)
{
    auto& from = peers_[vm];
    if (from.incarnation != it.incarnation)
    {
        from = {};
        from.incarnation = it.incarnation;
    }
    from.at = now;
    for (const auto& row : it.rows)
    {
        auto& known = from.rows[row.upstream];
        if (it.sequence > known.sequence)
        {
            known = {row, it.sequence, now};
        }
    }
    for (auto& [id, other] : peers_)
    {
        std::erase_if(other.rows, [now](const auto& old) {
            return now - old.second.at > row_life;
        });
    }
    std::erase_if(peers_, [now](const auto& other) {
        return now - other.second.at > row_life;
    });
}

std::size_t peer_loads::heard(core::time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [now](const auto& it) {
            return now - it.second.at <= row_life;
        }));
}

std::map<std::string, load_row> peer_loads::sums(core::time_point now) const
{
    std::map<std::string, load_row> out;
    for (const auto& [vm, from] : peers_)
    {
        for (const auto& [id, it] : from.rows)
        {
            if (now - it.at > row_life)
            {
                continue;
            }
            auto& sum = out[id];
            sum.upstream = id;
            sum.running += it.row.running;
            sum.waiting_tokens += it.row.waiting_tokens;
        }
    }
    return out;
}

} // namespace hyssoploft::fleet
