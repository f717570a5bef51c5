#ifndef HYSSOPLOFT_TESTS_SUPPORT_FREE_PORT_HPP
#define HYSSOPLOFT_TESTS_SUPPORT_FREE_PORT_HPP

// Finds a loopback address that nobody listens on.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace hyssoploft::tests {

/// "127.0.0.1:port" with a port that the system just gave out.
inline std::string free_address()
{
    boost::asio::io_context context;
    using tcp = boost::asio::ip::tcp;
    tcp::acceptor it(
        context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return "127.0.0.1:" + std::to_string(it.local_endpoint().port());
}

} // namespace hyssoploft::tests

#endif
