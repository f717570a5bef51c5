#ifndef HYSSOPLOFT_LIBMEMBERSHIP_WITHDRAWAL_SET_HPP
#define HYSSOPLOFT_LIBMEMBERSHIP_WITHDRAWAL_SET_HPP

// Digests of withdrawn keys that are not yet committed to the log as far as
// this VM knows. A digest is removed only when it is committed.

#include <LibMembership/broadcast_queue.hpp>
#include <LibMembership/messages.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <set>
#include <vector>

namespace hyssoploft::membership {

class withdrawal_set
{
public:
    /// 4,096 digests are 128 KiB, which fits a state_sync.
    static constexpr std::size_t max_withdrawals = 4096;

    /// `is_committed` is true for digests that the log contains. These are not
    /// added, so that a peer that lags behind doesn't bring them back.
    explicit withdrawal_set(std::function<bool(const key_digest&)> is_committed)
        : is_committed_(std::move(is_committed)), queue_(max_withdrawals)
    {}

    /// True if the digest is new. RESOURCE_EXHAUSTED if the set is full: the
    /// caller must not report the withdrawal as accepted.
    absl::StatusOr<bool> add(const key_digest& it);

    /// Removes the digests that the log contains.
    void drop_committed();

    const std::set<key_digest>& items() const
    {
        return items_;
    }

    /// Equal for equal sets.
    std::uint64_t digest() const
    {
        return digest_;
    }

    broadcast_queue<key_digest>& queue()
    {
        return queue_;
    }

private:
    std::function<bool(const key_digest&)> is_committed_;
    std::set<key_digest> items_;
    std::uint64_t digest_ = 0; // Sum of the hashes of items_.
    broadcast_queue<key_digest> queue_;
};

} // namespace hyssoploft::membership

#endif
