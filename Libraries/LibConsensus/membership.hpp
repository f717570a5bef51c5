#ifndef HYSSOPLOFT_LIBCONSENSUS_MEMBERSHIP_HPP
#define HYSSOPLOFT_LIBCONSENSUS_MEMBERSHIP_HPP

// Members of the cluster. Each change adds or removes at most one voter, so
// that every quorum before the change overlaps every quorum after it.

#include <LibConsensus/log_entry.hpp>

#include <absl/status/statusor.h>
#include <cereal/types/vector.hpp>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hyssoploft::consensus {

/// Limit on voters plus learners. Bounds the work of each tick.
inline constexpr std::size_t max_replicas = 16;

enum class membership_change_kind : std::uint8_t
{
    add_learner,
    promote, ///< Learner to voter.
    remove   ///< A voter or a learner.
};

inline constexpr core::enum_table<membership_change_kind, 3>
    membership_change_names{
        {{membership_change_kind::add_learner, "add_learner"},
         {membership_change_kind::promote, "promote"},
         {membership_change_kind::remove, "remove"}}};

struct membership_change
{
    membership_change_kind kind = membership_change_kind::add_learner;
    replica_id replica = 0;
};

struct membership
{
    std::vector<replica_id> voters;   // Sorted, disjoint from the learners.
    std::vector<replica_id> learners; // Sorted.

    bool operator==(const membership&) const = default;

    bool is_voter(replica_id id) const;
    bool is_learner(replica_id id) const;

    /// Smallest number of voters such that any two quorums overlap.
    std::size_t quorum() const
    {
        return voters.size() / 2 + 1;
    }

    /// The membership after `change`. INVALID_ARGUMENT if the change does not
    /// apply to this one.
    absl::StatusOr<membership> with(const membership_change& change) const;
};

template <typename Archive>
void serialize(Archive& ar, membership& it)
{
    ar(it.voters, it.learners);
}

std::string encode(const membership& it);
absl::StatusOr<membership> decode_membership(const std::string& bytes);

/// The memberships of the log: that of the snapshot and one for each
/// membership entry after it. A membership takes effect as soon as its entry
/// is in the log, committed or not.
class membership_history
{
public:
    /// Replaces the whole history by this membership.
    void reset(std::uint64_t index, membership it);
    void append(std::uint64_t index, membership it);
    /// Drops memberships of entries from `index` on.
    void truncate(std::uint64_t index);
    /// Drops memberships that were superseded at or before `index`.
    void compact(std::uint64_t index);

    const membership& current() const
    {
        return items_.back().second;
    }

    /// Index of the entry of the current membership.
    std::uint64_t current_index() const
    {
        return items_.back().first;
    }

    /// The membership in effect at `index`.
    const membership& at(std::uint64_t index) const;

private:
    // Never empty; ascending by index.
    std::vector<std::pair<std::uint64_t, membership>> items_{{0, {}}};
};

} // namespace hyssoploft::consensus

#endif
