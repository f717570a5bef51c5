// Connections that are passed on, delayed, cut or silenced.

#include <Soak/fault_proxy.hpp>

#include <LibCore/text.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace hyssoploft::soak {

namespace {

namespace asio = http::asio;

/// Longer than a gateway expects within a data centre, shorter than its
/// time-outs.
constexpr std::chrono::milliseconds delay_of_piece{120};

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
    asio::steady_timer timer(io_);
    bool silent = false;
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
            timer.expires_after(delay_of_piece);
            co_await timer.async_wait(
                asio::redirect_error(asio::use_awaitable, ec));
        }
        co_await asio::async_write(
            to, asio::buffer(buf.data(), n),
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
        {
            break;
        }
    }
    http::error_code ignored;
    to.shutdown(http::tcp::socket::shutdown_send, ignored);
    from.close(ignored);
}

} // namespace hyssoploft::soak
