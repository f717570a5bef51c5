#ifndef HYSSOPLOFT_LIBWIRE_IP_ADDRESS_HPP
#define HYSSOPLOFT_LIBWIRE_IP_ADDRESS_HPP

// "IP:port" texts. Private to this library.

#include <absl/status/statusor.h>
#include <boost/asio/ip/address.hpp>

#include <cstdint>
#include <string>

namespace hyssoploft::wire {

struct host_and_port
{
    boost::asio::ip::address host;
    std::uint16_t port = 0;
};

/// INVALID_ARGUMENT unless the text is "IP:port" or "[IPv6]:port".
absl::StatusOr<host_and_port> parse_address(const std::string& text);

std::string
format_address(const boost::asio::ip::address& host, std::uint16_t port);

} // namespace hyssoploft::wire

#endif
