// Stand-in for a worker of the users' platform, without libraries: it sends
// heartbeats to the control VMs, writes a line for each request that it runs,
// and answers as the request's path says. Any path gets 200 and the body
// "METHOD TARGET BODY"; /status/N/ the status N; /wait/MS/ the answer after MS
// milliseconds; /stream/ five events.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace std::chrono_literals;

constexpr auto heartbeat_interval = 1000ms;
constexpr std::size_t piece_bytes = 16 * 1024;

struct options
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    std::vector<std::string> control;
    int slots = 16;
};

struct message
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

std::mutex output_mutex;

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::optional<sockaddr_in> endpoint_of(const std::string& address)
{
    const auto colon = address.rfind(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    if (colon == std::string::npos ||
        ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) !=
            1)
    {
        return std::nullopt;
    }
    out.sin_port = htons(
        static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    return out;
}

bool send_all(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const auto n =
            ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

// False at the end of the connection.
bool receive(int fd, std::string& buffer)
{
    char piece[piece_bytes];
    const auto n = ::recv(fd, piece, sizeof piece, 0);
    if (n > 0)
    {
        buffer.append(piece, static_cast<std::size_t>(n));
    }
    return n > 0;
}

std::string trimmed(const std::string& text)
{
    const auto begin = text.find_first_not_of(" \t");
    const auto end = text.find_last_not_of(" \t\r");
    return begin == std::string::npos ? std::string()
                                      : text.substr(begin, end - begin + 1);
}

bool read_message(int fd, std::string& buffer, message& out)
{
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
    {
        if (!receive(fd, buffer))
        {
            return false;
        }
    }
    const auto head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    auto line_end = head.find("\r\n");
    const auto first = head.substr(0, line_end);
    const auto space = first.find(' ');
    const auto last_space = first.rfind(' ');
    if (space == std::string::npos || space == last_space)
    {
        return false;
    }
    out.method = first.substr(0, space);
    out.target = first.substr(space + 1, last_space - space - 1);
    for (auto at = line_end + 2; at < head.size();)
    {
        line_end = head.find("\r\n", at);
        const auto line = head.substr(at, line_end - at);
        const auto colon = line.find(':');
        auto name = line.substr(0, colon);
        std::transform(
            name.begin(), name.end(), name.begin(), [](unsigned char c) {
                return static_cast<char>(std::tolower(c));
            });
        if (colon != std::string::npos)
        {
            out.headers[name] = trimmed(line.substr(colon + 1));
        }
        at = line_end + 2;
    }
    const auto length = static_cast<std::size_t>(
        std::atoll(out.header("content-length").c_str()));
    while (buffer.size() < length)
    {
        if (!receive(fd, buffer))
        {
            return false;
        }
    }
    out.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

// The number after `name` in a path such as /status/529/.
std::optional<int> number_after(const std::string& path, const char* name)
{
    const auto at = path.find(name);
    if (at == std::string::npos)
    {
        return std::nullopt;
    }
    return std::atoi(path.c_str() + at + std::string(name).size());
}

std::string head_of(const options& own, const message& it, int status)
{
    return "HTTP/1.1 " + std::to_string(status) +
           (status < 300 ? " Fine" : " Failed") +
           "\r\nHyssoploft-Request-Id: " + it.header("hyssoploft-request-id") +
           "\r\nHyssoploft-Server-Stamp: " + own.id + "\r\n";
}

std::string chunk_of(const std::string& bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

bool answer(int fd, const options& own, const message& it)
{
    if (it.target.find("/stream/") != std::string::npos)
    {
        bool sound = send_all(
            fd, head_of(own, it, 200) + "Content-Type: text/event-stream\r\n" +
                    "Transfer-Encoding: chunked\r\n\r\n");
        for (int n = 1; n <= 5 && sound; ++n)
        {
            const auto number = std::to_string(n);
            sound = send_all(
                fd,
                chunk_of("id: " + number + "\ndata: part " + number + "\n\n"));
        }
        return sound && send_all(fd, "0\r\n\r\n");
    }
    if (const auto ms = number_after(it.target, "/wait/"))
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(*ms));
    }
    const auto status = number_after(it.target, "/status/").value_or(200);
    const auto body = it.method + " " + it.target + " " + it.body;
    return send_all(
        fd, head_of(own, it, status) + "Content-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
}

void serve(int fd, const options& own)
{
    std::string buffer;
    for (;;)
    {
        message it;
        if (!read_message(fd, buffer, it))
        {
            break;
        }
        const auto expected = it.header("hyssoploft-expect-instance");
        if (!expected.empty() && expected != own.id)
        {
            const bool sent = send_all(
                fd, "HTTP/1.1 421 Misdirected\r\nHyssoploft-Request-Id: " +
                        it.header("hyssoploft-request-id") +
                        "\r\nContent-Length: 0\r\n\r\n");
            if (!sent)
            {
                break;
            }
            continue;
        }
        {
            const std::lock_guard lock(output_mutex);
            std::printf(
                "run %lld worker=%s id=%s %s %s body=%s\n",
                static_cast<long long>(unix_ms()), own.id.c_str(),
                it.header("hyssoploft-request-id").c_str(), it.method.c_str(),
                it.target.c_str(), it.body.c_str());
            std::fflush(stdout);
        }
        if (!answer(fd, own, it))
        {
            break;
        }
    }
    ::close(fd);
}

bool beat(const std::string& to, const options& own, const std::string& body)
{
    const auto endpoint = endpoint_of(to);
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const timeval limit{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    std::string reply;
    const bool acknowledged =
        endpoint &&
        ::connect(
            fd, reinterpret_cast<const sockaddr*>(&*endpoint),
            sizeof *endpoint) == 0 &&
        send_all(
            fd, "POST /hyssoploft/Instances.Heartbeat/" + own.id +
                    " HTTP/1.1\r\nHost: control\r\nConnection: close\r\n"
                    "Content-Type: application/json\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body) &&
        receive(fd, reply) && reply.rfind("HTTP/1.1 2", 0) == 0;
    ::close(fd);
    return acknowledged;
}

void announce(const options& own)
{
    const auto born = unix_ms();
    std::size_t next = 0;
    for (int sequence = 1;; ++sequence)
    {
        const auto body =
            "{\"service\":\"" + own.service + "\",\"address\":\"" +
            own.address + "\",\"zone\":\"" + own.zone +
            "\",\"version\":\"v1\",\"slots\":" + std::to_string(own.slots) +
            ",\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":" +
            std::to_string(sequence) + ",\"born\":" + std::to_string(born) +
            "}";
        for (std::size_t n = 0; n < own.control.size(); ++n)
        {
            if (beat(own.control[next % own.control.size()], own, body))
            {
                break;
            }
            ++next;
        }
        std::this_thread::sleep_for(heartbeat_interval);
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 6)
    {
        std::fprintf(
            stderr, "usage: worker ID SERVICE IP:PORT ZONE CONTROL...\n");
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    options own;
    own.id = argv[1];
    own.service = argv[2];
    own.address = argv[3];
    own.zone = argv[4];
    own.control.assign(argv + 5, argv + argc);
    const auto endpoint = endpoint_of(own.address);
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const bool listens =
        endpoint &&
        ::bind(
            listener, reinterpret_cast<const sockaddr*>(&*endpoint),
            sizeof *endpoint) == 0 &&
        ::listen(listener, 256) == 0;
    if (!listens)
    {
        std::perror("worker: listen");
        return 2;
    }
    std::thread([own] {
        announce(own);
    }).detach();
    for (;;)
    {
        const int fd = ::accept(listener, nullptr, nullptr);
        if (fd < 0)
        {
            continue;
        }
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([fd, own] {
            serve(fd, own);
        }).detach();
    }
}
