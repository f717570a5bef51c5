#ifndef HYSSOPLOFT_LIBWIRE_PEER_CONNECTION_HPP
#define HYSSOPLOFT_LIBWIRE_PEER_CONNECTION_HPP

// One TCP connection between two VMs. Private to this library.
//
// Both ends first send a hello with a random nonce. Later frames are bound to
// both nonces and to their direction and numbered without gaps, so that a
// frame can't be replayed, reordered or reflected.

#include <LibWire/asio_transport.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>

namespace hyssoploft::wire {

class peer_connection;

/// What a connection uses of its transport.
class connection_owner
{
public:
    virtual const frame_codec& codec() const = 0;
    virtual const transport_options& options() const = 0;
    virtual transport_counters& counters_of_connections() = 0;
    virtual void on_stream_message(peer_connection& from, frame it) = 0;
    /// The connection is unusable; called once.
    virtual void on_connection_closed(peer_connection& it) = 0;

protected:
    ~connection_owner() = default;
};

class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    using tcp = boost::asio::ip::tcp;

    /// `dialled`: the peer's address if this end connects, else empty.
    peer_connection(
        connection_owner& owner, std::uint64_t id, tcp::socket socket,
        std::string dialled);

    void connect(const tcp::endpoint& to);
    void accept();

    /// RESOURCE_EXHAUSTED if the queue is full.
    absl::Status send(message_type type, std::string payload);

    /// Closes without telling the owner.
    void detach();

    std::uint64_t id() const
    {
        return id_;
    }

    const std::string& dialled() const
    {
        return dialled_;
    }

    bool ready() const
    {
        return ready_;
    }

    std::string remote_address() const;

private:
    struct queued_frame
    {
        message_type type;
        std::string payload;
    };

    void start(core::duration deadline);
    void send_hello();
    void read_first_byte();
    void read_header();
    void read_body(std::size_t size);
    void on_frame_bytes();
    void on_hello(frame it);
    void on_data(frame it);
    void write_bytes(std::string bytes);
    void write_next();
    void
    arm(boost::asio::steady_timer& timer, core::duration after,
        std::optional<drop_reason> reason);
    void drop(drop_reason reason);
    void fail();

    std::string receive_binding() const;
    std::string send_binding() const;

    connection_owner* owner_; // Null once closed.
    std::uint64_t id_;
    tcp::socket socket_;
    std::string dialled_;
    boost::asio::steady_timer deadline_; // Handshake, frame in progress, idle.
    boost::asio::steady_timer write_deadline_;
    std::string own_nonce_;
    std::string peer_nonce_;
    std::string peer_;
    std::uint64_t peer_incarnation_ = 0;
    std::uint64_t sent_ = 0;     // Sequence of the last frame sent.
    std::uint64_t received_ = 0; // Sequence of the last frame accepted.
    std::deque<queued_frame> queue_;
    std::size_t queue_bytes_ = 0; // Sum of the payloads in queue_.
    std::string write_buffer_;    // Not empty while a write is in progress.
    std::string read_buffer_;
    std::string remote_;
    bool ready_ = false; // The handshake is complete.
};

} // namespace hyssoploft::wire

#endif
