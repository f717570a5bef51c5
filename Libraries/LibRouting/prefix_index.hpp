#ifndef HYSSOPLOFT_LIBROUTING_PREFIX_INDEX_HPP
#define HYSSOPLOFT_LIBROUTING_PREFIX_INDEX_HPP

// This VM's own record of which upstream caches which prompt prefix, bounded
// in size and corrected by cache events that come late and with gaps.

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
    std::size_t max_entries = 65536; ///< Prefixes; the oldest goes first.
    /// An entry that no event confirmed is believed less with age: upstream
    /// caches are limited and their evictions may be lost.
    core::duration belief_half_life = std::chrono::seconds(600);
    /// Belief in entries older than a gap in the upstream's events.
    double belief_after_gap = 0.95;
};

/// A cached prefix at one upstream.
struct prefix_match
{
    std::uint32_t upstream = 0; ///< Number given by the caller.
    std::size_t blocks = 0;     ///< Length of the longest known prefix.
    double belief = 0;          ///< 0 to 1: how likely it is still there.
};

class prefix_index
{
public:
    explicit prefix_index(const prefix_settings& settings);

    /// The upstream has processed a prompt with these prefixes.
    void record(
        std::uint32_t upstream, const std::vector<std::uint64_t>& hashes,
        core::time_point now);

    /// A cache event. Duplicates and late ones (a sequence at or below the
    /// newest) are dropped for `stored`, but their evictions count, because a
    /// wrong eviction costs a little time and a wrong hit overloads.
    void event(
        std::uint32_t upstream, std::uint64_t sequence,
        const std::vector<std::uint64_t>& stored,
        const std::vector<std::uint64_t>& evicted, core::time_point now);

    /// Everything recorded of the upstream is void (it restarted).
    void forget(std::uint32_t upstream);

    /// The upstream is gone for good; its number is not used again.
    void drop(std::uint32_t upstream);

    /// At most max_holders matches, longest first.
    std::vector<prefix_match>
    match(const std::vector<std::uint64_t>& hashes, core::time_point now) const;

    std::size_t size() const
    {
        return entries_.size();
    }

    /// Upstreams remembered for each prefix.
    static constexpr std::size_t max_holders = 8;

private:
    struct holder
    {
        std::uint32_t upstream = 0;
        std::uint32_t epoch = 0; // Of the upstream when it was recorded.
        std::uint32_t gaps = 0;  // Gaps of its events seen at that time.
        core::time_point seen{};
    };

    struct entry
    {
        std::array<holder, max_holders> holders{};
        std::size_t count = 0; // Holders in use.
        std::list<std::uint64_t>::iterator order;
    };

    // Events of one upstream.
    struct feed
    {
        std::uint64_t sequence = 0;
        std::uint32_t gaps = 0;
        std::uint32_t epoch = 0; // Raised by forget().
    };

    void put(std::uint32_t upstream, std::uint64_t hash, core::time_point now);
    void remove(std::uint32_t upstream, std::uint64_t hash);
    double belief(const holder& it, core::time_point now) const;

    prefix_settings settings_;
    std::unordered_map<std::uint64_t, entry> entries_;
    std::list<std::uint64_t> order_; // Least recently used first.
    std::unordered_map<std::uint32_t, feed> feeds_;
};

} // namespace hyssoploft::routing

#endif
