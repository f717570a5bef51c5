#ifndef HYSSOPLOFT_LIBROUTING_PREFIX_INDEX_HPP
#define HYSSOPLOFT_LIBROUTING_PREFIX_INDEX_HPP

// Index of the prompt prefixes that each upstream caches, bounded in size and
// updated by cache events that may be late or lost.

#include <LibCore/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace hyssoploft::routing {

struct prefix_settings
{
    std::size_t max_entries = 65536; ///< LRU eviction beyond this.
    /// Half-life of an entry's probability: upstreams evict prefixes, and their
    /// eviction events may be lost.
    core::duration probability_half_life = std::chrono::seconds(600);
    /// Factor on the probability of entries from before a gap in the
    /// upstream's events.
    double gap_probability_factor = 0.95;
};

/// A cached prefix at one upstream.
struct prefix_match
{
    std::uint32_t upstream = 0; ///< Number given by the caller.
    std::size_t blocks = 0;     ///< Length of the longest known prefix.
    double probability = 0;     ///< That it is still cached, 0 to 1.
};

class prefix_index
{
public:
    explicit prefix_index(const prefix_settings& settings);

    /// Records that the upstream processed a prompt with these prefixes.
    void record(
        std::uint32_t upstream, const std::vector<std::uint64_t>& hashes,
        core::time_point now);

    /// Applies a cache event. Of duplicate and late events (a sequence at or
    /// below the newest) only `evicted` is applied, because a wrong eviction
    /// costs a little time while a wrong hit overloads the upstream.
    void apply_event(
        std::uint32_t upstream, std::uint64_t sequence,
        const std::vector<std::uint64_t>& stored,
        const std::vector<std::uint64_t>& evicted, core::time_point now);

    /// Invalidates all entries of the upstream after a restart.
    void invalidate(std::uint32_t upstream);

    /// Removes an upstream; its number must not be used again.
    void remove_upstream(std::uint32_t upstream);

    /// At most max_holders matches, longest first.
    std::vector<prefix_match>
    match(const std::vector<std::uint64_t>& hashes, core::time_point now) const;

    std::size_t size() const
    {
        return entries_.size();
    }

    /// Maximum number of upstreams stored for each prefix.
    static constexpr std::size_t max_holders = 8;

private:
    struct holder
    {
        std::uint32_t upstream = 0;
        std::uint32_t epoch = 0; // Of event_stream, when recorded.
        std::uint32_t gaps = 0;  // Of event_stream, when recorded.
        core::time_point seen{};
    };

    struct entry
    {
        std::array<holder, max_holders> holders{};
        std::size_t count = 0; // Holders in use.
        std::list<std::uint64_t>::iterator lru_position;
    };

    // State of one upstream's cache events.
    struct event_stream
    {
        std::uint64_t sequence = 0;
        std::uint32_t gaps = 0;
        std::uint32_t epoch = 0; // Incremented by invalidate().
    };

    void put(std::uint32_t upstream, std::uint64_t hash, core::time_point now);
    void remove(std::uint32_t upstream, std::uint64_t hash);
    double probability(const holder& it, core::time_point now) const;

    prefix_settings settings_;
    std::unordered_map<std::uint64_t, entry> entries_;
    std::list<std::uint64_t> lru_; // Least recently used first.
    std::unordered_map<std::uint32_t, event_stream> streams_;
};

} // namespace hyssoploft::routing

#endif
