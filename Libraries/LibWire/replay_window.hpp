#ifndef HYSSOPLOFT_LIBWIRE_REPLAY_WINDOW_HPP
#define HYSSOPLOFT_LIBWIRE_REPLAY_WINDOW_HPP

// Accepts each datagram of a sender at most once. Called with authenticated
// frames only, so that a forger can't move a window.

#include <LibWire/drop_reason.hpp>

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace hyssoploft::wire {

class replay_window
{
public:
    /// Sequences that may arrive out of order behind the highest one seen.
    static constexpr std::size_t width = 256;

    explicit replay_window(std::size_t max_senders = 1024)
        : max_senders_(max_senders)
    {}

    /// Nothing if the frame is new; it then counts as seen. A higher
    /// incarnation starts a new window; a lower one is stale.
    std::optional<drop_reason> check(
        const std::string& sender, std::uint64_t incarnation,
        std::uint64_t sequence);

    /// Makes room when a sender has left the fleet for good.
    void forget(const std::string& sender)
    {
        senders_.erase(sender);
    }

private:
    struct window
    {
        std::uint64_t incarnation = 0;
        std::uint64_t highest = 0;
        std::bitset<width> seen; // Bit n: sequence `highest - n` was seen.
    };

    std::size_t max_senders_;
    std::map<std::string, window> senders_; // At most max_senders_.
};

} // namespace hyssoploft::wire

#endif
