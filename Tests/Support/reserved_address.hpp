#ifndef HYSSOPLOFT_TESTS_SUPPORT_RESERVED_ADDRESS_HPP
#define HYSSOPLOFT_TESTS_SUPPORT_RESERVED_ADDRESS_HPP

// Keeps a loopback port for one test. Tests run side by side, so a port that
// was only looked up may be given to another process before it is used.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace hyssoploft::tests {

/// A loopback address that the system gives to nobody else while this lives.
/// Connections are refused until something in this process listens there, with
/// the option to reuse addresses.
class reserved_address
{
public:
    reserved_address() : socket_(context_, boost::asio::ip::tcp::v4())
    {
        socket_.set_option(boost::asio::socket_base::reuse_address(true));
        socket_.bind({boost::asio::ip::address_v4::loopback(), 0});
    }

    unsigned short port() const
    {
        return socket_.local_endpoint().port();
    }

    /// "127.0.0.1:port".
    std::string text() const
    {
        return "127.0.0.1:" + std::to_string(port());
    }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_; // Bound, never listens.
};

} // namespace hyssoploft::tests

#endif
