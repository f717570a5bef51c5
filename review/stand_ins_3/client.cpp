// Stand-in for the operator and for clients of the users' platform.
//
//   client send METHOD IP:PORT PATH [FILE]   prints the status and the body
//   client calls OPTION...                   requests, one line for each
//   client crowd OPTION...                   many requests that stay open
//   client ready OPTION...                   asks for readiness each second

#include "net.hpp"

#include <signal.h>
#include <sys/resource.h>

#include <fstream>
#include <map>
#include <sstream>
#include <thread>

namespace {

std::map<std::string, std::string> flags;

std::string flag(const std::string& name, const std::string& otherwise)
{
    const auto found = flags.find(name);
    return found == flags.end() ? otherwise : found->second;
}

int number(const std::string& name, int otherwise)
{
    return std::atoi(flag(name, std::to_string(otherwise)).c_str());
}

std::string request_of(const std::string& id, const std::string& body)
{
    const auto key = flag("--key", "");
    std::string out =
        flag("--method", "POST") + " " + flag("--path", "/") +
        " HTTP/1.1\r\nHost: " + flag("--host", "desk.example") +
        "\r\nHyssoploft-Request-Id: " + id +
        "\r\nHyssoploft-Deadline-Ms: " + flag("--deadline", "2500") + "\r\n";
    if (!key.empty())
    {
        out += "Hyssoploft-Key: " + key + "\r\n";
    }
    if (flags.contains("--tokens"))
    {
        out += "Hyssoploft-Model: m\r\nHyssoploft-Token-Count: " +
               flag("--tokens", "") + "\r\n";
    }
    // A field that fills the head up to this size.
    const auto wanted = static_cast<std::size_t>(number("--head-bytes", 0));
    const auto length = std::to_string(body.size());
    const auto rest = out.size() + length.size() + 30;
    if (wanted > rest)
    {
        out += "X-Notes: " + std::string(wanted - rest, 'n') + "\r\n";
    }
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

int send_one(int argc, char** argv)
{
    const std::string method = argv[2];
    const std::string to = argv[3];
    std::string body;
    if (argc > 5)
    {
        std::ifstream in(argv[5]);
        std::ostringstream text;
        text << in.rdbuf();
        body = text.str();
    }
    const auto message =
        method == "POST"
            ? review::post_of(to, argv[4], body)
            : method + " " + argv[4] + " HTTP/1.1\r\nHost: " + to + "\r\n\r\n";
    const auto got = review::call(to, message, 3000);
    std::printf("%d\n%s\n", got.status, got.body.c_str());
    return got.status >= 200 && got.status < 300 ? 0 : 1;
}

int send_calls()
{
    review::record out(flag("--record", "/dev/null"));
    const auto front = flag("--front", "");
    const std::string body(
        static_cast<std::size_t>(number("--bytes", 16)), 'b');
    const int count = number("--count", 1);
    const int timeout = number("--deadline", 2500) + 500;
    std::vector<std::thread> threads;
    std::map<int, int> by_status;
    std::mutex mutex;
    for (int n = 0; n < count; ++n)
    {
        threads.emplace_back([&, n] {
            const auto id = flag("--prefix", "r") + "-" + std::to_string(n) +
                            "-" + std::to_string(::getpid());
            out.line("client sends " + id + " to " + front);
            const auto got = review::call(front, request_of(id, body), timeout);
            out.line(
                "client gets " + std::to_string(got.status) + " for " + id +
                " stamp=" +
                review::field_of(got.head, "Hyssoploft-Server-Stamp") +
                (got.whole ? "" : " not whole"));
            const std::lock_guard lock(mutex);
            ++by_status[got.status];
        });
        std::this_thread::sleep_for(
            std::chrono::milliseconds(number("--gap", 0)));
    }
    for (auto& it : threads)
    {
        it.join();
    }
    for (const auto& [status, n] : by_status)
    {
        std::printf("%d:%d ", status, n);
    }
    std::printf("\n");
    return 0;
}

int hold_crowd()
{
    rlimit files{};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
    const auto front = flag("--front", "");
    const std::string body(
        static_cast<std::size_t>(number("--bytes", 16)), 'b');
    std::vector<int> open;
    int sent = 0;
    for (int n = 0; n < number("--count", 1); ++n)
    {
        const int fd = review::connect_to(front, 1000);
        if (fd < 0)
        {
            continue;
        }
        const auto id = flag("--prefix", "c") + "-" + std::to_string(n) + "-" +
                        std::to_string(::getpid());
        sent += review::send_all(fd, request_of(id, body), 1000) ? 1 : 0;
        open.push_back(fd);
        if (n % 20 == 0)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }
    std::printf("in place: %zu connections, %d requests\n", open.size(), sent);
    std::fflush(stdout);
    std::this_thread::sleep_for(std::chrono::seconds(number("--hold", 5)));
    int answered = 0;
    std::map<int, int> by_status;
    for (const int fd : open)
    {
        const auto got = review::read_answer(fd, 1);
        answered += got.status != 0 ? 1 : 0;
        ++by_status[got.status];
        ::close(fd);
    }
    std::printf("answered: %d\n", answered);
    for (const auto& [status, n] : by_status)
    {
        std::printf("%d:%d ", status, n);
    }
    std::printf("\n");
    return 0;
}

// The platform's check of a front node, once a second on one connection.
int watch_readiness()
{
    review::record out(flag("--record", "/dev/null"));
    const auto to = flag("--to", "");
    const int fd = review::connect_to(to, 1000);
    for (int n = 0; fd >= 0 && n < number("--count", 1); ++n)
    {
        (void)review::send_all(
            fd, "GET /hyssoploft/readyz HTTP/1.1\r\nHost: " + to + "\r\n\r\n",
            900);
        const auto got = review::read_answer(fd, 900);
        out.line("platform: readiness " + std::to_string(got.status));
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    const std::string verb = argc > 1 ? argv[1] : "";
    if (verb == "send" && argc > 4)
    {
        return send_one(argc, argv);
    }
    for (int n = 2; n + 1 < argc; n += 2)
    {
        flags[argv[n]] = argv[n + 1];
    }
    return verb == "calls"   ? send_calls()
           : verb == "crowd" ? hold_crowd()
           : verb == "ready" ? watch_readiness()
                             : 2;
}
