#ifndef HYSSOPLOFT_LIBCONSENSUS_LOG_ENTRY_HPP
#define HYSSOPLOFT_LIBCONSENSUS_LOG_ENTRY_HPP

// Types of the replicated log: identifiers, positions and entries.

#include <LibCore/enum_table.hpp>

#include <cereal/types/string.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace hyssoploft::consensus {

/// Random identifier of a replica, generated when its data directory is
/// created. 0 means no replica.
using replica_id = std::uint64_t;

/// Index and term of an entry. Indexes start at 1; index 0 is the position
/// before the first entry.
struct log_position
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;

    bool operator==(const log_position&) const = default;
};

template <typename Archive>
void serialize(Archive& ar, log_position& it)
{
    ar(it.index, it.term);
}

enum class entry_kind : std::uint8_t
{
    command,   ///< Bytes for the state machine.
    no_op,     ///< First entry of a new leader's term.
    membership ///< An encoded `membership`.
};

inline constexpr core::enum_table<entry_kind, 3> entry_kind_names{
    {{entry_kind::command, "command"},
     {entry_kind::no_op, "no_op"},
     {entry_kind::membership, "membership"}}};

struct log_entry
{
    log_position position;
    entry_kind kind = entry_kind::command;
    std::string bytes;

    bool operator==(const log_entry&) const = default;

    /// Bytes counted against the limits on batches and bytes in flight.
    std::size_t size() const
    {
        constexpr std::size_t overhead_bytes = 32; // Position, kind, length.
        return bytes.size() + overhead_bytes;
    }
};

template <typename Archive>
void serialize(Archive& ar, log_entry& it)
{
    ar(it.position, it.kind, it.bytes);
}

} // namespace hyssoploft::consensus

#endif
