#ifndef HYSSOPLOFT_LIBCONSENSUS_MEMORY_LOG_HPP
#define HYSSOPLOFT_LIBCONSENSUS_MEMORY_LOG_HPP

// In-memory copy of the log entries after the snapshot.

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

    /// The index of `it` must be last().index + 1.
    void append(log_entry it);

    /// Drops the entries from `index` on. `index` must be after the base.
    void truncate(std::uint64_t index);

    /// Drops the entries up to `last`, which becomes the base and must be in
    /// the log.
    void compact(log_position last);

    /// Drops all entries; `last` becomes the base.
    void reset(log_position last);

    /// Consecutive entries from `index` on, up to `max_bytes`. The first entry
    /// is included even if it is larger.
    std::vector<log_entry>
    slice(std::uint64_t index, std::size_t max_bytes) const;

    /// Bytes of the entries after `index`.
    std::size_t bytes_after(std::uint64_t index) const;

private:
    log_position base_;
    // Consecutive; the first entry has index base_.index + 1.
    std::deque<log_entry> entries_;
};

} // namespace hyssoploft::consensus

#endif
