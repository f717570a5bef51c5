#ifndef HYSSOPLOFT_LIBMEMBERSHIP_BROADCAST_QUEUE_HPP
#define HYSSOPLOFT_LIBMEMBERSHIP_BROADCAST_QUEUE_HPP

// News that is still to be piggybacked: each item is sent a limited number of
// times, the least sent first.

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace hyssoploft::membership {

/// Transmissions of one item by one VM: `factor` times the rounds that an
/// epidemic needs for this number of VMs. With 4, an item misses a VM with a
/// probability below 1e-6 without loss; state_sync repairs the rest.
constexpr std::size_t retransmit_limit(std::size_t vms, std::size_t factor)
{
    return factor * static_cast<std::size_t>(std::bit_width(vms + 1));
}

template <typename Key>
class broadcast_queue
{
public:
    explicit broadcast_queue(std::size_t bound) : bound_(bound) {}

    /// Restarts the item's count if it is queued already. A full queue drops
    /// its most sent item.
    void push(const Key& key)
    {
        if (items_.size() >= bound_ && items_.count(key) == 0)
        {
            items_.erase(std::max_element(
                items_.begin(), items_.end(), [](const auto& a, const auto& b) {
                    return a.second < b.second;
                }));
        }
        items_[key] = 0;
    }

    bool empty() const
    {
        return items_.empty();
    }

    std::size_t size() const
    {
        return items_.size();
    }

    /// Offers items to `take`, the least sent first, and counts those that it
    /// accepts by returning true. Items sent `limit` times are dropped.
    template <typename Take>
    void transmit(std::size_t limit, Take take)
    {
        std::vector<std::pair<std::size_t, Key>> order;
        order.reserve(items_.size());
        for (const auto& [key, sent] : items_)
        {
            order.emplace_back(sent, key);
        }
        std::sort(order.begin(), order.end());
        for (const auto& [sent, key] : order)
        {
            if (!take(key))
            {
                continue;
            }
            if (sent + 1 >= limit)
            {
                items_.erase(key);
            }
            else
            {
                items_[key] = sent + 1;
            }
        }
    }

private:
    std::size_t bound_;
    std::map<Key, std::size_t> items_; // Times sent; at most bound_ items.
};

} // namespace hyssoploft::membership

#endif
