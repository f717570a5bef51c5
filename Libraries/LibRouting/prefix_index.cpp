// Bounded index of prefixes with least recently used replacement.

#include <LibRouting/prefix_index.hpp>

#include <algorithm>
#include <cmath>

namespace hyssoploft::routing {

prefix_index::prefix_index(const prefix_settings& settings)
    : settings_(settings)
{
    entries_.reserve(settings_.max_entries + 1);
}

void prefix_index::record(
    std::uint32_t upstream, const std::vector<std::uint64_t>& hashes,
    core::time_point now)
{
    for (const std::uint64_t it : hashes)
    {
        put(upstream, it, now);
    }
}

void prefix_index::apply_event(
    std::uint32_t upstream, std::uint64_t sequence,
    const std::vector<std::uint64_t>& stored,
    const std::vector<std::uint64_t>& evicted, core::time_point now)
{
    event_stream& stream = streams_[upstream];
    const bool newer = sequence > stream.sequence;
    if (newer)
    {
        if (stream.sequence != 0 && sequence != stream.sequence + 1)
        {
            ++stream.gaps;
        }
        stream.sequence = sequence;
    }
    for (const std::uint64_t hash : evicted)
    {
        remove(upstream, hash);
    }
    if (newer)
    {
        record(upstream, stored, now);
    }
}

void prefix_index::invalidate(std::uint32_t upstream)
{
    event_stream& stream = streams_[upstream];
    ++stream.epoch;
    stream.sequence = 0;
}

void prefix_index::remove_upstream(std::uint32_t upstream)
{
    // Entries of an upstream without an event stream have probability 0 and
    // are evicted with time.
    streams_.erase(upstream);
}

std::vector<prefix_match> prefix_index::match(
    const std::vector<std::uint64_t>& hashes, core::time_point now) const
{
    std::vector<prefix_match> found;
    for (std::size_t i = hashes.size(); i > 0; --i)
    {
        const auto it = entries_.find(hashes[i - 1]);
        if (it == entries_.end())
        {
            continue;
        }
        for (std::size_t k = 0; k < it->second.count; ++k)
        {
            const holder& h = it->second.holders[k];
            const double likely = probability(h, now);
            const bool known =
                std::any_of(found.begin(), found.end(), [&](const auto& m) {
                    return m.upstream == h.upstream;
                });
            if (likely > 0 && !known && found.size() < max_holders)
            {
                found.push_back({h.upstream, i, likely});
            }
        }
        if (found.size() == max_holders)
        {
            break;
        }
    }
    return found;
}

void prefix_index::put(
    std::uint32_t upstream, std::uint64_t hash, core::time_point now)
{
    const auto [it, inserted] = entries_.try_emplace(hash);
    entry& e = it->second;
    if (inserted)
    {
        e.lru_position = lru_.insert(lru_.end(), hash);
        if (entries_.size() > settings_.max_entries)
        {
            entries_.erase(lru_.front());
            lru_.pop_front();
        }
    }
    else
    {
        lru_.splice(lru_.end(), lru_, e.lru_position);
    }
    const event_stream& events = streams_[upstream];
    const holder added{upstream, events.epoch, events.gaps, now};
    const auto end = e.holders.begin() + static_cast<std::ptrdiff_t>(e.count);
    auto place = std::find_if(e.holders.begin(), end, [&](const holder& h) {
        return h.upstream == upstream;
    });
    if (place == end && e.count < max_holders)
    {
        ++e.count;
    }
    else if (place == end)
    {
        place = std::min_element(
            e.holders.begin(), end, [](const holder& a, const holder& b) {
                return a.seen < b.seen;
            });
    }
    *place = added;
}

void prefix_index::remove(std::uint32_t upstream, std::uint64_t hash)
{
    const auto it = entries_.find(hash);
    if (it == entries_.end())
    {
        return;
    }
    entry& e = it->second;
    for (std::size_t k = 0; k < e.count; ++k)
    {
        if (e.holders[k].upstream == upstream)
        {
            e.holders[k] = e.holders[--e.count];
            break;
        }
    }
    if (e.count == 0)
    {
        lru_.erase(e.lru_position);
        entries_.erase(it);
    }
}

double prefix_index::probability(const holder& it, core::time_point now) const
{
    const auto events = streams_.find(it.upstream);
    if (events == streams_.end() || events->second.epoch != it.epoch)
    {
        return 0;
    }
    const double age = std::max(0.0, core::to_seconds(now - it.seen));
    const double likelihood =
        std::exp2(-age / core::to_seconds(settings_.probability_half_life));
    return events->second.gaps == it.gaps
               ? likelihood
               : likelihood * settings_.gap_probability_factor;
}

} // namespace hyssoploft::routing
