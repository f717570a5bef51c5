#ifndef HYSSOPLOFT_LIBCONTROL_PROPOSAL_CLIENT_HPP
#define HYSSOPLOFT_LIBCONTROL_PROPOSAL_CLIENT_HPP

// Brings commands to the leader of the log, from any VM, and sends them again
// until they are committed or the time is over. Commands are idempotent, so a
// resend after a lost answer is safe.

#include <LibControl/control_messages.hpp>
#include <LibControl/replica_driver.hpp>
#include <LibCore/clock.hpp>
#include <LibMembership/fleet_view.hpp>
#include <LibWire/peer_transport.hpp>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace hyssoploft::control {

/// Finds VMs and the leader.
class fleet_source
{
public:
    virtual ~fleet_source() = default;
    virtual std::shared_ptr<const membership::fleet_view> fleet_now() = 0;
};

class proposal_client
{
public:
    using result_handler = std::function<void(absl::StatusOr<std::string>)>;

    /// `replica` is null on a VM without a disk.
    proposal_client(
        boost::asio::io_context& control, wire::peer_transport& transport,
        fleet_source& fleet, replica_driver* replica, core::clock& clock);

    /// Calls `done` once with the state machine's result; UNAVAILABLE if the
    /// command is certain not to be in the log, DEADLINE_EXCEEDED if it may
    /// be or may yet get there.
    void propose(
        command_kind kind, std::string body, core::duration timeout,
        result_handler done);

    /// Peer address of the leader as far as it is known, else of some control
    /// VM; empty without any. Empty too if this VM is the leader.
    std::string leader_address();

    /// Remembers who leads; an empty name forgets it.
    void set_leader(const std::string& vm);

    /// The VM that leads, as last heard; empty if it is not known.
    std::string leader_vm() const;

private:
    struct attempt_state;

    void try_once(const std::shared_ptr<attempt_state>& it);
    void on_result(
        const std::shared_ptr<attempt_state>& it, const propose_result& result);
    void try_later(const std::shared_ptr<attempt_state>& it);
    void give_up(const std::shared_ptr<attempt_state>& it);
    std::string next_control_address();

    boost::asio::io_context& control_;
    wire::peer_transport& transport_;
    fleet_source& fleet_;
    replica_driver* replica_;
    core::clock& clock_;
    std::string leader_vm_;        // Last hint; empty if there is none.
    std::size_t next_control_ = 0; // Rotates over the control VMs.
};

} // namespace hyssoploft::control

#endif
