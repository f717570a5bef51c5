#ifndef HYSSOPLOFT_LIBFLEET_DEPARTED_UPSTREAMS_HPP
#define HYSSOPLOFT_LIBFLEET_DEPARTED_UPSTREAMS_HPP

// Incarnations of upstreams that have left. A departure is kept whether or not
// its upstream is listed, because it can overtake the first announcement, and
// an announcement can arrive after the row was removed. Does no I/O and reads
// no clock.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssoploft::fleet {

/// The departure of an incarnation of an upstream, and of all earlier ones.
struct departure
{
    std::string upstream;
    std::uint64_t incarnation = 0;

    bool operator==(const departure&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(upstream, incarnation);
    }
};

class departed_upstreams
{
public:
    /// Time of the owner; never decreases.
    using time = std::chrono::milliseconds;

    /// False if this incarnation or a later one is known to have left. When
    /// there are too many, the upstream that left first is forgotten.
    bool add(const departure& it, time now);

    /// Whether this incarnation or a later one has left.
    bool contains(const std::string& upstream, std::uint64_t incarnation) const;

    /// The latest incarnation that has left.
    std::optional<std::uint64_t>
    incarnation_of(const std::string& upstream) const;

    /// Forgets departures that were added more than `retention` ago.
    void remove_old(time now);

    std::size_t size() const
    {
        return entries_.size();
    }

    /// A departure that is kept.
    struct row
    {
        departure left;
        std::int64_t added_at_ms = 0;
        std::uint64_t number = 0; ///< Rises with each departure added.

        template <typename Archive>
        void serialize(Archive& archive)
        {
            archive(left, added_at_ms, number);
        }
    };

    /// Those with a higher number than `number`, oldest first.
    std::vector<row> rows_after(std::uint64_t number) const;

    /// Of the last departure added; 0 before the first one.
    std::uint64_t last_number() const
    {
        return last_number_;
    }

    /// Replaces the content by rows in the order of their numbers.
    void restore(const std::vector<row>& rows, std::uint64_t last_number);

    /// Number of departures forgotten before the end of `retention`.
    std::uint64_t forgotten() const
    {
        return forgotten_;
    }

    /// Far longer than an announcement or a row of another VM can be late.
    static constexpr time retention = std::chrono::minutes(10);
    /// Several departures of each upstream of the largest fleet.
    static constexpr std::size_t max_upstreams = 8192;

private:
    struct entry
    {
        std::uint64_t incarnation = 0;
        time added_at{};
        std::uint64_t number = 0; // Key in order_.
    };

    void remove_first();
    void insert(const row& it);

    std::map<std::string, entry> entries_;       // At most max_upstreams.
    std::map<std::uint64_t, std::string> order_; // Oldest first.
    std::uint64_t last_number_ = 0;
    std::uint64_t forgotten_ = 0;
};

} // namespace hyssoploft::fleet

#endif
