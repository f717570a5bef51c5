// Merges observations of crashes and decides on quarantine.

#include <LibFleet/crash_suspects.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::fleet {

namespace {

/// Reported times differ by the delay of a notice. A crash is taken as known
/// unless a report moves it by more than this.
constexpr core::duration time_tolerance = std::chrono::seconds(1);

std::uint32_t age_in_ms(core::time_point at, core::time_point now)
{
    const auto age = std::max(core::duration::zero(), now - at);
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(age / std::chrono::milliseconds(1), UINT32_MAX));
}

} // namespace

std::uint64_t hash_upstream(const std::string& id, std::uint64_t incarnation)
{
    // FNV-1a; std::hash differs between builds.
    std::uint64_t out = 0xcbf29ce484222325U ^ incarnation;
    for (const unsigned char c : id)
    {
        out = (out ^ c) * 0x100000001b3U;
    }
    return out;
}

bool crash_suspects::record_crash(
    std::uint64_t part, std::uint64_t upstream, core::time_point at)
{
    if (!rows_.contains(part) && rows_.size() >= max_parts)
    {
        remove_least_suspect();
    }
    auto& it = rows_[part];
    const auto [found, added] = it.crashes.try_emplace(upstream, at);
    if (!added)
    {
        if (found->second - at <= time_tolerance)
        {
            return false;
        }
        found->second = at;
    }
    if (it.crashes.size() > max_crashes_per_part)
    {
        it.crashes.erase(std::min_element(
            it.crashes.begin(), it.crashes.end(),
            [](const auto& a, const auto& b) {
                return a.second < b.second;
            }));
        if (!it.crashes.contains(upstream))
        {
            return false;
        }
    }
    it.change_number = ++change_counter_;
    return true;
}

bool crash_suspects::record_answer(std::uint64_t part, core::time_point at)
{
    if (!rows_.contains(part) && rows_.size() >= max_parts)
    {
        remove_least_suspect();
    }
    auto& it = rows_[part];
    if (it.answered_at && at - *it.answered_at <= time_tolerance)
    {
        return false;
    }
    it.answered_at = at;
    it.change_number = ++change_counter_;
    return true;
}

bool crash_suspects::merge(const suspect_row& row, core::time_point now)
{
    bool has_news = false;
    for (const auto& it : row.crashes)
    {
        has_news |= record_crash(
            row.part, it.upstream, now - std::chrono::milliseconds(it.age_ms));
    }
    if (row.has_answer)
    {
        has_news |= record_answer(
            row.part, now - std::chrono::milliseconds(row.answer_age_ms));
    }
    return has_news;
}

core::time_point crash_suspects::last_used_at(const entry& it)
{
    auto out = it.answered_at.value_or(core::time_point());
    for (const auto& [upstream, at] : it.crashes)
    {
        out = std::max(out, at);
    }
    return out;
}

void crash_suspects::remove_least_suspect()
{
    const auto least = std::min_element(
        rows_.begin(), rows_.end(), [](const auto& a, const auto& b) {
            return std::pair(a.second.crashes.size(), last_used_at(a.second)) <
                   std::pair(b.second.crashes.size(), last_used_at(b.second));
        });
    rows_.erase(least);
}

bool crash_suspects::tick(core::time_point now)
{
    return std::erase_if(rows_, [now](const auto& it) {
               const auto lifetime = state_of(it.second).is_quarantined()
                                         ? retention
                                         : suspicion_lifetime;
               return now - last_used_at(it.second) > lifetime;
           }) > 0;
}

suspect_row crash_suspects::row_of(
    std::uint64_t part, const entry& it, core::time_point now)
{
    suspect_row out;
    out.part = part;
    for (const auto& [upstream, at] : it.crashes)
    {
        out.crashes.push_back({upstream, age_in_ms(at, now)});
    }
    out.has_answer = it.answered_at.has_value();
    out.answer_age_ms = out.has_answer ? age_in_ms(*it.answered_at, now) : 0;
    return out;
}

std::vector<suspect_row> crash_suspects::next_refresh(core::time_point now)
{
    std::vector<suspect_row> out;
    for (const auto& [part, it] : rows_)
    {
        if (state_of(it).is_quarantined() && out.size() < max_rows_per_notice)
        {
            out.push_back(row_of(part, it, now));
        }
    }
    auto next = rows_.upper_bound(refresh_position_);
    for (std::size_t n = 0;
         n < rows_.size() && out.size() < max_rows_per_notice; ++n, ++next)
    {
        next = next == rows_.end() ? rows_.begin() : next;
        const auto& [part, it] = *next;
        refresh_position_ = part;
        if (now - last_used_at(it) <= active_time &&
            !state_of(it).is_quarantined())
        {
            out.push_back(row_of(part, it, now));
        }
    }
    return out;
}

crash_suspects::changes
crash_suspects::changed_since(std::uint64_t change, core::time_point now) const
{
    std::map<std::uint64_t, std::uint64_t> parts; // By change number.
    for (const auto& [part, it] : rows_)
    {
        if (it.change_number > change)
        {
            parts[it.change_number] = part;
        }
    }
    changes out;
    out.up_to = change;
    for (const auto& [change_number, part] : parts)
    {
        if (out.rows.size() == max_rows_per_notice)
        {
            break;
        }
        out.rows.push_back(row_of(part, rows_.at(part), now));
        out.up_to = change_number;
    }
    return out;
}

suspect_state crash_suspects::state_of(const entry& it)
{
    std::vector<core::time_point> times;
    for (const auto& [upstream, at] : it.crashes)
    {
        if (!it.answered_at || at > *it.answered_at + answer_lifetime)
        {
            times.push_back(at);
        }
    }
    std::sort(times.begin(), times.end());
    suspect_state out;
    for (const auto& at : times)
    {
        if (out.crashes == 0 || at - out.last_crash_at > same_event_window)
        {
            ++out.crashes;
            out.last_crash_at = at;
        }
    }
    if (out.crashes >= quarantine_crashes)
    {
        const auto doublings = out.crashes - quarantine_crashes;
        out.held_until =
            out.last_crash_at + std::min<core::duration>(
                                    max_hold, initial_hold * (1U << doublings));
    }
    return out;
}

suspect_parts crash_suspects::states() const
{
    suspect_parts out;
    for (const auto& [part, it] : rows_)
    {
        const auto state = state_of(it);
        if (state.crashes > 0)
        {
            out.emplace(part, state);
        }
    }
    return out;
}

} // namespace hyssoploft::fleet
