#ifndef HYSSOPLOFT_LIBWIRE_TRANSPORT_IMPL_HPP
#define HYSSOPLOFT_LIBWIRE_TRANSPORT_IMPL_HPP

// The transport behind create_asio_transport(). Private to this library.

#include <LibWire/asio_transport.hpp>
#include <LibWire/peer_connection.hpp>
#include <LibWire/replay_window.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <utility>

namespace hyssoploft::wire {

/// Precedes the payload of every TCP frame.
struct stream_envelope
{
    std::uint64_t request = 0;  // Set in a request.
    std::uint64_t response = 0; // Set in a response: the request's number.
    std::string payload;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(request, response, payload);
    }
};

class asio_transport final : public peer_transport,
                             public connection_owner,
                             public std::enable_shared_from_this<asio_transport>
{
public:
    asio_transport(
        boost::asio::io_context& io, transport_options options,
        frame_codec codec)
        : io_(io), options_(std::move(options)), codec_(std::move(codec)),
          udp_(io), acceptor_(io)
    {}

    absl::Status open();

    void set_handler(receive_handler handler) override
    {
        handler_ = std::move(handler);
    }

    absl::Status send_datagram(
        const std::string& address, message_type type,
        const std::string& payload) override;
    absl::Status send(
        const std::string& address, message_type type,
        const std::string& payload) override;
    void request(
        const std::string& address, message_type type,
        const std::string& payload, core::duration timeout,
        response_handler done) override;
    absl::Status respond(
        const reply_token& to, message_type type,
        const std::string& payload) override;
    absl::Status set_keys(fleet_keys keys) override;

    void forget_sender(const std::string& sender) override
    {
        replays_.forget(sender);
    }

    void close() override;

    const std::string& address() const override
    {
        return options_.advertised_address;
    }

    const transport_counters& counters() const override
    {
        return counters_;
    }

    const frame_codec& codec() const override
    {
        return codec_;
    }

    const transport_options& options() const override
    {
        return options_;
    }

    transport_counters& counters_of_connections() override
    {
        return counters_;
    }

    void on_stream_message(peer_connection& from, frame it) override;
    void on_connection_closed(peer_connection& it) override;

private:
    using connection_ptr = std::shared_ptr<peer_connection>;

    struct peer
    {
        connection_ptr connection;
        core::duration backoff{}; // Zero while the last attempt succeeded.
        std::chrono::steady_clock::time_point retry_at{};
    };

    struct pending_request
    {
        std::uint64_t connection = 0;
        std::shared_ptr<boost::asio::steady_timer> timer;
        response_handler done;
    };

    void receive_datagram();
    void receive_queued_datagrams();
    void on_datagram(std::size_t n);
    void accept_connection();
    absl::StatusOr<connection_ptr> connection_to(const std::string& address);
    void dial(
        const connection_ptr& connection,
        const peer_connection::tcp::endpoint& to, core::duration wait);
    absl::Status send_envelope(
        const std::string& address, message_type type, stream_envelope envelope,
        std::uint64_t* connection);
    void finish(std::uint64_t request, absl::StatusOr<incoming_message> result);
    void fail_later(response_handler done, absl::Status status);

    boost::asio::io_context& io_;
    transport_options options_;
    frame_codec codec_;
    boost::asio::ip::udp::socket udp_;
    peer_connection::tcp::acceptor acceptor_;
    receive_handler handler_;
    replay_window replays_;
    transport_counters counters_;
    // One byte more than allowed shows that a datagram is oversize.
    std::array<char, max_datagram_bytes + 1> datagram_{};
    boost::asio::ip::udp::endpoint datagram_source_;
    std::uint64_t datagram_sequence_ = 0;
    std::uint64_t next_connection_ = 1;
    std::uint64_t next_request_ = 1;
    std::map<std::string, peer> peers_; // At most limits.peers.
    std::map<std::uint64_t, connection_ptr> incoming_;
    std::map<std::uint64_t, pending_request> pending_;
    bool closed_ = false;
};

} // namespace hyssoploft::wire

#endif
