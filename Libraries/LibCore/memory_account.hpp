#ifndef HYSSOPLOFT_LIBCORE_MEMORY_ACCOUNT_HPP
#define HYSSOPLOFT_LIBCORE_MEMORY_ACCOUNT_HPP

// One account of the memory and the connections that clients take in a
// process. Each connection has an entry; what it holds is charged before the
// bytes are read. Without room the unfinished request that has held its memory
// for longest gives way. A request that runs never does, since nobody could
// say then whether it ran.
//
// Not thread safe: it belongs to one traffic thread.

#include <LibCore/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

namespace hyssoploft::core {

struct account_limits
{
    std::size_t bytes = 0;       ///< Of all requests together.
    std::size_t small_part = 0;  ///< Bytes that large requests leave free.
    std::size_t connections = 0; ///< Open at once.
};

enum class connection_phase : std::uint8_t
{
    idle,    ///< Between two requests.
    reading, ///< A request is not whole.
    running, ///< A request is being handled.
    writing  ///< Bytes of an answer wait for the client.
};

enum class reservation_result : std::uint8_t
{
    granted,
    wait,   ///< Try again soon; an unfinished request may end or give way.
    refused ///< No room, and nothing that may give way.
};

class memory_account;

/// The part of an account that one connection holds. Given back on
/// destruction.
class account_entry
{
public:
    /// `give_way` ends the connection; it may run inside any call of another
    /// entry and must not destroy this one before it returns.
    account_entry(
        std::shared_ptr<memory_account> account, std::function<void()> give_way,
        time_point now);
    ~account_entry();
    account_entry(const account_entry&) = delete;
    account_entry& operator=(const account_entry&) = delete;

    connection_phase phase() const
    {
        return phase_;
    }

    void set_phase(connection_phase it, time_point now);

    /// Call before the connection holds `bytes` in all. A request of up to
    /// memory_account::small_bytes never waits. One that `can_wait` has to
    /// wait while unfinished requests have held their memory for less than
    /// memory_account::patience. What is held is unchanged unless granted.
    reservation_result
    reserve(std::size_t bytes, bool can_wait, time_point now);

    /// Ends a wait without a grant; the request is refused.
    void stop_waiting();

private:
    friend class memory_account;

    void set_waiting(bool waits);

    std::shared_ptr<memory_account> account_;
    std::function<void()> give_way_;
    std::list<account_entry*>::iterator place_; // In account_->entries_.
    connection_phase phase_ = connection_phase::idle;
    time_point since_;        // Of the phase.
    time_point held_since_{}; // Of a large reservation.
    std::size_t held_ = 0;    // Counted in account_->used_.
    bool waits_ = false;      // Counted in account_->waiting_.
    bool is_closed_ = false;  // It gave way and holds nothing.
};

class memory_account
{
public:
    /// Requests up to this size are small: nearly all of ordinary traffic.
    static constexpr std::size_t small_bytes = std::size_t{64} << 10;

    /// A body of the largest size arrives in less over a link of the fleet.
    static constexpr std::chrono::seconds patience{2};

    /// Bytes of waiting clients fill the system's buffers, which count as
    /// memory of the VM.
    static constexpr std::size_t max_waiting = 16;

    explicit memory_account(const account_limits& limits) : limits_(limits) {}

    /// Whether one more connection may be opened. At the limit the one that is
    /// idle, unfinished or doesn't read its answer for longest is closed.
    bool make_room_for_connection(time_point now);

    std::size_t used() const
    {
        return used_;
    }

    std::size_t connections() const
    {
        return entries_.size();
    }

    /// Connections that gave way.
    std::uint64_t closed() const
    {
        return closed_;
    }

    /// Requests that were refused for lack of room.
    std::uint64_t refused() const
    {
        return refused_;
    }

private:
    friend class account_entry;

    account_entry* oldest_unfinished(const account_entry& wants, bool large);
    account_entry* oldest_closable(time_point now);
    void close(account_entry& it);

    account_limits limits_;
    std::list<account_entry*> entries_; // All open connections.
    std::size_t used_ = 0;              // Sum over the entries.
    std::size_t waiting_ = 0;           // Up to max_waiting.
    std::uint64_t closed_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace hyssoploft::core

#endif
