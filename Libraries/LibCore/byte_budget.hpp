#ifndef HYSSOPLOFT_LIBCORE_BYTE_BUDGET_HPP
#define HYSSOPLOFT_LIBCORE_BYTE_BUDGET_HPP

// Bounds the memory of buffers that grow with what peers send. Each buffer
// holds a reservation of an owner, such as the address that the bytes come
// from; one owner takes a part of the budget only. Small buffers cost nothing:
// they are bounded by the number of connections, and must not fail because
// large ones have used the budget up.
//
// Not thread safe: it belongs to one traffic thread.

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace hyssoploft::core {

class byte_budget
{
public:
    /// Bytes of each buffer that are not charged.
    static constexpr std::size_t free_bytes = std::size_t{16} << 10;

    byte_budget(std::size_t limit, std::size_t limit_per_owner)
        : limit_(limit), limit_per_owner_(limit_per_owner)
    {}

    std::size_t used() const
    {
        return used_;
    }

    /// Reservations that were refused for lack of room.
    std::size_t refused() const
    {
        return refused_;
    }

private:
    friend class byte_reservation;

    bool take(const std::string& owner, std::size_t bytes);
    void give_back(const std::string& owner, std::size_t bytes);

    std::size_t limit_;
    std::size_t limit_per_owner_;
    std::size_t used_ = 0; // Sum of by_owner_.
    std::size_t refused_ = 0;
    std::map<std::string, std::size_t> by_owner_; // No entries of 0.
};

/// The part of a budget that one buffer holds. Given back on destruction.
class byte_reservation
{
public:
    /// Without a budget there is no bound.
    byte_reservation() = default;
    byte_reservation(std::shared_ptr<byte_budget> budget, std::string owner);
    ~byte_reservation();
    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;
    byte_reservation(byte_reservation&& other) noexcept;
    byte_reservation& operator=(byte_reservation&& other) noexcept;

    /// Call before a buffer grows to `bytes`. False if there is no room; the
    /// reservation is unchanged then. A buffer that shrinks gives back.
    bool resize(std::size_t bytes);

private:
    void release();

    std::shared_ptr<byte_budget> budget_;
    std::string owner_;
    std::size_t charged_ = 0;
};

} // namespace hyssoploft::core

#endif
