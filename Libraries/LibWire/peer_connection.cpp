// Handshake, framing and deadlines of a connection.

#include <LibWire/peer_connection.hpp>

#include <LibCore/random_source.hpp>
#include <LibCore/socket_options.hpp>
#include <LibCore/text.hpp>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace hyssoploft::wire {

namespace {

constexpr std::size_t nonce_words = 2;
constexpr std::size_t nonce_bytes = nonce_words * sizeof(std::uint64_t);
/// VMs exchange messages several times a second, so that a connection without
/// acknowledgements is broken. Longer than an acknowledgement between regions
/// and two losses of it.
constexpr std::chrono::milliseconds silence_timeout{1500};
// Until the peer has proved that it holds a fleet key, it gets little memory.
constexpr std::size_t max_hello_bytes =
    frame_overhead(max_sender_bytes) + nonce_bytes;

std::string make_nonce()
{
    core::system_random random;
    std::string out;
    for (std::size_t it = 0; it < nonce_words; ++it)
    {
        const auto n = random.next();
        out.append(reinterpret_cast<const char*>(&n), sizeof n);
    }
    return out;
}

std::string text_of(const boost::asio::ip::tcp::endpoint& it)
{
    const auto host = it.address().to_string();
    return it.address().is_v6() ? core::concat("[", host, "]:", it.port())
                                : core::concat(host, ":", it.port());
}

} // namespace

peer_connection::peer_connection(
    connection_owner& owner, std::uint64_t id, tcp::socket socket,
    std::string dialled)
    : owner_(&owner), id_(id), socket_(std::move(socket)),
      dialled_(std::move(dialled)), deadline_(socket_.get_executor()),
      write_deadline_(socket_.get_executor()), own_nonce_(make_nonce())
{}

std::string peer_connection::remote_address() const
{
    return remote_;
}

void peer_connection::connect(const tcp::endpoint& to)
{
    if (owner_ == nullptr)
    {
        return;
    }
    arm(deadline_, owner_->options().limits.handshake,
        drop_reason::read_deadline);
    socket_.async_connect(
        to, [self = shared_from_this()](boost::system::error_code ec) {
            if (self->owner_ == nullptr)
            {
                return;
            }
            if (ec)
            {
                return self->fail();
            }
            self->start(self->owner_->options().limits.handshake);
            self->send_hello();
        });
}

void peer_connection::accept()
{
    start(owner_->options().limits.handshake);
}

void peer_connection::start(core::duration deadline)
{
    boost::system::error_code ec;
    socket_.set_option(tcp::no_delay(true), ec);
    core::set_silence_timeout(socket_.native_handle(), silence_timeout);
    const auto remote = socket_.remote_endpoint(ec);
    if (ec)
    {
        return fail();
    }
    remote_ = text_of(remote);
    arm(deadline_, deadline, drop_reason::read_deadline);
    read_first_byte();
}

// The hello of the dialling end is bound to the address that it dialled, the
// answer to the dialling end's nonce.
void peer_connection::send_hello()
{
    const auto binding = dialled_.empty() ? core::concat("accept|", peer_nonce_)
                                          : core::concat("dial|", dialled_);
    auto bytes = owner_->codec().encode(
        {message_type::hello, owner_->options().self,
         owner_->options().incarnation, 0, own_nonce_},
        binding, max_hello_bytes);
    if (!bytes.ok())
    {
        return fail();
    }
    write_bytes(*std::move(bytes));
}

std::string peer_connection::receive_binding() const
{
    if (!ready_)
    {
        return dialled_.empty()
                   ? core::concat("dial|", owner_->options().advertised_address)
                   : core::concat("accept|", own_nonce_);
    }
    return dialled_.empty()
               ? core::concat("to_accept|", peer_nonce_, own_nonce_)
               : core::concat("to_dial|", own_nonce_, peer_nonce_);
}

std::string peer_connection::send_binding() const
{
    return dialled_.empty()
               ? core::concat("to_dial|", peer_nonce_, own_nonce_)
               : core::concat("to_accept|", own_nonce_, peer_nonce_);
}

void peer_connection::arm(
    boost::asio::steady_timer& timer, core::duration after,
    std::optional<drop_reason> reason)
{
    timer.expires_after(after);
    timer.async_wait(
        [self = shared_from_this(), reason](boost::system::error_code ec) {
            if (ec || self->owner_ == nullptr)
            {
                return;
            }
            if (reason)
            {
                return self->drop(*reason);
            }
            self->fail();
        });
}

void peer_connection::read_first_byte()
{
    read_buffer_.assign(frame_header_bytes, '\0');
    boost::asio::async_read(
        socket_, boost::asio::buffer(read_buffer_.data(), 1),
        [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
            if (self->owner_ == nullptr)
            {
                return;
            }
            if (ec)
            {
                return self->fail();
            }
            if (self->ready_)
            {
                self->arm(
                    self->deadline_,
                    self->owner_->options().limits.read_deadline,
                    drop_reason::read_deadline);
            }
            self->read_header();
        });
}

void peer_connection::read_header()
{
    boost::asio::async_read(
        socket_,
        boost::asio::buffer(read_buffer_.data() + 1, frame_header_bytes - 1),
        [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
            if (self->owner_ == nullptr)
            {
                return;
            }
            if (ec)
            {
                return self->drop(drop_reason::truncated);
            }
            const auto size = frame_codec::frame_size(
                self->read_buffer_,
                self->ready_ ? max_stream_frame_bytes : max_hello_bytes);
            if (const auto* reason = std::get_if<drop_reason>(&size))
            {
                return self->drop(*reason);
            }
            self->read_body(std::get<std::size_t>(size));
        });
}

void peer_connection::read_body(std::size_t size)
{
    read_buffer_.resize(size);
    boost::asio::async_read(
        socket_,
        boost::asio::buffer(
            read_buffer_.data() + frame_header_bytes,
            size - frame_header_bytes),
        [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
            if (self->owner_ == nullptr)
            {
                return;
            }
            if (ec)
            {
                return self->drop(drop_reason::truncated);
            }
            self->on_frame_bytes();
        });
}

void peer_connection::on_frame_bytes()
{
    auto decoded = owner_->codec().decode(
        read_buffer_, receive_binding(), max_stream_frame_bytes);
    if (const auto* reason = std::get_if<drop_reason>(&decoded))
    {
        return drop(*reason);
    }
    auto& it = std::get<frame>(decoded);
    if (ready_)
    {
        on_data(std::move(it));
    }
    else
    {
        on_hello(std::move(it));
    }
    if (owner_ == nullptr)
    {
        return;
    }
    if (ready_)
    {
        arm(deadline_, owner_->options().limits.idle, std::nullopt);
    }
    read_first_byte();
}

void peer_connection::on_hello(frame it)
{
    if (it.type != message_type::hello || it.payload.size() != nonce_bytes)
    {
        return drop(drop_reason::unexpected_message);
    }
    peer_ = std::move(it.sender);
    peer_incarnation_ = it.incarnation;
    peer_nonce_ = std::move(it.payload);
    if (dialled_.empty())
    {
        send_hello();
    }
    if (owner_ != nullptr)
    {
        ready_ = true;
        write_next();
    }
}

void peer_connection::on_data(frame it)
{
    if (it.type == message_type::hello || it.sender != peer_ ||
        it.incarnation != peer_incarnation_)
    {
        return drop(drop_reason::unexpected_message);
    }
    if (it.sequence != received_ + 1)
    {
        return drop(drop_reason::replayed);
    }
    received_ = it.sequence;
    auto& counters = owner_->counters_of_connections();
    ++counters.frames_received;
    counters.bytes_received += read_buffer_.size();
    owner_->on_stream_message(*this, std::move(it));
}

absl::Status peer_connection::send(message_type type, std::string payload)
{
    if (owner_ == nullptr)
    {
        return absl::UnavailableError("connection is closed");
    }
    const auto& limits = owner_->options().limits;
    if (queue_.size() >= limits.queued_frames ||
        queue_bytes_ + payload.size() > limits.queued_bytes)
    {
        owner_->counters_of_connections().drops.add(drop_reason::queue_full);
        return absl::ResourceExhaustedError("queue of the peer is full");
    }
    if (frame_overhead(owner_->options().self.size()) + payload.size() >
        max_stream_frame_bytes)
    {
        return absl::ResourceExhaustedError("message exceeds a frame");
    }
    queue_bytes_ += payload.size();
    queue_.push_back({type, std::move(payload)});
    write_next();
    return absl::OkStatus();
}

void peer_connection::write_next()
{
    if (!ready_ || !write_buffer_.empty() || queue_.empty())
    {
        return;
    }
    auto next = std::move(queue_.front());
    queue_.pop_front();
    queue_bytes_ -= next.payload.size();
    auto bytes = owner_->codec().encode(
        {next.type, owner_->options().self, owner_->options().incarnation,
         ++sent_, std::move(next.payload)},
        send_binding(), max_stream_frame_bytes);
    if (!bytes.ok())
    {
        return fail();
    }
    auto& counters = owner_->counters_of_connections();
    ++counters.frames_sent;
    counters.bytes_sent += bytes->size();
    write_bytes(*std::move(bytes));
}

void peer_connection::write_bytes(std::string bytes)
{
    write_buffer_ = std::move(bytes);
    arm(write_deadline_, owner_->options().limits.write_deadline, std::nullopt);
    boost::asio::async_write(
        socket_, boost::asio::buffer(write_buffer_),
        [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
            if (self->owner_ == nullptr)
            {
                return;
            }
            if (ec)
            {
                return self->fail();
            }
            self->write_deadline_.cancel();
            self->write_buffer_.clear();
            self->write_next();
        });
}

void peer_connection::drop(drop_reason reason)
{
    owner_->counters_of_connections().drops.add(reason);
    fail();
}

void peer_connection::fail()
{
    if (owner_ == nullptr)
    {
        return;
    }
    auto* owner = owner_;
    const auto self = shared_from_this();
    detach();
    owner->on_connection_closed(*this);
}

void peer_connection::detach()
{
    owner_ = nullptr;
    queue_.clear();
    queue_bytes_ = 0;
    boost::system::error_code ec;
    deadline_.cancel();
    write_deadline_.cancel();
    socket_.close(ec);
}

} // namespace hyssoploft::wire
