#ifndef HYSSOPLOFT_LIBCORE_SOCKET_OPTIONS_HPP
#define HYSSOPLOFT_LIBCORE_SOCKET_OPTIONS_HPP

// Socket options that the networking library has no names for.

#include <chrono>

namespace hyssoploft::core {

/// Breaks a TCP connection whose peer acknowledges nothing for about this
/// time, also while nothing is sent. Without it a peer that lost power or is
/// cut off keeps a connection open for many minutes. Failures are logged.
void set_silence_timeout(int socket, std::chrono::milliseconds timeout);

} // namespace hyssoploft::core

#endif
