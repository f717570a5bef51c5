// Parsing and formatting of addresses.

#include <LibWire/ip_address.hpp>

#include <LibCore/text.hpp>

namespace hyssoploft::wire {

absl::StatusOr<host_and_port> parse_address(const std::string& text)
{
    const auto bad = [&] {
        return absl::InvalidArgumentError(
            core::concat("not an IP address and port: ", text));
    };
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size() ||
        text.size() - colon > sizeof "65535")
    {
        return bad();
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
    }
    unsigned port = 0;
    for (const char c : text.substr(colon + 1))
    {
        if (c < '0' || c > '9')
        {
            return bad();
        }
        port = port * 10 + static_cast<unsigned>(c - '0');
    }
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(host, ec);
    if (ec || port > UINT16_MAX)
    {
        return bad();
    }
    return host_and_port{address, static_cast<std::uint16_t>(port)};
}

std::string
format_address(const boost::asio::ip::address& host, std::uint16_t port)
{
    return host.is_v6() ? core::concat("[", host.to_string(), "]:", port)
                        : core::concat(host.to_string(), ":", port);
}

} // namespace hyssoploft::wire
