#ifndef HYSSOPLOFT_LIBFLEET_LEAVING_UPSTREAMS_HPP
#define HYSSOPLOFT_LIBFLEET_LEAVING_UPSTREAMS_HPP

// Upstreams whose answers to this VM said that they leave. The traffic thread
// obeys them at once, without the control thread; the control thread tells the
// control VMs, whose upstream_table keeps the state for the fleet. Does no I/O.

#include <LibCore/time.hpp>
#include <LibFleet/fleet_messages.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hyssoploft::fleet {

class leaving_upstreams
{
public:
    /// False if it is known already, or a newer incarnation is.
    bool
    add(const std::string& upstream, std::uint64_t incarnation,
        core::time_point now);

    /// Whether this incarnation, or a newer one, has said that it leaves.
    bool contains(const std::string& upstream, std::uint64_t incarnation) const;

    /// Those that `view` lists as serving: the control VMs don't know yet.
    std::vector<leave_row>
    unconfirmed(const membership::fleet_view& view, core::time_point now) const;

    /// Forgets those that were not listed, or in a newer incarnation only, for
    /// unlisted_retention. Call several times a minute.
    void remove_stale(const membership::fleet_view& view, core::time_point now);

    std::size_t size() const
    {
        return entries_.size();
    }

    /// A delayed announcement may list an upstream again that was removed.
    static constexpr core::duration unlisted_retention =
        std::chrono::minutes(10);

private:
    struct entry
    {
        std::uint64_t incarnation = 0; // The newest that leaves.
        core::time_point added_at{};
        core::time_point last_listed_at{}; // Or added.
    };

    std::map<std::string, entry> entries_;
};

} // namespace hyssoploft::fleet

#endif
