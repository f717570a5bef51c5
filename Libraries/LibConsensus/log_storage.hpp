#ifndef HYSSOPLOFT_LIBCONSENSUS_LOG_STORAGE_HPP
#define HYSSOPLOFT_LIBCONSENSUS_LOG_STORAGE_HPP

// What a replica keeps on its disk, and the interface to it.

#include <LibConsensus/membership.hpp>

#include <absl/status/statusor.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hyssoploft::consensus {

/// The term and the vote of a replica.
struct hard_state
{
    std::uint64_t term = 0;
    replica_id voted_for = 0; ///< In this term; 0: nobody.

    bool operator==(const hard_state&) const = default;
};

template <typename Archive>
void serialize(Archive& ar, hard_state& it)
{
    ar(it.term, it.voted_for);
}

/// The state machine after the entry `last`. A new cluster starts from a
/// snapshot at index 0 that holds the declared voters and no bytes.
struct snapshot
{
    log_position last;
    membership members;
    std::shared_ptr<const std::string> bytes; ///< Never null.
};

/// Changes to make durable together, in this order.
struct persist_batch
{
    std::uint64_t sequence = 0; ///< For consensus_node::persisted().
    hard_state state;
    /// Replaces the log by the snapshot and `entries`.
    std::optional<snapshot> replacement;
    /// Consecutive. They replace all stored entries from the first one on.
    std::vector<log_entry> entries;
    /// Entries up to this one are known to be committed; all of them are in
    /// this batch or stored before.
    std::uint64_t committed_index = 0;
};

struct persisted_state
{
    replica_id self = 0;
    hard_state state;
    std::optional<snapshot> base;   ///< None: never bootstrapped nor joined.
    std::vector<log_entry> entries; ///< Consecutive, from after the snapshot.
    std::uint64_t committed_index = 0; ///< The newest one that was stored.
};

class log_storage
{
public:
    virtual ~log_storage() = default;

    /// Returns OK once the whole batch is durable. After an error the replica
    /// must stop: it can't know what its disk holds.
    virtual absl::Status persist(const persist_batch& batch) = 0;
};

} // namespace hyssoploft::consensus

#endif
