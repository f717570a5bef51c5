#ifndef HYSSOPLOFT_LIBCONTROL_LEASE_DRIVER_HPP
#define HYSSOPLOFT_LIBCONTROL_LEASE_DRIVER_HPP

// Exchanges rate leases with the leader: sends the requests of this VM's
// holder, and on the leader answers with the grants of the grantor.

#include <LibControl/proposal_client.hpp>
#include <LibCore/clock.hpp>
#include <LibRate/lease_grantor.hpp>
#include <LibRate/lease_holder.hpp>
#include <LibResource/configuration.hpp>
#include <LibWire/peer_transport.hpp>

#include <memory>
#include <string>

namespace hyssoploft::control {

class lease_driver
{
public:
    lease_driver(
        wire::peer_transport& transport, proposal_client& proposals,
        std::shared_ptr<rate::lease_holder> holder, core::clock& clock);

    /// Installs the rates of a new configuration.
    void install(const resource::configuration& declared);

    /// Sends a request when one is due.
    void tick();

    /// Answers a request of another VM with a grant, or with the known leader
    /// if this VM is not the leader.
    void serve(const wire::incoming_message& request);

    void role_changed(bool leader, std::uint64_t term);

    /// Returns all leases, at shutdown.
    void release();

private:
    void send_request(const rate::lease_request& request);
    void on_answer(const wire::incoming_message& answer);

    wire::peer_transport& transport_;
    proposal_client& proposals_;
    std::shared_ptr<rate::lease_holder> holder_;
    rate::lease_grantor grantor_;
    core::clock& clock_;
    bool released_ = false;
};

/// The part of the configuration that rates depend on.
rate::declared_rates declared_rates_of(const resource::configuration& it);

} // namespace hyssoploft::control

#endif
