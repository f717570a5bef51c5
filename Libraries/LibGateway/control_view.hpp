#ifndef HYSSOPLOFT_LIBGATEWAY_CONTROL_VIEW_HPP
#define HYSSOPLOFT_LIBGATEWAY_CONTROL_VIEW_HPP

// Interface of the gateway to the control thread. All calls are thread safe and
// do not block.

#include <LibMembership/fleet_view.hpp>
#include <LibResource/configuration.hpp>

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hyssoploft::gateway {

class control_view
{
public:
    virtual ~control_view() = default;

    /// The newest configuration that is in force at this VM; never null.
    virtual std::shared_ptr<const resource::configuration>
    configuration() const = 0;

    /// The newest view of VMs and upstreams; never null.
    virtual std::shared_ptr<const membership::fleet_view> fleet() const = 0;

    /// True for the digest of a key that was withdrawn, by the configuration
    /// or by gossip that is not committed yet.
    virtual bool is_withdrawn(const std::string& key_digest) const = 0;

    /// Registers an upstream or renews its lease.
    virtual void announce(membership::upstream_record record) = 0;

    /// Records a load report of an upstream. Its `lag` is its age on arrival.
    virtual void report_load(
        const std::string& upstream, membership::load_report report) = 0;

    using leave_handler = std::function<void(absl::Status)>;
    /// Deregisters an upstream, which then receives no new calls. OK once that
    /// is committed to the log; UNAVAILABLE or DEADLINE_EXCEEDED if it may get
    /// lost with this VM. `done` may run on another thread.
    virtual void leave(
        const std::string& upstream, std::uint64_t incarnation,
        leave_handler done) = 0;

    /// Publishes in the directory of entry VMs whether this VM is overloaded.
    virtual void set_overloaded(bool overloaded) = 0;
};

} // namespace hyssoploft::gateway

#endif
