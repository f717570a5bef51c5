#ifndef HYSSOPLOFT_LIBCONTROL_COMPACTION_RULE_HPP
#define HYSSOPLOFT_LIBCONTROL_COMPACTION_RULE_HPP

// Decides when the log is replaced by a snapshot of the state. A process reads
// the log at its start and holds its entries in memory, so that they are
// bounded by their bytes as well as by their number.

#include <algorithm>
#include <cstdint>

namespace hyssoploft::control {

class compaction_rule
{
public:
    /// Replayed in well under a second; about a minute at 60 orders a second.
    static constexpr std::uint64_t max_entries = 8192;
    /// Entries of this size are kept however small the state is.
    static constexpr std::uint64_t min_bytes = std::uint64_t{4} << 20;
    /// Bytes of entries in relation to the state's: a snapshot writes the whole
    /// state, and is worth it only once the log has outgrown it.
    static constexpr std::uint64_t bytes_per_state_byte = 2;

    /// An entry of the log was applied.
    void add_entry(std::uint64_t bytes)
    {
        ++entries_;
        bytes_ += bytes;
    }

    bool is_due() const
    {
        return entries_ >= max_entries ||
               bytes_ >=
                   std::max(min_bytes, bytes_per_state_byte * state_bytes_);
    }

    /// The entries so far are covered by a snapshot.
    void compacted(std::uint64_t state_bytes)
    {
        entries_ = 0;
        bytes_ = 0;
        state_bytes_ = state_bytes;
    }

private:
    std::uint64_t entries_ = 0; // Since the snapshot, as bytes_.
    std::uint64_t bytes_ = 0;
    std::uint64_t state_bytes_ = 0; // Of the last snapshot.
};

} // namespace hyssoploft::control

#endif
