// Set of withdrawn keys that grows until they are committed to the log.

#include <LibMembership/withdrawal_set.hpp>

#include <LibMembership/table_hash.hpp>

namespace hyssoploft::membership {

namespace {

std::uint64_t hash_of(const key_digest& it)
{
    return hash_text({reinterpret_cast<const char*>(it.data()), it.size()});
}

} // namespace

absl::StatusOr<bool> withdrawal_set::add(const key_digest& it)
{
    if (items_.count(it) != 0 || (is_committed_ && is_committed_(it)))
    {
        return false;
    }
    if (items_.size() >= max_withdrawals)
    {
        return absl::ResourceExhaustedError(
            "too many withdrawals wait for the log");
    }
    items_.insert(it);
    digest_ += hash_of(it);
    queue_.push(it);
    return true;
}

void withdrawal_set::drop_committed()
{
    for (auto it = items_.begin(); it != items_.end();)
    {
        if (is_committed_ && is_committed_(*it))
        {
            digest_ -= hash_of(*it);
            it = items_.erase(it);
        }
        else
        {
            ++it;
        }
    }
}

} // namespace hyssoploft::membership
