#ifndef HYSSOPLOFT_LIBCONSENSUS_MEMORY_LOG_HPP
#define HYSSOPLOFT_LIBCONSENSUS_MEMORY_LOG_HPP

// The entries after the snapshot, in memory.

#include <LibConsensus/log_entry.hpp>

#include <deque>
#include <optional>
#include <vector>

namespace hyssoploft::consensus {

class memory_log
{
public:
    /// Last entry that the snapshot covers.
    log_position base() const
    {
        return base_;
    }

    log_position last() const
    {
        return entries_.empty() ? base_ : entries_.back().position;
    }

    /// Term of the entry at `index`; none outside [base, last].
    std::optional<std::uint64_t> term_at(std::uint64_t index) const;

    /// `index` must be in (base, last].
    const log_entry& at(std::uint64_t index) const;

    /// Must follow the last entry.
    void append(log_entry it);

    /// Drops the entries from `index` on, which must be after the base.
    void truncate(std::uint64_t index);

    /// Drops the entries up to `last`, which must be in the log.
    void compact(log_position last);

    /// Drops all entries and starts after `last`.
    void reset(log_position last);

    /// Consecutive entries from `index` on: at least one if there is any,
    /// then as many as fit into `max_bytes`.
    std::vector<log_entry>
    slice(std::uint64_t index, std::size_t max_bytes) const;

    /// Bytes of the entries after `index`.
    std::size_t bytes_after(std::uint64_t index) const;

private:
    log_position base_;
    // The entry after the base is the first one, without gaps.
    std::deque<log_entry> entries_;
};

} // namespace hyssoploft::consensus

#endif
