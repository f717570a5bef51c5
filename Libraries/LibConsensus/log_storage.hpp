#ifndef HYSSOPLOFT_LIBCONSENSUS_LOG_STORAGE_HPP
#define HYSSOPLOFT_LIBCONSENSUS_LOG_STORAGE_HPP

// The durable state of a replica, and the interface for writing it.

#include <LibConsensus/membership.hpp>

#include <absl/status/statusor.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hyssoploft::consensus {

/// The term and the vote of a replica (Raft's hard state).
struct hard_state
{
    std::uint64_t term = 0;
    replica_id voted_for = 0; ///< In this term; 0 if none.

    bool operator==(const hard_state&) const = default;
};

template <typename Archive>
void serialize(Archive& ar, hard_state& it)
{
    ar(it.term, it.voted_for);
}

/// State of the state machine after entry `last`. A new cluster starts from a
/// snapshot at index 0 with the initial voters and empty bytes.
struct snapshot
{
    log_position last;
    membership members;
    std::shared_ptr<const std::string> bytes; ///< Never null.
};

/// Changes that become durable atomically, applied in member order.
struct persist_batch
{
    std::uint64_t sequence = 0; ///< Passed to consensus_node::persisted().
    hard_state state;
    /// If set, the snapshot and `entries` replace the whole log.
    std::optional<snapshot> replacement;
    /// Consecutive. Replace all stored entries from the first index on.
    std::vector<log_entry> entries;
    /// Entries up to this index are known to be committed; all of them are
    /// in this batch or already stored.
    std::uint64_t committed_index = 0;
};

struct persisted_state
{
    replica_id self = 0;
    hard_state state;
    std::optional<snapshot> base;      ///< None before bootstrap or join.
    std::vector<log_entry> entries;    ///< Consecutive, after the snapshot.
    std::uint64_t committed_index = 0; ///< Highest that was stored.
};

class log_storage
{
public:
    virtual ~log_storage() = default;

    /// Returns OK once the whole batch is durable. RESOURCE_EXHAUSTED if the
    /// disk has no space: nothing of the batch counts, and the same batch must
    /// be persisted again before any other. After another error the replica
    /// must stop, because the contents of its disk are unknown.
    virtual absl::Status persist(const persist_batch& batch) = 0;
};

} // namespace hyssoploft::consensus

#endif
