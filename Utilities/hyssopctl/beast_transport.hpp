#ifndef HYSSOPLOFT_HYSSOPCTL_BEAST_TRANSPORT_HPP
#define HYSSOPLOFT_HYSSOPCTL_BEAST_TRANSPORT_HPP

// HTTP/1.1 by Boost.Beast, one connection for each request.

#include <hyssopctl/admin_client.hpp>

namespace hyssoploft::ctl {

class beast_transport final : public http_transport
{
public:
    absl::StatusOr<http_reply>
    send(const std::string& address, const http_request& request) override;
};

} // namespace hyssoploft::ctl

#endif
