// Sets options for silent connections.

#include <LibCore/socket_options.hpp>

#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace hyssoploft::core {

namespace {

void set_option(int socket, int level, int name, int value)
{
    if (::setsockopt(socket, level, name, &value, sizeof value) != 0)
    {
        LOG_EVERY_N(WARNING, 1000)
            << "socket_option_failed level=" << level << " name=" << name;
    }
}

} // namespace

void set_silence_timeout(int socket, std::chrono::milliseconds timeout)
{
    constexpr int probes = 2;
    const auto seconds = std::max<long>(1, timeout.count() / 1000);
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(seconds));
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, probes);
    set_option(
        socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
        static_cast<int>(timeout.count()));
}

} // namespace hyssoploft::core
