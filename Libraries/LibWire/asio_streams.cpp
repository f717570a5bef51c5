// Connections, requests and responses of the transport.

#include <LibCore/random_source.hpp>
#include <LibCore/text.hpp>
#include <LibWire/ip_address.hpp>
#include <LibWire/serialization.hpp>
#include <LibWire/transport_impl.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace hyssoploft::wire {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

void asio_transport::accept_connection()
{
    acceptor_.async_accept([self = shared_from_this()](
                               boost::system::error_code ec,
                               tcp::socket socket) {
        if (self->closed_ || ec == asio::error::operation_aborted)
        {
            return;
        }
        if (!ec &&
            self->incoming_.size() < self->options_.limits.incoming_connections)
        {
            auto it = std::make_shared<peer_connection>(
                *self, self->next_connection_++, std::move(socket), "");
            self->incoming_.emplace(it->id(), it);
            it->accept();
        }
        // FIXME: while the process is out of file descriptors this loops;
        // pause the acceptor instead.
        self->accept_connection();
    });
}

absl::StatusOr<asio_transport::connection_ptr>
asio_transport::connection_to(const std::string& address)
{
    const auto found = peers_.find(address);
    if (found != peers_.end() && found->second.connection)
    {
        return found->second.connection;
    }
    const auto to = parse_address(address);
    if (!to.ok())
    {
        return to.status();
    }
    if (found == peers_.end() && peers_.size() >= options_.limits.peers)
    {
        // A peer without a connection holds no more than its backoff.
        const auto idle =
            std::find_if(peers_.begin(), peers_.end(), [](const auto& p) {
                return p.second.connection == nullptr;
            });
        if (idle == peers_.end())
        {
            return absl::ResourceExhaustedError("too many peers");
        }
        peers_.erase(idle);
    }
    auto& it = peers_[address];
    it.connection = std::make_shared<peer_connection>(
        *this, next_connection_++, tcp::socket(io_), address);
    const auto wait = it.retry_at - std::chrono::steady_clock::now();
    dial(
        it.connection, tcp::endpoint(to->host, to->port),
        it.backoff > core::duration{} ? core::duration(wait)
                                      : core::duration{});
    return it.connection;
}

void asio_transport::dial(
    const connection_ptr& connection, const tcp::endpoint& to,
    core::duration wait)
{
    ++counters_.connects;
    if (wait <= core::duration{})
    {
        // Posted, so that a failure never reports inside the caller's send().
        asio::post(io_, [self = shared_from_this(), connection, to] {
            if (!self->closed_)
            {
                connection->connect(to);
            }
        });
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(io_, wait);
    timer->async_wait([self = shared_from_this(), connection, to,
                       timer](boost::system::error_code ec) {
        if (!ec && !self->closed_)
        {
            connection->connect(to);
        }
    });
}

absl::Status asio_transport::send_envelope(
    const std::string& address, message_type type, stream_envelope envelope,
    std::uint64_t* connection)
{
    if (closed_)
    {
        return absl::CancelledError("transport is closed");
    }
    auto it = connection_to(address);
    if (!it.ok())
    {
        return it.status();
    }
    if (connection != nullptr)
    {
        *connection = (*it)->id();
    }
    return (*it)->send(type, encode(envelope));
}

absl::Status asio_transport::send(
    const std::string& address, message_type type, const std::string& payload)
{
    return send_envelope(address, type, {0, 0, payload}, nullptr);
}

void asio_transport::fail_later(response_handler done, absl::Status status)
{
    asio::post(io_, [done = std::move(done), status = std::move(status)] {
        done(status);
    });
}

void asio_transport::request(
    const std::string& address, message_type type, const std::string& payload,
    core::duration timeout, response_handler done)
{
    if (pending_.size() >= options_.limits.pending_requests)
    {
        return fail_later(
            std::move(done),
            absl::ResourceExhaustedError("too many pending requests"));
    }
    const auto n = next_request_++;
    std::uint64_t connection = 0;
    auto status = send_envelope(address, type, {n, 0, payload}, &connection);
    if (!status.ok())
    {
        return fail_later(std::move(done), std::move(status));
    }
    auto timer = std::make_shared<asio::steady_timer>(io_, timeout);
    timer->async_wait(
        [self = shared_from_this(), n](boost::system::error_code ec) {
            if (!ec)
            {
                self->finish(n, absl::DeadlineExceededError("no response"));
            }
        });
    pending_.emplace(
        n, pending_request{connection, std::move(timer), std::move(done)});
}

void asio_transport::finish(
    std::uint64_t request, absl::StatusOr<incoming_message> result)
{
    const auto it = pending_.find(request);
    if (it == pending_.end())
    {
        return;
    }
    auto node = pending_.extract(it);
    node.mapped().timer->cancel();
    node.mapped().done(std::move(result));
}

absl::Status asio_transport::respond(
    const reply_token& to, message_type type, const std::string& payload)
{
    const auto it = incoming_.find(to.connection);
    if (it == incoming_.end())
    {
        return absl::NotFoundError("connection of the request is gone");
    }
    return it->second->send(
        type, encode(stream_envelope{0, to.request, payload}));
}

void asio_transport::on_stream_message(peer_connection& from, frame it)
{
    auto envelope = decode<stream_envelope>(it.payload);
    if (!envelope.ok())
    {
        return counters_.drops.add(drop_reason::bad_envelope);
    }
    const auto dialled = peers_.find(from.dialled());
    if (dialled != peers_.end())
    {
        dialled->second.backoff = {};
    }
    incoming_message message;
    message.sender = std::move(it.sender);
    message.sender_incarnation = it.incarnation;
    message.source_address = from.remote_address();
    message.type = it.type;
    message.payload = std::move(envelope->payload);
    if (envelope->response != 0)
    {
        const auto found = pending_.find(envelope->response);
        if (found == pending_.end() || found->second.connection != from.id())
        {
            ++counters_.late_responses;
            return;
        }
        return finish(envelope->response, std::move(message));
    }
    if (envelope->request != 0)
    {
        message.reply = {from.id(), envelope->request};
    }
    if (handler_)
    {
        // A copy, because the handler may close the transport.
        const auto handler = handler_;
        handler(std::move(message));
    }
}

void asio_transport::on_connection_closed(peer_connection& it)
{
    const auto id = it.id();
    if (it.dialled().empty())
    {
        incoming_.erase(id);
        return;
    }
    const auto found = peers_.find(it.dialled());
    if (found != peers_.end() && found->second.connection &&
        found->second.connection->id() == id)
    {
        auto& p = found->second;
        p.connection.reset();
        // Jitter keeps VMs from reconnecting in step after a fault.
        const auto& limits = options_.limits;
        if (it.ready())
        {
            p.backoff = limits.first_backoff;
        }
        else
        {
            ++counters_.connect_failures;
            p.backoff = std::clamp(
                p.backoff * 2, limits.first_backoff, limits.max_backoff);
        }
        core::system_random random;
        p.retry_at = std::chrono::steady_clock::now() + p.backoff / 2 +
                     core::from_seconds(
                         core::to_seconds(p.backoff) / 2 * random.uniform());
    }
    std::vector<std::uint64_t> broken;
    for (const auto& [n, request] : pending_)
    {
        if (request.connection == id)
        {
            broken.push_back(n);
        }
    }
    for (const auto n : broken)
    {
        finish(n, absl::UnavailableError("connection broke"));
    }
}

} // namespace hyssoploft::wire
