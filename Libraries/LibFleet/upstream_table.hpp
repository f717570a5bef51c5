#ifndef HYSSOPLOFT_LIBFLEET_UPSTREAM_TABLE_HPP
#define HYSSOPLOFT_LIBFLEET_UPSTREAM_TABLE_HPP

// The upstreams that announced themselves to this control VM or to another
// one. Newest (incarnation, sequence) wins; an incarnation that leaves never
// serves again. Pure.

#include <LibCore/time.hpp>
#include <LibFleet/fleet_messages.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hyssoploft::fleet {

class upstream_table
{
public:
    explicit upstream_table(std::uint64_t& counter) : counter_(counter) {}

    enum class change : std::uint8_t
    {
        none,      ///< A renewal, or older than what is known.
        described, ///< New, or other properties.
        leaving    ///< It takes no new work from now on.
    };

    /// An announcement by the upstream itself.
    change announce(const upstream_row& it, core::time_point now);

    /// The incarnation that is known now leaves.
    change leave(const std::string& id, core::time_point now);

    /// News of another control VM.
    change merge(const upstream_row& it, core::time_point now);
    void merge_heard(const heard_row& it, core::time_point now);

    /// Marks silent upstreams and forgets those that ended long ago.
    void tick(core::time_point now);

    std::vector<upstream_row>
    changed_since(std::uint64_t cursor, core::time_point now) const;

    /// Upstreams that were forgotten after `cursor`.
    std::vector<std::string> forgotten_since(std::uint64_t cursor) const;

    /// Announcements that arrived here within `within`.
    std::vector<heard_row>
    heard_within(core::duration within, core::time_point now) const;

    struct entry
    {
        upstream_row row; // Its cold_ms is not kept up to date.
        core::time_point cold_until{};
        core::time_point heard{};  // By any control VM.
        core::time_point direct{}; // By this one.
        std::uint64_t changed = 0;
    };

    const std::map<std::string, entry>& entries() const
    {
        return entries_;
    }

    /// Three announcement periods: one may be lost and one late.
    static constexpr core::duration silence = std::chrono::milliseconds(4000);
    /// An upstream that only this fleet's control VMs don't hear may still
    /// serve; after this time it is taken as gone.
    static constexpr core::duration forget_after = std::chrono::seconds(30);

private:
    change take(const upstream_row& it, core::time_point now);
    bool is_superseded(const upstream_row& it) const;
    void end_others_at(const upstream_row& it);

    std::uint64_t& counter_;
    std::map<std::string, entry> entries_;
    std::map<std::string, std::uint64_t> forgotten_; // Number of the change.
};

} // namespace hyssoploft::fleet

#endif
