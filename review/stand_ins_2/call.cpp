// Stand-in for a client or an operator of the users' platform: sends one
// request on a connection of its own and prints the status of the answer, or
// 000 if no whole answer came in time. Usage:
//   call IP:PORT METHOD TARGET [-t SECONDS] [-o FILE] [-H "NAME: VALUE"]...
//        [-d BODY | -f FILE]
// The bytes of the answer go to the file of -o.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

namespace {

using steady = std::chrono::steady_clock;

constexpr std::size_t piece_bytes = 64 * 1024;

struct call
{
    std::string address;
    std::string method;
    std::string target;
    std::string headers;
    std::string body;
    std::string out;
    double seconds = 10;
    bool has_host = false;
};

std::string content_of(const char* path)
{
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

bool parse(int argc, char** argv, call& it)
{
    if (argc < 4)
    {
        return false;
    }
    it.address = argv[1];
    it.method = argv[2];
    it.target = argv[3];
    for (int n = 4; n + 1 < argc; n += 2)
    {
        const std::string option = argv[n];
        const std::string value = argv[n + 1];
        if (option == "-t")
        {
            it.seconds = std::atof(value.c_str());
        }
        else if (option == "-o")
        {
            it.out = value;
        }
        else if (option == "-H")
        {
            it.headers += value + "\r\n";
            it.has_host = it.has_host || value.rfind("Host:", 0) == 0;
        }
        else if (option == "-d")
        {
            it.body = value;
        }
        else if (option == "-f")
        {
            it.body = content_of(value.c_str());
        }
        else
        {
            return false;
        }
    }
    return true;
}

int milliseconds_until(steady::time_point end)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - steady::now());
    return static_cast<int>(std::max<std::int64_t>(0, left.count()));
}

bool wait_for(int fd, short events, steady::time_point end)
{
    pollfd it{fd, events, 0};
    return ::poll(&it, 1, milliseconds_until(end)) == 1;
}

int connect_to(const std::string& address, steady::time_point end)
{
    const auto colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    if (colon == std::string::npos ||
        ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr) !=
            1)
    {
        return -1;
    }
    to.sin_port = htons(
        static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    (void)::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    int error = 0;
    socklen_t size = sizeof error;
    const bool connected =
        wait_for(fd, POLLOUT, end) &&
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
        error == 0;
    return connected ? fd : -1;
}

bool send_all(int fd, const std::string& bytes, steady::time_point end)
{
    std::size_t sent = 0;
    while (sent < bytes.size() && wait_for(fd, POLLOUT, end))
    {
        const auto n =
            ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return sent == bytes.size();
}

std::string receive_all(int fd, steady::time_point end)
{
    std::string out;
    std::string piece(piece_bytes, '\0');
    while (wait_for(fd, POLLIN, end))
    {
        const auto n = ::recv(fd, piece.data(), piece.size(), 0);
        if (n <= 0)
        {
            break;
        }
        out.append(piece, 0, static_cast<std::size_t>(n));
    }
    return out;
}

// The status of a whole answer in HTTP/1.1; 0 if it is none.
int status_of(const std::string& answer)
{
    const auto end = answer.find("\r\n\r\n");
    if (answer.rfind("HTTP/1.1 ", 0) != 0 || end == std::string::npos)
    {
        return 0;
    }
    const int status = std::atoi(answer.c_str() + 9);
    auto head = answer.substr(0, end + 2);
    std::transform(head.begin(), head.end(), head.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    const auto body = answer.size() - end - 4;
    constexpr const char* length_field = "\r\ncontent-length:";
    const auto length = head.find(length_field);
    const bool is_chunked =
        head.find("\r\ntransfer-encoding: chunked") != std::string::npos;
    const std::string last_chunk = "0\r\n\r\n";
    const bool is_whole =
        is_chunked ? body >= last_chunk.size() &&
                         answer.compare(
                             answer.size() - last_chunk.size(),
                             last_chunk.size(), last_chunk) == 0
                   : length != std::string::npos &&
                         body == static_cast<std::size_t>(std::atoll(
                                     head.c_str() + length +
                                     std::string(length_field).size()));
    return is_whole && status >= 200 && status <= 599 ? status : 0;
}

} // namespace

int main(int argc, char** argv)
{
    call it;
    if (!parse(argc, argv, it))
    {
        std::fprintf(stderr, "usage: call IP:PORT METHOD TARGET [OPTION]...\n");
        return 2;
    }
    const auto end =
        steady::now() +
        std::chrono::milliseconds(static_cast<std::int64_t>(it.seconds * 1000));
    const int fd = connect_to(it.address, end);
    std::string answer;
    if (fd >= 0)
    {
        const auto head = it.method + " " + it.target + " HTTP/1.1\r\n" +
                          (it.has_host ? "" : "Host: control\r\n") +
                          it.headers + "Connection: close\r\nContent-Length: " +
                          std::to_string(it.body.size()) + "\r\n\r\n";
        (void)send_all(fd, head + it.body, end);
        answer = receive_all(fd, end);
        ::close(fd);
    }
    if (!it.out.empty())
    {
        std::ofstream(it.out, std::ios::binary) << answer;
    }
    std::printf("%03d", status_of(answer));
    return 0;
}
