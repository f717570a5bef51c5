#ifndef HYSSOPLOFT_REVIEW_STAND_INS_3_NET_HPP
#define HYSSOPLOFT_REVIEW_STAND_INS_3_NET_HPP

// Blocking HTTP/1.1 calls, time and the record file of a case, for the
// stand-ins of this review.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace review {

inline std::int64_t wall_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline std::int64_t steady_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

/// Appends lines with the time in milliseconds; each line is one write.
class record
{
public:
    explicit record(const std::string& path)
        : fd_(::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644))
    {}

    void line(const std::string& text)
    {
        const auto out = std::to_string(wall_ms()) + " " + text + "\n";
        const std::lock_guard lock(mutex_);
        if (::write(fd_, out.data(), out.size()) < 0)
        {
            std::perror("record");
        }
    }

private:
    int fd_;
    std::mutex mutex_;
};

inline std::vector<std::string> split(const std::string& text, char by)
{
    std::vector<std::string> out;
    std::size_t from = 0;
    for (;;)
    {
        const auto to = text.find(by, from);
        out.push_back(text.substr(from, to - from));
        if (to == std::string::npos)
        {
            return out;
        }
        from = to + 1;
    }
}

inline sockaddr_in endpoint_of(const std::string& address)
{
    sockaddr_in out{};
    const auto colon = address.rfind(':');
    out.sin_family = AF_INET;
    out.sin_port = htons(
        static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

/// -1 if no connection was established in time.
inline int connect_to(const std::string& address, int timeout_ms)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (fd < 0)
    {
        return -1;
    }
    const auto to = endpoint_of(address);
    int error = 0;
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
    {
        pollfd it{fd, POLLOUT, 0};
        socklen_t size = sizeof error;
        const bool done =
            errno == EINPROGRESS && ::poll(&it, 1, timeout_ms) == 1 &&
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
            error == 0;
        if (!done)
        {
            ::close(fd);
            return -1;
        }
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool send_all(int fd, std::string_view bytes, int timeout_ms)
{
    while (!bytes.empty())
    {
        const auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n > 0)
        {
            bytes.remove_prefix(static_cast<std::size_t>(n));
            continue;
        }
        pollfd it{fd, POLLOUT, 0};
        if (n == 0 || errno != EAGAIN || ::poll(&it, 1, timeout_ms) != 1)
        {
            return false;
        }
    }
    return true;
}

/// Value of a field of a head; empty if it has none.
inline std::string field_of(const std::string& head, const std::string& name)
{
    std::size_t at = head.find("\r\n");
    while (at != std::string::npos)
    {
        at += 2;
        const auto end = head.find("\r\n", at);
        const auto line = head.substr(at, end - at);
        const auto colon = line.find(':');
        const bool is_meant =
            colon == name.size() &&
            std::equal(
                name.begin(), name.end(), line.begin(), [](char a, char b) {
                    return std::tolower(static_cast<unsigned char>(a)) ==
                           std::tolower(static_cast<unsigned char>(b));
                });
        if (is_meant)
        {
            const auto from = line.find_first_not_of(' ', colon + 1);
            return from == std::string::npos ? std::string()
                                             : line.substr(from);
        }
        at = end;
    }
    return {};
}

struct answer
{
    int status = 0; ///< 0: none, or no head.
    std::string head;
    std::string body;
    bool whole = false;
};

/// Bytes of a chunked body; false if its last chunk is missing.
inline bool read_chunks(std::string_view bytes, std::string& out)
{
    for (;;)
    {
        const auto end = bytes.find("\r\n");
        if (end == std::string_view::npos)
        {
            return false;
        }
        const auto size = std::strtoul(
            std::string(bytes.substr(0, end)).c_str(), nullptr, 16);
        bytes.remove_prefix(end + 2);
        if (size == 0)
        {
            return bytes.find("\r\n") != std::string_view::npos;
        }
        if (bytes.size() < size + 2)
        {
            return false;
        }
        out += bytes.substr(0, size);
        bytes.remove_prefix(size + 2);
    }
}

inline bool is_whole(const std::string& bytes, answer& out, bool ended)
{
    const auto end = bytes.find("\r\n\r\n");
    if (end == std::string::npos)
    {
        return false;
    }
    out.head = bytes.substr(0, end + 2);
    out.status = out.head.size() > 12 ? std::atoi(out.head.c_str() + 9) : 0;
    const auto rest = std::string_view(bytes).substr(end + 4);
    out.body.clear();
    if (!field_of(out.head, "Transfer-Encoding").empty())
    {
        out.whole = read_chunks(rest, out.body);
        return out.whole;
    }
    const auto length = field_of(out.head, "Content-Length");
    out.body = std::string(rest);
    out.whole = length.empty()
                    ? ended
                    : rest.size() >= std::strtoul(length.c_str(), nullptr, 10);
    return out.whole;
}

inline answer read_answer(int fd, int timeout_ms)
{
    answer out;
    std::string bytes;
    const auto until = steady_ms() + timeout_ms;
    for (;;)
    {
        const auto left = until - steady_ms();
        pollfd it{fd, POLLIN, 0};
        if (left <= 0 || ::poll(&it, 1, static_cast<int>(left)) != 1)
        {
            return out;
        }
        char buf[16384];
        const auto n = ::recv(fd, buf, sizeof buf, 0);
        if (n <= 0)
        {
            (void)is_whole(bytes, out, n == 0);
            return out;
        }
        bytes.append(buf, static_cast<std::size_t>(n));
        if (is_whole(bytes, out, false))
        {
            return out;
        }
    }
}

/// One call on a connection of its own.
inline answer
call(const std::string& address, const std::string& message, int timeout_ms)
{
    const int fd = connect_to(address, std::min(timeout_ms, 1000));
    if (fd < 0)
    {
        return {};
    }
    answer out;
    if (send_all(fd, message, timeout_ms))
    {
        out = read_answer(fd, timeout_ms);
    }
    ::close(fd);
    return out;
}

inline std::string post_of(
    const std::string& host, const std::string& path, const std::string& body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: " + host +
           "\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review

#endif
