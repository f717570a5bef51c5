#ifndef HYSSOPLOFT_LIBFLEET_VIEW_MERGER_HPP
#define HYSSOPLOFT_LIBFLEET_VIEW_MERGER_HPP

// Merges the replies of several control VMs into one view. A VM or upstream
// counts as gone only if no control VM with a recent reply lists it as alive,
// since one of them may be partitioned or just started. Does no I/O.

#include <LibCore/time.hpp>
#include <LibFleet/fleet_messages.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hyssoploft::fleet {

class view_merger
{
public:
    struct position
    {
        std::uint64_t epoch = 0;
        std::uint64_t cursor = 0;
    };

    /// Position from which this control VM should continue its next reply.
    position position_at(const std::string& control_vm) const;

    void apply(
        const std::string& control_vm, const sync_reply& it,
        core::time_point now);

    /// Replaces `view.vms` and `view.upstreams` by the merged tables.
    void build(membership::fleet_view& view, core::time_point now);

    /// Load of the other VMs by upstream, from the latest reply that included
    /// loads; empty after loads_lifetime.
    std::vector<load_row> loads(core::time_point now) const;

    /// When loads() was received.
    core::time_point loads_received_at() const
    {
        return loads_received_at_;
    }

    /// Number of control VMs with a reply within the last source_lifetime.
    std::size_t fresh_source_count(core::time_point now) const;

    /// Several periods of the state exchange.
    static constexpr core::duration source_lifetime = std::chrono::seconds(3);

    /// Older loads say nothing about the calls that run now.
    static constexpr core::duration loads_lifetime = std::chrono::seconds(3);

private:
    struct upstream_view
    {
        upstream_row row;
        core::time_point cold_until{};
    };

    struct source
    {
        position next_position;
        bool settled = false;
        core::time_point received_at{};
        std::map<std::string, vm_row> vms;
        std::map<std::string, upstream_view> upstreams;
    };

    bool is_fresh(const source& it, core::time_point now) const
    {
        return now - it.received_at <= source_lifetime;
    }

    std::map<std::string, source> sources_;
    std::vector<load_row> loads_;
    std::string loads_source_; // Control VM that sent loads_.
    core::time_point loads_received_at_{};
    // Result of the last build().
    std::map<std::string, membership::vm_record> vms_;
    std::map<std::string, membership::upstream_record> upstreams_;
};

} // namespace hyssoploft::fleet

#endif
