#ifndef HYSSOPLOFT_LIBCONTROL_PROPOSAL_CLIENT_HPP
#define HYSSOPLOFT_LIBCONTROL_PROPOSAL_CLIENT_HPP

// Sends commands from any VM to the leader of the log and retries until they
// are committed or time out. Commands are idempotent, so a retry after a lost
// answer is safe.

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

/// Provides the current view of the fleet.
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
    /// command is certainly not in the log, DEADLINE_EXCEEDED if it is or may
    /// still be committed.
    void propose(
        command_kind kind, std::string body, core::duration timeout,
        result_handler done);

    /// Sends the commands whose retry is due. Call at least every 50 ms.
    void tick();

    /// Peer address of the leader if it is known, else of some control VM.
    /// Empty if there is none or if this VM is the leader.
    std::string leader_address();

    /// Sets the known leader; empty: unknown.
    void set_leader(const std::string& vm);

    /// The last known leader; empty if unknown.
    std::string leader_vm() const;

private:
    struct proposal_state;

    void send_attempt(const std::shared_ptr<proposal_state>& it);
    void on_result(
        const std::shared_ptr<proposal_state>& it,
        const propose_result& result);
    void mark_leader_failed(const std::string& vm);
    void schedule_retry(const std::shared_ptr<proposal_state>& it);
    void report_failure(const std::shared_ptr<proposal_state>& it);
    std::string next_control_address();

    wire::peer_transport& transport_;
    fleet_source& fleet_;
    local_replica* replica_;
    core::clock& clock_;
    std::string leader_vm_; // Last hint; empty if there is none.
    // Last VM that did not answer as the leader. While the local replica still
    // names it, the last hint of another VM is used instead.
    std::string failed_leader_;
    std::vector<std::shared_ptr<proposal_state>> retry_queue_;
    std::size_t next_control_index_ =
        0; // For round robin over the control VMs.
};

} // namespace hyssoploft::control

#endif
