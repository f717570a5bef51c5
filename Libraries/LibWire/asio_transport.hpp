#ifndef HYSSOPLOFT_LIBWIRE_ASIO_TRANSPORT_HPP
#define HYSSOPLOFT_LIBWIRE_ASIO_TRANSPORT_HPP

// The transport between VMs over one UDP socket and one TCP port.

#include <LibWire/frame_codec.hpp>
#include <LibWire/peer_transport.hpp>

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace hyssoploft::wire {

struct transport_limits
{
    std::size_t queued_frames = 1024; ///< For each connection.
    /// For each connection; room for several frames of the largest size.
    std::size_t queued_bytes = std::size_t{4} << 20;
    std::size_t peers = 1024;
    std::size_t incoming_connections = 512;
    std::size_t pending_requests = 4096;
    core::duration handshake = std::chrono::seconds(5);
    /// From the first byte of a frame to its last one.
    core::duration read_deadline = std::chrono::seconds(10);
    core::duration write_deadline = std::chrono::seconds(10);
    core::duration idle = std::chrono::seconds(60);
    core::duration first_backoff = std::chrono::milliseconds(100);
    core::duration max_backoff = std::chrono::seconds(5);
};

struct transport_options
{
    std::string self; ///< Identifier of this VM.
    /// Higher at each start of this VM's process, for example the start time.
    std::uint64_t incarnation = 0;
    std::string listen_address; ///< "IP:port"; port 0 takes a free one.
    /// What peers use to reach this VM; empty: the listen address. Datagrams
    /// and connections made for another address are dropped as forged.
    std::string advertised_address;
    fleet_keys keys;
    transport_limits limits;
};

/// Opens the sockets. Everything runs on `io`, which the caller drives from
/// one thread and which must outlive the transport. INVALID_ARGUMENT on bad
/// options, UNAVAILABLE if the address can't be bound.
absl::StatusOr<std::unique_ptr<peer_transport>>
create_asio_transport(boost::asio::io_context& io, transport_options options);

} // namespace hyssoploft::wire

#endif
