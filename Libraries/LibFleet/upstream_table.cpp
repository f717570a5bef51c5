// Merges announcements of upstreams.

#include <LibFleet/upstream_table.hpp>

#include <algorithm>
#include <tuple>

namespace hyssoploft::fleet {

namespace {

using membership::upstream_state;

constexpr auto leaving_state =
    static_cast<std::uint8_t>(upstream_state::leaving);
constexpr auto expired_state =
    static_cast<std::uint8_t>(upstream_state::expired);
/// Bounds the memory for upstreams that were forgotten.
constexpr std::size_t max_forgotten = 4096;
/// Two statements of the time until an upstream is warm that differ by less
/// describe the same moment.
constexpr core::duration cold_grain = std::chrono::milliseconds(500);

bool is_newer(const upstream_row& a, const upstream_row& b)
{
    return std::tie(a.incarnation, a.sequence) >
           std::tie(b.incarnation, b.sequence);
}

bool same_description(const upstream_row& a, const upstream_row& b)
{
    return a.address == b.address && a.role == b.role && a.region == b.region &&
           a.data_center == b.data_center && a.version == b.version &&
           a.capacity == b.capacity && a.incarnation == b.incarnation &&
           a.state == b.state;
}

} // namespace

bool upstream_table::is_superseded(const upstream_row& it) const
{
    return std::any_of(
        entries_.begin(), entries_.end(), [&](const auto& known) {
            const auto& row = known.second.row;
            return known.first != it.id && row.address == it.address &&
                   row.incarnation > it.incarnation;
        });
}

void upstream_table::end_others_at(const upstream_row& it)
{
    for (auto& [id, known] : entries_)
    {
        const bool replaced = id != it.id && known.row.address == it.address &&
                              known.row.incarnation < it.incarnation &&
                              known.row.state != expired_state;
        if (replaced)
        {
            known.row.state = expired_state;
            known.changed = ++counter_;
        }
    }
}

upstream_table::change
upstream_table::take(const upstream_row& it, core::time_point now)
{
    auto row = it;
    // A late announcement must not bring back an upstream whose address
    // belongs to a newer one.
    if (is_superseded(row))
    {
        row.state = expired_state;
    }
    const auto found = entries_.find(it.id);
    const bool known = found != entries_.end();
    if (known)
    {
        const auto& old = found->second.row;
        if (!is_newer(row, old))
        {
            return change::none;
        }
        // States only advance within an incarnation.
        if (row.incarnation == old.incarnation)
        {
            row.state = std::max(row.state, old.state);
        }
    }
    auto& own = entries_[it.id];
    const auto cold_until = now + std::chrono::milliseconds(row.cold_ms);
    const bool cold_changed = (cold_until > now || own.cold_until > now) &&
                              (cold_until > own.cold_until + cold_grain ||
                               own.cold_until > cold_until + cold_grain);
    const bool was_leaving = known && own.row.state >= leaving_state &&
                             own.row.incarnation == row.incarnation;
    const bool described = !known || cold_changed || own.row.silent ||
                           !same_description(own.row, row);
    row.silent = false;
    own.row = row;
    own.cold_until = cold_until;
    if (!described)
    {
        return change::none;
    }
    own.changed = ++counter_;
    forgotten_.erase(it.id);
    end_others_at(row);
    return row.state >= leaving_state && !was_leaving ? change::leaving
                                                      : change::described;
}

upstream_table::change
upstream_table::announce(const upstream_row& it, core::time_point now)
{
    const auto out = take(it, now);
    const auto found = entries_.find(it.id);
    if (found->second.row.incarnation == it.incarnation)
    {
        found->second.heard = now;
        found->second.direct = now;
    }
    return out;
}

upstream_table::change
upstream_table::leave(const std::string& id, core::time_point now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.row.state >= leaving_state)
    {
        return change::none;
    }
    found->second.row.state = leaving_state;
    found->second.heard = now;
    found->second.changed = ++counter_;
    return change::leaving;
}

upstream_table::change
upstream_table::merge(const upstream_row& it, core::time_point now)
{
    const auto found = entries_.find(it.id);
    if (found != entries_.end())
    {
        // A leave has no sequence of its own.
        auto& own = found->second;
        const bool ends =
            own.row.incarnation == it.incarnation && it.state > own.row.state;
        if (ends)
        {
            own.row.state = it.state;
            own.changed = ++counter_;
            return change::leaving;
        }
        return take(it, now);
    }
    const auto out = take(it, now);
    entries_.at(it.id).heard = now;
    return out;
}

void upstream_table::merge_heard(const heard_row& it, core::time_point now)
{
    const auto found = entries_.find(it.id);
    if (found == entries_.end() ||
        found->second.row.incarnation != it.incarnation)
    {
        return;
    }
    auto& own = found->second;
    own.heard = std::max(own.heard, now - std::chrono::milliseconds(it.age_ms));
    if (own.row.silent && now - own.heard <= silence)
    {
        own.row.silent = false;
        own.changed = ++counter_;
    }
}

void upstream_table::tick(core::time_point now)
{
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        auto& [id, own] = *it;
        const auto quiet = now - own.heard;
        if (quiet > forget_after)
        {
            if (forgotten_.size() < max_forgotten)
            {
                forgotten_[id] = ++counter_;
            }
            it = entries_.erase(it);
            continue;
        }
        if (quiet > silence && !own.row.silent)
        {
            own.row.silent = true;
            own.changed = ++counter_;
        }
        ++it;
    }
}

std::vector<upstream_row>
upstream_table::changed_since(std::uint64_t cursor, core::time_point now) const
{
    std::vector<upstream_row> out;
    for (const auto& [id, it] : entries_)
    {
        if (it.changed > cursor)
        {
            out.push_back(it.row);
            const auto cold = std::max(core::duration(), it.cold_until - now);
            out.back().cold_ms = static_cast<std::uint32_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(cold)
                    .count());
        }
    }
    return out;
}

std::vector<std::string>
upstream_table::forgotten_since(std::uint64_t cursor) const
{
    std::vector<std::string> out;
    for (const auto& [id, changed] : forgotten_)
    {
        if (changed > cursor)
        {
            out.push_back(id);
        }
    }
    return out;
}

std::vector<heard_row>
upstream_table::heard_within(core::duration within, core::time_point now) const
{
    std::vector<heard_row> out;
    for (const auto& [id, it] : entries_)
    {
        const auto age = now - it.direct;
        if (it.direct != core::time_point() && age <= within)
        {
            const auto ms =
                std::chrono::duration_cast<std::chrono::milliseconds>(age);
            out.push_back(
                {id, it.row.incarnation,
                 static_cast<std::uint32_t>(ms.count())});
        }
    }
    return out;
}

} // namespace hyssoploft::fleet
