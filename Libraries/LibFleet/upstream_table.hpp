#ifndef HYSSOPLOFT_LIBFLEET_UPSTREAM_TABLE_HPP
#define HYSSOPLOFT_LIBFLEET_UPSTREAM_TABLE_HPP

// Upstreams that announced themselves to this or another control VM. The newest
// (incarnation, sequence) wins; an incarnation that has left never serves
// again, also if it was not listed when it left. Does no I/O.

#include <LibCore/time.hpp>
#include <LibFleet/departed_upstreams.hpp>
#include <LibFleet/fleet_messages.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hyssoploft::fleet {

class upstream_table
{
public:
    explicit upstream_table(std::uint64_t& change_counter)
        : change_counter_(change_counter)
    {}

    /// Roles that the manifest names. Upstreams of other roles expire no one
    /// at their address and replace no row of a named role. Before the first
    /// call, all roles count as named.
    void set_roles(std::set<std::string> roles)
    {
        roles_ = std::move(roles);
    }

    enum class change : std::uint8_t
    {
        none,    ///< A renewal, or older than the stored row.
        updated, ///< New, or changed properties.
        leaving  ///< Accepts no new calls from now on.
    };

    /// Applies an announcement received directly from the upstream.
    change announce(const upstream_row& it, core::time_point now);

    /// Records a departure, which marks the row of that incarnation or of an
    /// earlier one as leaving, now or when it arrives.
    change leave(const departure& it, core::time_point now);

    /// The incarnation that a departure without one means, of an upstream that
    /// is present at `unix_ms`: the one that has left, if no later one is
    /// listed, as upstreams repeat their departures; else any that has started
    /// by then, since the one that leaves may not have been heard of.
    std::uint64_t
    find_departing(const std::string& id, std::uint64_t unix_ms) const;

    /// Applies a row of another control VM.
    change merge(const upstream_row& it, core::time_point now);
    void merge_announcement(const announcement_row& it, core::time_point now);

    /// Marks upstreams after silence_timeout and removes them after
    /// removal_timeout.
    void tick(core::time_point now);

    std::vector<upstream_row>
    changed_since(std::uint64_t cursor, core::time_point now) const;

    /// IDs of upstreams removed after change `cursor`.
    std::vector<std::string> removed_since(std::uint64_t cursor) const;

    /// Announcements received directly within the last `within`.
    std::vector<announcement_row>
    announcements_within(core::duration within, core::time_point now) const;

    struct entry
    {
        upstream_row row; // cold_ms is as announced; see cold_until.
        core::time_point cold_until{};
        core::time_point last_seen_at{};   // By any control VM.
        core::time_point last_direct_at{}; // By this control VM.
        std::uint64_t change_number = 0;
    };

    const std::map<std::string, entry>& entries() const
    {
        return entries_;
    }

    const departed_upstreams& departed() const
    {
        return departed_;
    }

    /// Three announcement periods: tolerates one lost and one late
    /// announcement.
    static constexpr core::duration silence_timeout =
        std::chrono::milliseconds(4000);
    /// A silent upstream may still serve calls, as only its announcements to
    /// the control VMs may be lost. After this time it is removed.
    static constexpr core::duration removal_timeout = std::chrono::seconds(30);
    /// Tolerated difference between the clocks of a VM and of an upstream that
    /// is not listed. Shorter than the time between a departure and the next
    /// start of the upstream, which serves on for a while after it.
    static constexpr std::chrono::milliseconds start_time_tolerance{2000};

private:
    change apply(const upstream_row& it, core::time_point now);
    bool is_named_role(const std::string& role) const
    {
        return !roles_ || roles_->contains(role);
    }

    /// False for an entry of an unknown role in place of one of a named role.
    bool may_replace(const upstream_row& old, const upstream_row& it) const;
    bool is_superseded(const upstream_row& it) const;
    void expire_replaced_by(const upstream_row& it);

    std::uint64_t& change_counter_;
    // No incarnation in departed_ has a row in the state serving.
    std::map<std::string, entry> entries_;
    departed_upstreams departed_;
    std::map<std::string, std::uint64_t> removed_; // Change number.
    std::optional<std::set<std::string>> roles_;
};

} // namespace hyssoploft::fleet

#endif
