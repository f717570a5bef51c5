#ifndef HYSSOPLOFT_LIBHTTP_HTTP_SERVER_HPP
#define HYSSOPLOFT_LIBHTTP_HTTP_SERVER_HPP

// Accepts connections and spreads them over traffic threads.

#include <LibHttp/request_handler.hpp>
#include <LibHttp/server_session.hpp>
#include <LibHttp/traffic_thread.hpp>

#include <absl/status/statusor.h>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace hyssoploft::http {

class http_server : public std::enable_shared_from_this<http_server>
{
public:
    struct options
    {
        std::string address; ///< "IP:port"; port 0 is refused.
        std::size_t max_connections = 4096;
        /// Shared by the servers of one traffic thread. Null: no bound on
        /// what clients take together.
        std::shared_ptr<core::memory_account> account = nullptr;
    };

    /// Listens; connections are handled on `threads`, which outlive it.
    /// INVALID_ARGUMENT for a bad address, UNAVAILABLE if it can't listen.
    static absl::StatusOr<std::shared_ptr<http_server>> create(
        const options& settings,
        std::vector<std::shared_ptr<traffic_thread>> threads,
        std::shared_ptr<request_handler> handler);

    /// Begins to accept.
    void start();

    /// Stops accepting; connections close after their current answer.
    void drain();

    /// Connections close after their next answer; new ones are accepted, for
    /// callers that have not learned yet that this VM leaves.
    void close_kept_connections();

    std::size_t requests() const
    {
        return load_->requests;
    }

    std::size_t connections() const
    {
        return load_->connections;
    }

private:
    http_server(
        const options& settings,
        std::vector<std::shared_ptr<traffic_thread>> threads,
        std::shared_ptr<request_handler> handler);

    void accept_next();
    void
    accepted(traffic_thread& thread, const error_code& ec, tcp::socket socket);

    const std::size_t max_connections_;
    const std::shared_ptr<core::memory_account> account_;  // May be null.
    std::vector<std::shared_ptr<traffic_thread>> threads_; // Never empty.
    std::shared_ptr<request_handler> handler_;
    std::shared_ptr<server_load> load_;
    tcp::acceptor acceptor_; // Used on the first thread only.
    asio::steady_timer pause_;
    std::size_t next_thread_ = 0;
};

} // namespace hyssoploft::http

#endif
