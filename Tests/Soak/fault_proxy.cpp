// Connections that are passed on, delayed, cut or silenced.

#include <Soak/fault_proxy.hpp>

#include <LibCore/text.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <utility>

namespace hyssoploft::soak {

namespace {

namespace asio = http::asio;

/// Longer than a gateway expects within a data centre, shorter than its
/// time-outs.
constexpr std::chrono::milliseconds delay_of_piece{120};
/// Long enough for the connection to be in use again.
constexpr std::chrono::milliseconds delay_of_repeat{20};
constexpr std::chrono::milliseconds trickle_interval{250};

// Streams have no length and are never whole.
bool is_whole_answer(std::string_view piece)
{
    http::bhttp::response_parser<http::bhttp::string_body> parser;
    http::error_code ec;
    parser.eager(true);
    const auto n = parser.put(asio::buffer(piece.data(), piece.size()), ec);
    return !ec && parser.is_done() && parser.content_length() &&
           n == piece.size();
}

} // namespace

absl::StatusOr<std::shared_ptr<fault_proxy>> fault_proxy::create(
    asio::io_context& io, const std::string& ip,
    const http::tcp::endpoint& target)
{
    std::shared_ptr<fault_proxy> it(new fault_proxy(io, target));
    http::error_code ec;
    const http::tcp::endpoint own(asio::ip::make_address(ip), 0);
    it->acceptor_.open(own.protocol(), ec);
    if (!ec)
    {
        it->acceptor_.bind(own, ec);
    }
    if (!ec)
    {
        it->acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec)
    {
        return absl::UnavailableError(
            core::concat("proxy on ", ip, ": ", ec.message()));
    }
    return it;
}

fault_proxy::fault_proxy(
    asio::io_context& io, const http::tcp::endpoint& target)
    : io_(io), acceptor_(io), target_(target)
{}

std::string fault_proxy::address() const
{
    const auto own = endpoint();
    return core::concat(own.address().to_string(), ":", own.port());
}

void fault_proxy::start()
{
    asio::co_spawn(io_, accept(), asio::detached);
}

void fault_proxy::set(link_fault fault)
{
    fault_ = fault;
    if (fault == link_fault::reset)
    {
        for (const auto& it : std::exchange(links_, {}))
        {
            reset(*it);
        }
    }
}

void fault_proxy::reset(link& it)
{
    http::error_code ignored;
    for (auto* socket : {&it.near, &it.far})
    {
        // With a linger time of zero closing sends a reset.
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

asio::awaitable<void> fault_proxy::accept()
{
    const auto self = shared_from_this();
    for (;;)
    {
        http::error_code ec;
        auto socket = co_await acceptor_.async_accept(
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
        {
            co_return;
        }
        auto it = std::make_shared<link>(
            link{std::move(socket), http::tcp::socket(io_)});
        if (fault_ == link_fault::reset)
        {
            reset(*it);
            continue;
        }
        asio::co_spawn(io_, carry(it), asio::detached);
    }
}

asio::awaitable<void> fault_proxy::carry(std::shared_ptr<link> it)
{
    const auto self = shared_from_this();
    http::error_code ec;
    co_await it->far.async_connect(
        target_, asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
    {
        reset(*it);
        co_return;
    }
    links_.insert(it);
    asio::co_spawn(io_, pump(it, true), asio::detached);
    co_await pump(it, false);
    links_.erase(it);
}

asio::awaitable<void>
fault_proxy::pump(std::shared_ptr<link> it, bool towards_target)
{
    const auto self = shared_from_this();
    auto& from = towards_target ? it->near : it->far;
    auto& to = towards_target ? it->far : it->near;
    const auto swallowed =
        towards_target ? link_fault::drop_requests : link_fault::drop_answers;
    std::array<char, 16384> buf{};
    bool silent = false;
    bool trickles = false;
    for (;;)
    {
        http::error_code ec;
        const auto n = co_await from.async_read_some(
            asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
        {
            break;
        }
        // TCP never loses bytes in the middle: a connection that was silenced
        // stays silent when the fault ends.
        silent |= fault_ == swallowed;
        if (silent)
        {
            continue;
        }
        if (fault_ == link_fault::delay)
        {
            co_await wait(delay_of_piece);
        }
        const std::string piece(buf.data(), n);
        trickles |= !towards_target && fault_ == link_fault::trickle_answers;
        if (trickles)
        {
            ec = co_await trickle(*it, piece);
        }
        else
        {
            it->is_answering |= !towards_target;
            co_await asio::async_write(
                to, asio::buffer(piece),
                asio::redirect_error(asio::use_awaitable, ec));
            it->is_answering &= towards_target;
        }
        if (ec)
        {
            break;
        }
        if (!towards_target && fault_ == link_fault::repeat_answers &&
            is_whole_answer(piece))
        {
            asio::co_spawn(io_, repeat(it, piece), asio::detached);
        }
    }
    http::error_code ignored;
    to.shutdown(http::tcp::socket::shutdown_send, ignored);
    from.close(ignored);
}

asio::awaitable<http::error_code>
fault_proxy::trickle(link& it, std::string piece)
{
    const auto self = shared_from_this();
    http::error_code ec;
    for (std::size_t n = 0; n < piece.size() && !ec; ++n)
    {
        co_await wait(trickle_interval);
        co_await asio::async_write(
            it.near, asio::buffer(piece.data() + n, 1),
            asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return ec;
}

asio::awaitable<void>
fault_proxy::repeat(std::shared_ptr<link> it, std::string answer)
{
    const auto self = shared_from_this();
    co_await wait(delay_of_repeat);
    // Never in the middle of another answer.
    if (it->is_answering)
    {
        co_return;
    }
    http::error_code ec; // The connection may have ended by now.
    it->is_answering = true;
    co_await asio::async_write(
        it->near, asio::buffer(answer),
        asio::redirect_error(asio::use_awaitable, ec));
    it->is_answering = false;
}

asio::awaitable<void> fault_proxy::wait(std::chrono::milliseconds d)
{
    http::error_code ec;
    asio::steady_timer timer(io_, d);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

} // namespace hyssoploft::soak
