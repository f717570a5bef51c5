// Sockets, datagrams and the public handle of the transport.

#include <LibWire/asio_transport.hpp>

#include <LibCore/text.hpp>
#include <LibWire/ip_address.hpp>
#include <LibWire/transport_impl.hpp>

#include <utility>

namespace hyssoploft::wire {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

namespace {

/// Lets other handlers run although datagrams keep arriving.
constexpr int max_datagrams_per_turn = 64;

std::string datagram_binding(const std::string& receiver)
{
    return core::concat("datagram|", receiver);
}

} // namespace

absl::Status asio_transport::open()
{
    const auto listen = parse_address(options_.listen_address);
    if (!listen.ok())
    {
        return listen.status();
    }
    boost::system::error_code ec;
    const tcp::endpoint at(listen->host, listen->port);
    acceptor_.open(at.protocol(), ec);
    const auto failed = [&] {
        return absl::UnavailableError(core::concat(
            options_.listen_address, ": can't listen: ", ec.message()));
    };
    if (ec)
    {
        return failed();
    }
    acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    if (acceptor_.bind(at, ec); ec)
    {
        return failed();
    }
    if (acceptor_.listen(asio::socket_base::max_listen_connections, ec); ec)
    {
        return failed();
    }
    const auto port = acceptor_.local_endpoint(ec).port();
    const udp::endpoint udp_at(listen->host, port);
    if (udp_.open(udp_at.protocol(), ec); ec)
    {
        return failed();
    }
    if (udp_.bind(udp_at, ec); ec)
    {
        return failed();
    }
    if (udp_.non_blocking(true, ec); ec)
    {
        return failed();
    }
    if (options_.advertised_address.empty())
    {
        options_.advertised_address = format_address(listen->host, port);
    }
    receive_datagram();
    accept_connection();
    return absl::OkStatus();
}

void asio_transport::receive_datagram()
{
    udp_.async_receive_from(
        asio::buffer(datagram_), datagram_source_,
        [self =
             shared_from_this()](boost::system::error_code ec, std::size_t n) {
            if (self->closed_ || ec == asio::error::operation_aborted)
            {
                return;
            }
            // Other errors report that an earlier datagram was refused.
            if (!ec)
            {
                self->on_datagram(n);
            }
            self->receive_queued_datagrams();
            if (!self->closed_)
            {
                self->receive_datagram();
            }
        });
}

// Datagrams carry what is outdated soonest. With one for each turn of the event
// loop, they would wait behind the messages of all connections.
void asio_transport::receive_queued_datagrams()
{
    for (int n = 0; n < max_datagrams_per_turn && !closed_; ++n)
    {
        boost::system::error_code ec;
        const auto size =
            udp_.receive_from(asio::buffer(datagram_), datagram_source_, 0, ec);
        if (ec == asio::error::would_block)
        {
            return;
        }
        if (!ec)
        {
            on_datagram(size);
        }
    }
}

void asio_transport::on_datagram(std::size_t n)
{
    auto decoded = codec_.decode(
        {datagram_.data(), n}, datagram_binding(options_.advertised_address),
        max_datagram_bytes);
    if (const auto* reason = std::get_if<drop_reason>(&decoded))
    {
        return counters_.drops.add(*reason);
    }
    auto& it = std::get<frame>(decoded);
    if (const auto reason =
            replays_.check(it.sender, it.incarnation, it.sequence))
    {
        return counters_.drops.add(*reason);
    }
    ++counters_.datagrams_received;
    counters_.bytes_received += n;
    if (handler_)
    {
        incoming_message message;
        message.sender = std::move(it.sender);
        message.sender_incarnation = it.incarnation;
        message.source_address =
            format_address(datagram_source_.address(), datagram_source_.port());
        message.type = it.type;
        message.payload = std::move(it.payload);
        message.datagram = true;
        // A copy, because the handler may close the transport.
        const auto handler = handler_;
        handler(std::move(message));
    }
}

absl::Status asio_transport::send_datagram(
    const std::string& address, message_type type, const std::string& payload)
{
    if (closed_)
    {
        return absl::CancelledError("transport is closed");
    }
    const auto to = parse_address(address);
    if (!to.ok())
    {
        return to.status();
    }
    const auto bytes = codec_.encode(
        {type, options_.self, options_.incarnation, ++datagram_sequence_,
         payload},
        datagram_binding(address), max_datagram_bytes);
    if (!bytes.ok())
    {
        return bytes.status();
    }
    boost::system::error_code ec;
    udp_.send_to(
        asio::buffer(*bytes), udp::endpoint(to->host, to->port), 0, ec);
    if (ec)
    {
        counters_.drops.add(drop_reason::queue_full);
        return absl::OkStatus();
    }
    ++counters_.datagrams_sent;
    counters_.bytes_sent += bytes->size();
    return absl::OkStatus();
}

absl::Status asio_transport::set_keys(fleet_keys keys)
{
    auto codec = frame_codec::create(std::move(keys));
    if (!codec.ok())
    {
        return codec.status();
    }
    codec_ = *std::move(codec);
    return absl::OkStatus();
}

void asio_transport::close()
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    boost::system::error_code ec;
    acceptor_.close(ec);
    udp_.close(ec);
    for (auto& [address, it] : peers_)
    {
        if (it.connection)
        {
            it.connection->detach();
        }
    }
    for (auto& [id, it] : incoming_)
    {
        it->detach();
    }
    peers_.clear();
    incoming_.clear();
    while (!pending_.empty())
    {
        finish(
            pending_.begin()->first,
            absl::CancelledError("transport is closed"));
    }
    handler_ = nullptr;
}

namespace {

/// Closes the shared transport, whose handlers may still be queued.
class transport_handle final : public peer_transport
{
public:
    explicit transport_handle(std::shared_ptr<asio_transport> it)
        : it_(std::move(it))
    {}

    transport_handle(const transport_handle&) = delete;
    transport_handle& operator=(const transport_handle&) = delete;

    ~transport_handle() override
    {
        it_->close();
    }

    void set_handler(receive_handler handler) override
    {
        it_->set_handler(std::move(handler));
    }

    absl::Status send_datagram(
        const std::string& address, message_type type,
        const std::string& payload) override
    {
        return it_->send_datagram(address, type, payload);
    }

    absl::Status send(
        const std::string& address, message_type type,
        const std::string& payload) override
    {
        return it_->send(address, type, payload);
    }

    void request(
        const std::string& address, message_type type,
        const std::string& payload, core::duration timeout,
        response_handler done) override
    {
        it_->request(address, type, payload, timeout, std::move(done));
    }

    absl::Status respond(
        const reply_token& to, message_type type,
        const std::string& payload) override
    {
        return it_->respond(to, type, payload);
    }

    absl::Status set_keys(fleet_keys keys) override
    {
        return it_->set_keys(std::move(keys));
    }

    void forget_sender(const std::string& sender) override
    {
        it_->forget_sender(sender);
    }

    const std::string& address() const override
    {
        return it_->address();
    }

    const transport_counters& counters() const override
    {
        return it_->counters();
    }

    void close() override
    {
        it_->close();
    }

private:
    std::shared_ptr<asio_transport> it_;
};

} // namespace

absl::StatusOr<std::unique_ptr<peer_transport>>
create_asio_transport(asio::io_context& io, transport_options options)
{
    if (options.self.empty() || options.self.size() > max_sender_bytes)
    {
        return absl::InvalidArgumentError("bad length of the VM's identifier");
    }
    auto codec = frame_codec::create(options.keys);
    if (!codec.ok())
    {
        return codec.status();
    }
    auto it = std::make_shared<asio_transport>(
        io, std::move(options), *std::move(codec));
    if (const auto status = it->open(); !status.ok())
    {
        it->close();
        return status;
    }
    return std::make_unique<transport_handle>(std::move(it));
}

} // namespace hyssoploft::wire
