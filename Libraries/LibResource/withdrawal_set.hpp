#ifndef HYSSOPLOFT_LIBRESOURCE_WITHDRAWAL_SET_HPP
#define HYSSOPLOFT_LIBRESOURCE_WITHDRAWAL_SET_HPP

// Digests of withdrawn keys that this VM has received, committed or not.
// Merging is commutative, associative and idempotent, so that gossip may
// deliver digests in any order and any number of times. A digest is removed
// only once it is committed.

#include <LibResource/change_batch.hpp>

#include <absl/status/status.h>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace hyssoploft::resource {

/// About 10 MB, at 64 digits and a tree node per digest.
inline constexpr std::size_t max_withdrawals = 65'536;

class withdrawal_set
{
public:
    /// INVALID_ARGUMENT if `digest` is malformed, RESOURCE_EXHAUSTED if the
    /// set is full.
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

    /// Up to `max_count` digests that `committed` does not contain yet, for a
    /// batch that commits them.
    std::vector<std::string>
    uncommitted(const configuration& committed, std::size_t max_count) const;

    /// Removes digests that `committed` contains, because is_withdrawn() finds
    /// them there. Returns the number of removed digests.
    std::size_t drop_committed(const configuration& committed);

private:
    std::set<std::string> digests_; // At most max_withdrawals.
};

/// The batch that commits these digests. Its request identifier is a hash of
/// the digests: VMs that propose the same withdrawals then share one entry of
/// the bounded list of request identifiers, and displace no operator's entry.
change_batch make_withdrawal_batch(
    std::vector<std::string> digests, const std::string& author);

/// True if the key is withdrawn in `committed` or in the digests received by
/// gossip.
bool is_withdrawn(
    const configuration& committed, const withdrawal_set& received,
    const std::string& digest);

} // namespace hyssoploft::resource

#endif
