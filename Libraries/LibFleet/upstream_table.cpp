// Merges the announcements of upstreams and the rows of other control VMs.

#include <LibFleet/upstream_table.hpp>

#include <LibCore/log_line.hpp>
#include <LibFleet/row_checks.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <tuple>

namespace hyssoploft::fleet {

namespace {

using membership::upstream_state;

constexpr auto leaving_state =
    static_cast<std::uint8_t>(upstream_state::leaving);
constexpr auto expired_state =
    static_cast<std::uint8_t>(upstream_state::expired);
/// Bounds the memory for the IDs of removed upstreams.
constexpr std::size_t max_removed = 4096;
/// Warm-up ends that differ by less than this count as equal.
constexpr core::duration cold_until_tolerance = std::chrono::milliseconds(500);

bool is_newer(const upstream_row& a, const upstream_row& b)
{
    return std::tie(a.incarnation, a.sequence) >
           std::tie(b.incarnation, b.sequence);
}

departed_upstreams::time departure_time(core::time_point it)
{
    return std::chrono::duration_cast<departed_upstreams::time>(
        it.time_since_epoch());
}

bool has_same_properties(const upstream_row& a, const upstream_row& b)
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
                   row.incarnation > it.incarnation && is_named_role(row.role);
        });
}

bool upstream_table::may_replace(
    const upstream_row& old, const upstream_row& it) const
{
    if (!is_named_role(old.role) || is_named_role(it.role))
    {
        return true;
    }
    LOG_EVERY_N(WARNING, 20) << core::log_line("announcement_ignored")
                                    .with("upstream", it.id)
                                    .with("role", it.role)
                                    .with("role_in_use", old.role);
    return false;
}

void upstream_table::expire_replaced_by(const upstream_row& it)
{
    if (!is_named_role(it.role))
    {
        return;
    }
    for (auto& [id, known] : entries_)
    {
        const bool replaced = id != it.id && known.row.address == it.address &&
                              known.row.incarnation < it.incarnation &&
                              known.row.state != expired_state;
        if (replaced)
        {
            known.row.state = expired_state;
            known.change_number = ++change_counter_;
        }
    }
}

upstream_table::change
upstream_table::apply(const upstream_row& it, core::time_point now)
{
    auto row = it;
    // A delayed announcement must not revive an upstream whose address now
    // belongs to a newer one.
    if (is_superseded(row))
    {
        row.state = expired_state;
    }
    if (departed_.contains(row.id, row.incarnation))
    {
        row.state = std::max(row.state, leaving_state);
    }
    const auto found = entries_.find(it.id);
    const bool is_known = found != entries_.end();
    if (is_known)
    {
        const auto& old = found->second.row;
        if (!is_newer(row, old))
        {
            return change::none;
        }
        if (!may_replace(old, row))
        {
            return change::none;
        }
        // Within an incarnation, the state only advances.
        if (row.incarnation == old.incarnation)
        {
            row.state = std::max(row.state, old.state);
        }
    }
    if (row.state == leaving_state)
    {
        (void)departed_.add({row.id, row.incarnation}, departure_time(now));
    }
    auto& stored = entries_[it.id];
    const auto cold_until = now + std::chrono::milliseconds(row.cold_ms);
    const bool cold_changed =
        (cold_until > now || stored.cold_until > now) &&
        (cold_until > stored.cold_until + cold_until_tolerance ||
         stored.cold_until > cold_until + cold_until_tolerance);
    const bool was_leaving = is_known && stored.row.state >= leaving_state &&
                             stored.row.incarnation == row.incarnation;
    const bool is_update = !is_known || cold_changed || stored.row.silent ||
                           !has_same_properties(stored.row, row);
    row.silent = false;
    stored.row = row;
    stored.cold_until = cold_until;
    if (!is_update)
    {
        return change::none;
    }
    stored.change_number = ++change_counter_;
    removed_.erase(it.id);
    expire_replaced_by(row);
    return row.state >= leaving_state && !was_leaving ? change::leaving
                                                      : change::updated;
}

upstream_table::change
upstream_table::announce(const upstream_row& it, core::time_point now)
{
    const auto out = apply(it, now);
    const auto found = entries_.find(it.id);
    if (found->second.row.incarnation == it.incarnation)
    {
        found->second.last_seen_at = now;
        found->second.last_direct_at = now;
    }
    return out;
}

upstream_table::change
upstream_table::leave(const departure& it, core::time_point now)
{
    (void)departed_.add(it, departure_time(now));
    const auto found = entries_.find(it.upstream);
    const bool is_meant = found != entries_.end() &&
                          found->second.row.incarnation <= it.incarnation &&
                          found->second.row.state < leaving_state;
    if (!is_meant)
    {
        return change::none;
    }
    found->second.row.state = leaving_state;
    found->second.last_seen_at = now;
    found->second.change_number = ++change_counter_;
    return change::leaving;
}

std::uint64_t upstream_table::find_departing(
    const std::string& id, std::uint64_t unix_ms) const
{
    const auto found = entries_.find(id);
    const auto* listed = found == entries_.end() ? nullptr : &found->second.row;
    const auto departed = departed_.incarnation_of(id);
    if (departed && (!listed || listed->incarnation <= *departed))
    {
        return *departed;
    }
    if (listed)
    {
        return std::max(listed->incarnation, unix_ms);
    }
    return unix_ms + static_cast<std::uint64_t>(start_time_tolerance.count());
}

upstream_table::change
upstream_table::merge(const upstream_row& it, core::time_point now)
{
    if (!has_known_state(it))
    {
        return change::none; // The view merger logs it.
    }
    const auto found = entries_.find(it.id);
    if (found != entries_.end())
    {
        // A leave does not increase the sequence, so states are compared first.
        auto& stored = found->second;
        const bool advances_state = stored.row.incarnation == it.incarnation &&
                                    it.state > stored.row.state &&
                                    may_replace(stored.row, it);
        if (advances_state)
        {
            stored.row.state = it.state;
            stored.change_number = ++change_counter_;
            if (it.state == leaving_state)
            {
                (void)departed_.add(
                    {it.id, it.incarnation}, departure_time(now));
            }
            return change::leaving;
        }
        return apply(it, now);
    }
    const auto out = apply(it, now);
    entries_.at(it.id).last_seen_at = now;
    return out;
}

void upstream_table::merge_announcement(
    const announcement_row& it, core::time_point now)
{
    const auto found = entries_.find(it.id);
    if (found == entries_.end() ||
        found->second.row.incarnation != it.incarnation)
    {
        return;
    }
    auto& stored = found->second;
    stored.last_seen_at = std::max(
        stored.last_seen_at, now - std::chrono::milliseconds(it.age_ms));
    if (stored.row.silent && now - stored.last_seen_at <= silence_timeout)
    {
        stored.row.silent = false;
        stored.change_number = ++change_counter_;
    }
}

void upstream_table::tick(core::time_point now)
{
    departed_.remove_old(departure_time(now));
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        auto& [id, stored] = *it;
        const auto silent_for = now - stored.last_seen_at;
        if (silent_for > removal_timeout)
        {
            if (removed_.size() < max_removed)
            {
                removed_[id] = ++change_counter_;
            }
            it = entries_.erase(it);
            continue;
        }
        if (silent_for > silence_timeout && !stored.row.silent)
        {
            stored.row.silent = true;
            stored.change_number = ++change_counter_;
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
        if (it.change_number > cursor)
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
upstream_table::removed_since(std::uint64_t cursor) const
{
    std::vector<std::string> out;
    for (const auto& [id, change_number] : removed_)
    {
        if (change_number > cursor)
        {
            out.push_back(id);
        }
    }
    return out;
}

std::vector<announcement_row> upstream_table::announcements_within(
    core::duration within, core::time_point now) const
{
    std::vector<announcement_row> out;
    for (const auto& [id, it] : entries_)
    {
        const auto age = now - it.last_direct_at;
        if (it.last_direct_at != core::time_point() && age <= within)
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
