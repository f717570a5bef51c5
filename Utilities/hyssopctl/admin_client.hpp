#ifndef HYSSOPLOFT_HYSSOPCTL_ADMIN_CLIENT_HPP
#define HYSSOPLOFT_HYSSOPCTL_ADMIN_CLIENT_HPP

// Sends a request to the first of several VMs that answers it.

#include <LibCore/time.hpp>

#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoploft::ctl {

struct http_request
{
    std::string method; ///< "GET" or "POST"
    std::string target; ///< Path and query.
    std::string body;   ///< JSON, if any.
    std::string token;  ///< Bearer token; empty: none.
    core::duration timeout = std::chrono::seconds(10);
};

struct http_reply
{
    unsigned status = 0;
    std::string body;
};

class http_transport
{
public:
    virtual ~http_transport() = default;

    /// One exchange with "IP:port". UNAVAILABLE if there was no whole reply:
    /// the request may have been carried out all the same.
    virtual absl::StatusOr<http_reply>
    send(const std::string& address, const http_request& request) = 0;
};

struct client_options
{
    std::vector<std::string> addresses; ///< In order of preference.
    std::string token;
    core::duration timeout = std::chrono::seconds(10); ///< Of one exchange.
    int rounds = 3; ///< Times that all addresses are tried.
    core::duration pause = std::chrono::seconds(1); ///< Between rounds.
    /// Called with `pause`; tests don't wait.
    std::function<void(core::duration)> wait;
};

class admin_client
{
public:
    admin_client(http_transport& transport, client_options options)
        : transport_(transport), options_(std::move(options))
    {}

    absl::StatusOr<http_reply> get(std::string_view target);

    /// Sends the same body to the next VM when one gives no answer or says
    /// that it can't decide (502, 503, 504). Safe only for bodies with a
    /// request identifier.
    absl::StatusOr<http_reply>
    post(std::string_view target, const std::string& body);

    std::size_t address_count() const
    {
        return options_.addresses.size();
    }

private:
    absl::StatusOr<http_reply> call(http_request request);

    http_transport& transport_;
    client_options options_;
    std::size_t first_ = 0; // Index of the address that answered last.
};

/// The message of a reply that is not 2xx, with its details.
std::string error_text(const http_reply& reply);

} // namespace hyssoploft::ctl

#endif
