#ifndef HYSSOPLOFT_LIBFLEET_VIEW_MERGER_HPP
#define HYSSOPLOFT_LIBFLEET_VIEW_MERGER_HPP

// Combines the answers of several control VMs into one view. A VM or upstream
// is taken as gone only if no control VM that was heard of lately lists it as
// live: one of them may be cut off or have just started. Pure.

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

    /// Where the next answer of this control VM should continue.
    position position_at(const std::string& control_vm) const;

    void apply(
        const std::string& control_vm, const sync_answer& it,
        core::time_point now);

    /// The merged view; `view.vms` and `view.upstreams` are replaced.
    void build(membership::fleet_view& view, core::time_point now);

    /// Sums over the other VMs, from the newest answer.
    const std::vector<load_row>& loads() const
    {
        return loads_;
    }

    /// Control VMs that answered lately.
    std::size_t fresh_sources(core::time_point now) const;

    /// Several exchange periods.
    static constexpr core::duration source_life = std::chrono::seconds(3);

private:
    struct upstream_view
    {
        upstream_row row;
        core::time_point cold_until{};
    };

    struct source
    {
        position at;
        bool settled = false;
        core::time_point heard{};
        std::map<std::string, vm_row> vms;
        std::map<std::string, upstream_view> upstreams;
    };

    bool is_fresh(const source& it, core::time_point now) const
    {
        return now - it.heard <= source_life;
    }

    std::map<std::string, source> sources_;
    std::vector<load_row> loads_;
    // As of the last build().
    std::map<std::string, membership::vm_record> vms_;
    std::map<std::string, membership::upstream_record> upstreams_;
};

} // namespace hyssoploft::fleet

#endif
