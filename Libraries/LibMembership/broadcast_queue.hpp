#ifndef HYSSOPLOFT_LIBMEMBERSHIP_BROADCAST_QUEUE_HPP
#define HYSSOPLOFT_LIBMEMBERSHIP_BROADCAST_QUEUE_HPP

// Queue of updates to piggyback on probes. Each item is sent a limited number
// of times, the least sent first.

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace hyssoploft::membership {

/// Transmissions of one item by one VM: `factor` times the number of gossip
/// rounds that reach this number of VMs. With a factor of 4 and no packet loss,
/// an item misses a VM with a probability below 1e-6; state_sync repairs the
/// rest.
constexpr std::size_t retransmit_limit(std::size_t vms, std::size_t factor)
{
    return factor * static_cast<std::size_t>(std::bit_width(vms + 1));
}

template <typename Key>
class broadcast_queue
{
public:
    explicit broadcast_queue(std::size_t max_items) : max_items_(max_items) {}

    /// Resets the transmission count of an item that is queued already. A full
    /// queue drops the item that was sent most often.
    void push(const Key& key)
    {
        if (items_.size() >= max_items_ && items_.count(key) == 0)
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

    /// Passes items to `accept`, the least sent first, and counts a
    /// transmission for each for which it returns true. Items sent `limit`
    /// times are dropped.
    template <typename Accept>
    void transmit(std::size_t limit, Accept accept)
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
            if (!accept(key))
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
    std::size_t max_items_;
    std::map<Key, std::size_t>
        items_; // Transmission counts; at most max_items_.
};

} // namespace hyssoploft::membership

#endif
