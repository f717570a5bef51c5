#ifndef HYSSOPLOFT_LIBGATEWAY_CONTROL_VIEW_HPP
#define HYSSOPLOFT_LIBGATEWAY_CONTROL_VIEW_HPP

// What the gateway needs of the control thread. All calls are thread safe and
// return at once.

#include <LibMembership/fleet_view.hpp>
#include <LibResource/configuration.hpp>

#include <cstdint>
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

    /// An upstream announced or renewed itself.
    virtual void announce(membership::upstream_record record) = 0;

    /// An upstream reported its load. `lag` is its age on arrival.
    virtual void report_load(
        const std::string& upstream, membership::load_report report) = 0;

    /// An upstream leaves: it gets no new work.
    virtual void
    leave(const std::string& upstream, std::uint64_t incarnation) = 0;

    /// Publishes this VM's own state in the directory of entry VMs.
    virtual void set_overloaded(bool overloaded) = 0;
};

} // namespace hyssoploft::gateway

#endif
