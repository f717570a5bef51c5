#ifndef HYSSOPLOFT_LIBRESOURCE_WITHDRAWAL_SET_HPP
#define HYSSOPLOFT_LIBRESOURCE_WITHDRAWAL_SET_HPP

// Digests of withdrawn keys that this VM has heard of, committed or not. It
// only grows, and merging is commutative, associative and idempotent, so that
// gossip may deliver it in any order and any number of times.

#include <LibResource/change_batch.hpp>

#include <absl/status/status.h>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace hyssoploft::resource {

/// At 64 digits and a tree node each about 10 MB.
inline constexpr std::size_t max_withdrawals = 65'536;

class withdrawal_set
{
public:
    /// Adds one. INVALID_ARGUMENT if it is no digest,
    /// RESOURCE_EXHAUSTED if the set is full.
    absl::Status add(const std::string& digest);

    /// Adds all valid digests and returns those that are new.
    std::vector<std::string> merge(const std::vector<std::string>& digests);

    bool contains(const std::string& digest) const
    {
        return digests_.contains(digest);
    }

    std::size_t size() const
    {
        return digests_.size();
    }

    const std::set<std::string>& digests() const
    {
        return digests_;
    }

    /// Those that `committed` does not hold yet; at most `max_count`, for a
    /// batch that commits them.
    std::vector<std::string>
    uncommitted(const configuration& committed, std::size_t max_count) const;

    /// Drops digests that `committed` holds: from now on it answers for them.
    /// Returns how many.
    std::size_t drop_committed(const configuration& committed);

private:
    std::set<std::string> digests_; // At most max_withdrawals.
};

/// The batch that commits these digests. Its request identifier depends on
/// them only, so that VMs which propose the same withdrawals don't use up the
/// kept request identifiers of operators.
change_batch make_withdrawal_batch(
    std::vector<std::string> digests, const std::string& author);

/// True if the configuration or the gossip says so.
bool is_withdrawn(
    const configuration& committed, const withdrawal_set& heard,
    const std::string& digest);

} // namespace hyssoploft::resource

#endif
