#ifndef HYSSOPLOFT_TESTS_LIBCONTROL_FAKE_TRANSPORT_HPP
#define HYSSOPLOFT_TESTS_LIBCONTROL_FAKE_TRANSPORT_HPP

// A transport that records messages, so that a test can answer, lose or delay
// each one, and a fleet view and a replica that the test sets up.

#include <LibControl/proposal_client.hpp>
#include <LibWire/peer_transport.hpp>

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hyssoploft::tests {

class fake_transport final : public wire::peer_transport
{
public:
    struct request_sent
    {
        std::string address;
        wire::message_type type;
        std::string payload;
        core::duration timeout;
        wire::response_handler done;
    };

    struct response_sent
    {
        wire::message_type type;
        std::string payload;
    };

    void set_handler(wire::receive_handler) override {}

    absl::Status send_datagram(
        const std::string&, wire::message_type, const std::string&) override
    {
        return absl::OkStatus();
    }

    absl::Status
    send(const std::string&, wire::message_type, const std::string&) override
    {
        return absl::OkStatus();
    }

    void request(
        const std::string& address, wire::message_type type,
        const std::string& payload, core::duration timeout,
        wire::response_handler done) override
    {
        requests.push_back({address, type, payload, timeout, std::move(done)});
    }

    absl::Status respond(
        const wire::reply_token&, wire::message_type type,
        const std::string& payload) override
    {
        responses.push_back({type, payload});
        return absl::OkStatus();
    }

    absl::Status set_keys(wire::fleet_keys) override
    {
        return absl::OkStatus();
    }

    const std::string& address() const override
    {
        return address_;
    }

    const wire::transport_counters& counters() const override
    {
        return counters_;
    }

    void close() override {}

    /// Takes the oldest request that has no answer yet.
    request_sent take()
    {
        auto it = std::move(requests.front());
        requests.pop_front();
        return it;
    }

    /// Answers the oldest request.
    void answer(wire::message_type type, std::string payload)
    {
        wire::incoming_message it;
        it.type = type;
        it.payload = std::move(payload);
        take().done(std::move(it));
    }

    /// Ends the oldest request without an answer.
    void lose(absl::Status status = absl::DeadlineExceededError("lost"))
    {
        take().done(std::move(status));
    }

    std::deque<request_sent> requests;
    std::vector<response_sent> responses;

private:
    std::string address_ = "self:1";
    wire::transport_counters counters_;
};

class fake_fleet_source final : public control::fleet_source
{
public:
    /// This VM is "self", in region "east" and data centre "east-a".
    fake_fleet_source()
    {
        view_.self = "self";
        add("self", false);
    }

    membership::vm_record&
    add(const std::string& id, bool control, const std::string& region = "east",
        const std::string& data_center = "east-a")
    {
        auto& it = view_.vms[id];
        it.id = id;
        it.region = region;
        it.data_center = data_center;
        it.peer_address = id + ":1";
        it.control = control;
        return it;
    }

    membership::vm_record& vm(const std::string& id)
    {
        return view_.vms.at(id);
    }

    std::shared_ptr<const membership::fleet_view> current_fleet() override
    {
        return std::make_shared<membership::fleet_view>(view_);
    }

private:
    membership::fleet_view view_;
};

/// A local replica whose role the test sets.
class fake_replica final : public control::local_replica
{
public:
    bool is_leader() const override
    {
        return leads;
    }

    std::string leader_vm() const override
    {
        return leader;
    }

    void propose(
        control::command_kind, std::string,
        control::propose_handler done) override
    {
        proposals.push_back(std::move(done));
    }

    bool leads = false;
    std::string leader;
    std::vector<control::propose_handler> proposals;
};

/// An incoming request that expects a response.
inline wire::incoming_message
incoming(std::string sender, wire::message_type type, std::string payload)
{
    wire::incoming_message it;
    it.sender = std::move(sender);
    it.type = type;
    it.payload = std::move(payload);
    it.reply = {1, 1};
    return it;
}

inline std::string encoded_result(
    control::propose_status status, const std::string& leader,
    const std::string& result = {})
{
    return wire::encode(control::propose_result{
        static_cast<std::uint8_t>(status), leader, result});
}

} // namespace hyssoploft::tests

#endif
