// Listens for callers.

#include <LibHttp/http_server.hpp>

#include <LibCore/text.hpp>

#include <boost/asio/post.hpp>
#include <glog/logging.h>

#include <utility>

namespace hyssoploft::http {

namespace {

// Time without accepting after an error such as a lack of descriptors.
constexpr std::chrono::milliseconds accept_pause{100};

} // namespace

absl::StatusOr<std::shared_ptr<http_server>> http_server::create(
    const options& settings,
    std::vector<std::shared_ptr<traffic_thread>> threads,
    std::shared_ptr<request_handler> handler)
{
    CHECK(!threads.empty());
    // An account belongs to one thread.
    CHECK(!settings.account || threads.size() == 1);
    const auto endpoint = parse_endpoint(settings.address);
    if (!endpoint.ok())
    {
        return endpoint.status();
    }
    std::shared_ptr<http_server> server(
        new http_server(settings, std::move(threads), std::move(handler)));
    error_code ec;
    auto& it = server->acceptor_;
    it.open(endpoint->protocol(), ec);
    if (!ec)
    {
        it.set_option(tcp::acceptor::reuse_address(true), ec);
        it.bind(*endpoint, ec);
    }
    if (!ec)
    {
        it.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec)
    {
        return absl::UnavailableError(
            core::concat("listen on ", settings.address, ": ", ec.message()));
    }
    return server;
}

http_server::http_server(
    const options& settings,
    std::vector<std::shared_ptr<traffic_thread>> threads,
    std::shared_ptr<request_handler> handler)
    : max_connections_(settings.max_connections), account_(settings.account),
      threads_(std::move(threads)), handler_(std::move(handler)),
      load_(std::make_shared<server_load>()),
      acceptor_(threads_.front()->context()),
      pause_(threads_.front()->context())
{}

// NOTE: Handlers hold weak references. The server owns the threads whose event
// loops hold the handlers, so that shared ones would keep all of them alive
// when a thread is stopped with a handler pending.

void http_server::start()
{
    asio::post(acceptor_.get_executor(), [weak = weak_from_this()] {
        if (const auto self = weak.lock())
        {
            self->accept_next();
        }
    });
}

void http_server::close_kept_connections()
{
    load_->draining = true;
}

void http_server::drain()
{
    load_->draining = true;
    asio::post(acceptor_.get_executor(), [weak = weak_from_this()] {
        if (const auto self = weak.lock())
        {
            error_code ec;
            self->acceptor_.close(ec);
        }
    });
}

void http_server::accept_next()
{
    auto& thread = *threads_[next_thread_++ % threads_.size()];
    acceptor_.async_accept(
        thread.context(), [weak = weak_from_this(),
                           &thread](const error_code& ec, tcp::socket socket) {
            const auto self = weak.lock();
            if (self && self->acceptor_.is_open())
            {
                self->accepted(thread, ec, std::move(socket));
            }
        });
}

void http_server::accepted(
    traffic_thread& thread, const error_code& ec, tcp::socket socket)
{
    if (ec)
    {
        pause_.expires_after(accept_pause);
        pause_.async_wait([weak = weak_from_this()](const error_code& stopped) {
            const auto self = weak.lock();
            if (!stopped && self && self->acceptor_.is_open())
            {
                self->accept_next();
            }
        });
        return;
    }
    const bool has_room = load_->connections < max_connections_ &&
                          (!account_ || account_->make_room_for_connection(
                                            std::chrono::steady_clock::now()));
    if (has_room)
    {
        std::make_shared<server_session>(
            std::move(socket), thread.pool(), handler_, load_, account_)
            ->start();
    }
    accept_next();
}

} // namespace hyssoploft::http
