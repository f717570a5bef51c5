#ifndef HYSSOPLOFT_LIBHTTP_REQUEST_HANDLER_HPP
#define HYSSOPLOFT_LIBHTTP_REQUEST_HANDLER_HPP

// What a server does with a request.

#include <LibHttp/exchange.hpp>

namespace hyssoploft::http {

class request_handler
{
public:
    virtual ~request_handler() = default;

    /// Answers one request. The exchange outlives the call.
    virtual asio::awaitable<void> handle(exchange& it) = 0;
};

} // namespace hyssoploft::http

#endif
