#ifndef HYSSOPLOFT_LIBWIRE_PEER_TRANSPORT_HPP
#define HYSSOPLOFT_LIBWIRE_PEER_TRANSPORT_HPP

// Carries messages between VMs. All calls and handlers run on one thread, the
// control thread.

#include <LibCore/time.hpp>
#include <LibWire/drop_reason.hpp>
#include <LibWire/frame_codec.hpp>
#include <LibWire/message_type.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>

namespace hyssoploft::wire {

/// Names the request that a response answers.
struct reply_token
{
    std::uint64_t connection = 0;
    std::uint64_t request = 0; ///< 0: the sender expects no response.
};

struct incoming_message
{
    std::string sender; ///< Authenticated.
    std::uint64_t sender_incarnation = 0;
    std::string source_address; ///< "IP:port" as seen by the socket.
    message_type type = message_type::ping;
    std::string payload;
    bool datagram = false;
    reply_token reply; ///< Set for a request.

    bool expects_response() const
    {
        return reply.request != 0;
    }
};

struct transport_counters
{
    drop_counters drops;
    std::uint64_t datagrams_sent = 0;
    std::uint64_t datagrams_received = 0;
    std::uint64_t frames_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t bytes_sent = 0; ///< Frames of both kinds, without IP headers.
    std::uint64_t bytes_received = 0;
    std::uint64_t connects = 0;
    std::uint64_t connect_failures = 0;
    std::uint64_t late_responses = 0; ///< After the request had timed out.
};

using receive_handler = std::function<void(incoming_message)>;
using response_handler = std::function<void(absl::StatusOr<incoming_message>)>;

class peer_transport
{
public:
    virtual ~peer_transport() = default;

    /// Called for every authentic message that is no response.
    virtual void set_handler(receive_handler handler) = 0;

    /// Sends at most once. INVALID_ARGUMENT on a bad address,
    /// RESOURCE_EXHAUSTED if the payload exceeds a datagram.
    virtual absl::Status send_datagram(
        const std::string& address, message_type type,
        const std::string& payload) = 0;

    /// Queues a frame for the peer's connection, opening it if needed. OK
    /// doesn't mean that it arrives: frames of a broken connection are lost.
    /// RESOURCE_EXHAUSTED if the peer's queue is full or the frame too large.
    virtual absl::Status send(
        const std::string& address, message_type type,
        const std::string& payload) = 0;

    /// Like send(), and calls `done` exactly once, never from inside this
    /// call: with the response, DEADLINE_EXCEEDED after `timeout`,
    /// UNAVAILABLE if the connection broke, CANCELLED by close(), or the
    /// error of send().
    virtual void request(
        const std::string& address, message_type type,
        const std::string& payload, core::duration timeout,
        response_handler done) = 0;

    /// Answers a request. NOT_FOUND if its connection is gone.
    virtual absl::Status respond(
        const reply_token& to, message_type type,
        const std::string& payload) = 0;

    /// Replaces the fleet keys, for a rotation. INVALID_ARGUMENT as
    /// frame_codec::create().
    virtual absl::Status set_keys(fleet_keys keys) = 0;

    /// Forgets the replay window of a VM that has left for good. Windows are
    /// kept for 1,024 senders; datagrams of further ones are dropped.
    virtual void forget_sender(const std::string& /*sender*/) {}

    /// The address under which peers reach this VM.
    virtual const std::string& address() const = 0;

    virtual const transport_counters& counters() const = 0;

    /// Closes all sockets; pending requests end with CANCELLED.
    virtual void close() = 0;
};

} // namespace hyssoploft::wire

#endif
