// Locates the leader and retries commands.

#include <LibControl/proposal_client.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace hyssoploft::control {

namespace {

/// Longer than a commit over two region links, shorter than an election.
constexpr std::chrono::milliseconds attempt_timeout{1000};
constexpr std::chrono::milliseconds retry_delay{100};

} // namespace

struct proposal_client::proposal_state
{
    command_kind kind;
    std::string body;
    core::time_point deadline;
    result_handler done;
    bool may_be_logged = false; // An earlier attempt may have reached the log.
    core::time_point next_attempt_at{};
    bool lacked_space = false; // An answer was propose_status::disk_full.
};

proposal_client::proposal_client(
    wire::peer_transport& transport, fleet_source& fleet,
    local_replica* replica, core::clock& clock)
    : transport_(transport), fleet_(fleet), replica_(replica), clock_(clock)
{}

void proposal_client::propose(
    command_kind kind, std::string body, core::duration timeout,
    result_handler done)
{
    send_attempt(std::make_shared<proposal_state>(proposal_state{
        kind, std::move(body), clock_.now() + timeout, std::move(done), false,
        core::time_point()}));
}

void proposal_client::set_leader(const std::string& vm)
{
    leader_vm_ = vm;
}

std::string proposal_client::leader_vm() const
{
    const auto local_leader = replica_ ? replica_->leader_vm() : std::string();
    return local_leader.empty() || local_leader == failed_leader_
               ? leader_vm_
               : local_leader;
}

std::string proposal_client::leader_address()
{
    const auto fleet = fleet_.current_fleet();
    const auto leader = leader_vm();
    if (leader == fleet->self && replica_ && replica_->is_leader())
    {
        return {};
    }
    const auto found = fleet->vms.find(leader);
    const bool usable = found != fleet->vms.end() && leader != fleet->self &&
                        found->second.state != membership::vm_state::dead;
    return usable ? found->second.peer_address : next_control_address();
}

std::string proposal_client::next_control_address()
{
    const auto fleet = fleet_.current_fleet();
    std::vector<std::string> addresses;
    for (const auto& [id, it] : fleet->vms)
    {
        const bool usable = it.control && id != fleet->self &&
                            it.state != membership::vm_state::dead;
        if (usable)
        {
            addresses.push_back(it.peer_address);
        }
    }
    return addresses.empty()
               ? std::string()
               : addresses[next_control_index_++ % addresses.size()];
}

void proposal_client::send_attempt(const std::shared_ptr<proposal_state>& it)
{
    const auto now = clock_.now();
    if (now >= it->deadline)
    {
        report_failure(it);
        return;
    }
    if (replica_ && replica_->is_leader())
    {
        replica_->propose(it->kind, it->body, [this, it](propose_result out) {
            on_result(it, out);
        });
        return;
    }
    const auto address = leader_address();
    if (address.empty())
    {
        schedule_retry(it);
        return;
    }
    const auto payload = wire::encode(
        log_command{static_cast<std::uint8_t>(it->kind), it->body});
    const auto timeout =
        std::min<core::duration>(attempt_timeout, it->deadline - now);
    const auto requested_vm = leader_vm();
    transport_.request(
        address, wire::message_type::propose, payload, timeout,
        [this, it,
         requested_vm](absl::StatusOr<wire::incoming_message> answer) {
            const auto decoded =
                answer.ok() ? wire::decode<propose_result>(answer->payload)
                            : answer.status();
            if (!decoded.ok())
            {
                it->may_be_logged = true;
                mark_leader_failed(requested_vm);
                leader_vm_.clear();
                schedule_retry(it);
                return;
            }
            const auto status = static_cast<propose_status>(decoded->status);
            if (status == propose_status::not_leader ||
                status == propose_status::disk_full)
            {
                mark_leader_failed(requested_vm);
            }
            on_result(it, *decoded);
        });
}

void proposal_client::mark_leader_failed(const std::string& vm)
{
    // Empty if the request went to an arbitrary control VM.
    if (!vm.empty())
    {
        failed_leader_ = vm;
    }
}

void proposal_client::on_result(
    const std::shared_ptr<proposal_state>& it, const propose_result& result)
{
    const auto status = static_cast<propose_status>(result.status);
    it->lacked_space |= status == propose_status::disk_full;
    switch (status)
    {
    case propose_status::committed:
        failed_leader_.clear();
        if (!result.leader_vm.empty())
        {
            leader_vm_ = result.leader_vm;
        }
        it->done(result.result);
        return;
    case propose_status::lost:
        it->may_be_logged = true;
        break;
    case propose_status::not_leader:
    case propose_status::overloaded:
    case propose_status::disk_full:
        break;
    }
    leader_vm_ = result.leader_vm;
    schedule_retry(it);
}

void proposal_client::schedule_retry(const std::shared_ptr<proposal_state>& it)
{
    it->next_attempt_at = clock_.now() + retry_delay;
    if (it->next_attempt_at >= it->deadline)
    {
        report_failure(it);
        return;
    }
    retry_queue_.push_back(it);
}

void proposal_client::tick()
{
    const auto now = clock_.now();
    // An attempt may add to the queue.
    auto queued = std::exchange(retry_queue_, {});
    for (auto& it : queued)
    {
        if (now < it->next_attempt_at)
        {
            retry_queue_.push_back(std::move(it));
            continue;
        }
        send_attempt(it);
    }
}

void proposal_client::report_failure(const std::shared_ptr<proposal_state>& it)
{
    if (it->may_be_logged)
    {
        it->done(absl::DeadlineExceededError(
            "the command may or may not be committed"));
        return;
    }
    if (it->lacked_space)
    {
        it->done(absl::UnavailableError(
            "disk_full: the disk of the leader had no space and no other VM "
            "took over; the command is not in the log"));
        return;
    }
    it->done(absl::UnavailableError(
        "no leader of the log could be reached; the command is not in the "
        "log"));
}

} // namespace hyssoploft::control
