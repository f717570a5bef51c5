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
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hyssoploft::control {

/// Finds VMs and the leader.
class fleet_source
{
public:
    virtual ~fleet_source() = default;
    virtual std::shared_ptr<const membership::fleet_view> current_fleet() = 0;
};

class proposal_client
{
public:
    using result_handler = std::function<void(absl::StatusOr<std::string>)>;

    /// `replica` is null on a VM without a disk.
    proposal_client(
        wire::peer_transport& transport, fleet_source& fleet,
        local_replica* replica, core::clock& clock);

    /// Calls `done` once with the state machine's result; UNAVAILABLE if the
    /// command is certain not to be in the log, DEADLINE_EXCEEDED if it may
    /// be or may yet get there.
    void propose(
        command_kind kind, std::string body, core::duration timeout,
        result_handler done);

    /// Sends what waits for its next try. Call at least every 50 ms.
    void tick();

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
    void distrust(const std::string& vm);
    void try_later(const std::shared_ptr<attempt_state>& it);
    void give_up(const std::shared_ptr<attempt_state>& it);
    std::string next_control_address();

    wire::peer_transport& transport_;
    fleet_source& fleet_;
    local_replica* replica_;
    core::clock& clock_;
    std::string leader_vm_; // Last hint; empty if there is none.
    // Did not answer as leader when it was last asked. The own replica's
    // belief in it is not followed until somebody else names it.
    std::string failed_leader_;
    std::vector<std::shared_ptr<attempt_state>> waiting_;
    std::size_t next_control_ = 0; // Rotates over the control VMs.
};

} // namespace hyssoploft::control

#endif
