// Sends and answers lease requests.

#include <LibControl/lease_driver.hpp>

#include <LibRate/lease_messages.hpp>

#include <utility>

namespace hyssoploft::control {

namespace {

constexpr std::chrono::milliseconds request_timeout{900};

} // namespace

rate::declared_rates declared_rates_of(const resource::configuration& it)
{
    rate::declared_rates out;
    out.version = it.version;
    out.floor_slots = it.declared_fleet.floor_slots;
    for (const auto& vm : it.declared_fleet.vms)
    {
        out.vms.insert(vm.id);
    }
    for (const auto& [account, declared] : it.rates)
    {
        out.accounts[account] = {
            declared.tokens_per_second, declared.burst_tokens,
            declared.floor_fraction};
    }
    return out;
}

lease_driver::lease_driver(
    wire::peer_transport& transport, proposal_client& proposals,
    std::shared_ptr<rate::lease_holder> holder, core::clock& clock)
    : transport_(transport), proposals_(proposals), holder_(std::move(holder)),
      clock_(clock)
{}

void lease_driver::install(const resource::configuration& declared)
{
    const auto rates = declared_rates_of(declared);
    const auto now = clock_.now();
    holder_->install(rates, now);
    grantor_.install(rates, now);
}

void lease_driver::tick()
{
    const auto now = clock_.now();
    if (!released_ && now >= holder_->next_request_at())
    {
        send_request(holder_->build_request(now));
    }
}

void lease_driver::send_request(const rate::lease_request& request)
{
    const auto address = proposals_.leader_address();
    if (address.empty())
    {
        const auto now = clock_.now();
        if (const auto grant = grantor_.handle(request, now))
        {
            holder_->apply(*grant, now);
        }
        return;
    }
    transport_.request(
        address, wire::message_type::lease_request, rate::encode(request),
        request_timeout, [this](absl::StatusOr<wire::incoming_message> answer) {
            if (answer.ok())
            {
                on_answer(*answer);
                return;
            }
            // The next request goes to another control VM, which learns of a
            // new leader before the failure detector reports the old one.
            proposals_.set_leader({});
        });
}

void lease_driver::on_answer(const wire::incoming_message& answer)
{
    if (answer.type == wire::message_type::lease_grant)
    {
        const auto grant = rate::decode_lease_grant(answer.payload);
        if (grant.ok())
        {
            holder_->apply(*grant, clock_.now());
        }
        return;
    }
    // The VM is not the leader; its answer names the leader known to it.
    const auto hint = wire::decode<propose_result>(answer.payload);
    if (hint.ok())
    {
        proposals_.set_leader(hint->leader_vm);
    }
}

void lease_driver::serve(const wire::incoming_message& request)
{
    const auto decoded = rate::decode_lease_request(request.payload);
    if (!decoded.ok() || decoded->vm != request.sender)
    {
        return;
    }
    if (const auto grant = grantor_.handle(*decoded, clock_.now()))
    {
        (void)transport_.respond(
            request.reply, wire::message_type::lease_grant,
            rate::encode(*grant));
        return;
    }
    propose_result hint;
    hint.status = static_cast<std::uint8_t>(propose_status::not_leader);
    hint.leader_vm = proposals_.leader_vm();
    (void)transport_.respond(
        request.reply, wire::message_type::propose_result, wire::encode(hint));
}

void lease_driver::role_changed(bool leader, std::uint64_t term)
{
    if (leader)
    {
        grantor_.elected(term, clock_.now());
        return;
    }
    grantor_.step_down();
}

void lease_driver::release()
{
    if (!std::exchange(released_, true))
    {
        send_request(holder_->release(clock_.now()));
    }
}

} // namespace hyssoploft::control
