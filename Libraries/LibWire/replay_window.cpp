// Sliding bit mask for each sender.

#include <LibWire/replay_window.hpp>

namespace hyssoploft::wire {

std::optional<drop_reason> replay_window::check(
    const std::string& sender, std::uint64_t incarnation,
    std::uint64_t sequence)
{
    if (sequence == 0)
    {
        return drop_reason::replayed;
    }
    auto it = senders_.find(sender);
    if (it == senders_.end())
    {
        // Evicting a window would let its frames be replayed.
        if (senders_.size() >= max_senders_)
        {
            return drop_reason::too_many_senders;
        }
        it = senders_.emplace(sender, window{incarnation, 0, {}}).first;
    }
    auto& w = it->second;
    if (incarnation < w.incarnation)
    {
        return drop_reason::stale_incarnation;
    }
    if (incarnation > w.incarnation)
    {
        w = window{incarnation, 0, {}};
    }
    if (sequence > w.highest)
    {
        const auto shift = sequence - w.highest;
        w.seen = shift < width ? w.seen << shift : std::bitset<width>{};
        w.seen.set(0);
        w.highest = sequence;
        return std::nullopt;
    }
    const auto age = w.highest - sequence;
    if (age >= width || w.seen.test(age))
    {
        return drop_reason::replayed;
    }
    w.seen.set(age);
    return std::nullopt;
}

} // namespace hyssoploft::wire
