// Stand-in for a worker of the users' platform: it sends heartbeats, answers
// requests, and leaves when its standard input says so.

#include "net.hpp"

#include <signal.h>
#include <sys/epoll.h>

#include <atomic>
#include <deque>
#include <iostream>
#include <map>
#include <thread>

namespace {

struct options
{
    std::string id = "w";
    std::string address;
    std::string service;
    std::string zone;
    std::string record = "/dev/null";
    std::vector<std::string> control;
    int slots = 6;
    int beat_ms = 1200;
    int queue = 24;
    int max_conns = 360;
    int serve_ms = 0; ///< Time of a request in its slot.
};

options settings;
std::atomic<bool> leaves{false};
std::atomic<bool> beats{true};
std::atomic<std::uint64_t> sequence{0};
const std::int64_t born = review::wall_ms();

std::string own_state()
{
    return "{\"service\":\"" + settings.service + "\",\"address\":\"" +
           settings.address + "\",\"zone\":\"" + settings.zone +
           "\",\"version\":\"v1\",\"slots\":" + std::to_string(settings.slots) +
           ",\"state\":\"" + (leaves ? "draining" : "ready") +
           "\",\"cold-left-ms\":0,\"stage\":\"both\",\"models\":[{\"name\":"
           "\"m\",\"version\":1,\"adapters\":[]}],\"seq\":" +
           std::to_string(++sequence) + ",\"born\":" + std::to_string(born) +
           "}";
}

// Calls one node after the other until one acknowledges; -1 if none does.
int tell(const std::string& path, std::size_t first)
{
    for (std::size_t n = 0; n < settings.control.size(); ++n)
    {
        const auto at = (first + n) % settings.control.size();
        const auto& to = settings.control[at];
        const auto out = review::call(
            to, review::post_of(to, path + settings.id, own_state()), 1000);
        if (out.status >= 200 && out.status < 300)
        {
            return static_cast<int>(at);
        }
    }
    return -1;
}

void send_heartbeats(std::size_t& node)
{
    while (beats)
    {
        const int at = tell("/hyssoploft/Instances.Heartbeat/", node);
        node = at < 0 ? node + 1 : static_cast<std::size_t>(at);
        std::this_thread::sleep_for(
            std::chrono::milliseconds(settings.beat_ms));
    }
}

// "late NODE MS": a heartbeat that is made now and held up on its way for so
// long. No node has heard of the worker before.
void beat_late(const std::string& node, int ms, review::record& out)
{
    const auto message = review::post_of(
        node, "/hyssoploft/Instances.Heartbeat/" + settings.id, own_state());
    out.line(settings.id + " sends a heartbeat to " + node);
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
    const auto got = review::call(node, message, 1000);
    out.line(
        settings.id + " that heartbeat arrived, answered " +
        std::to_string(got.status));
}

// "drain NODE": heartbeats say from now on that the worker leaves.
void drain(const std::string& node, review::record& out)
{
    leaves = true;
    const auto got = review::call(
        node,
        review::post_of(
            node, "/hyssoploft/Instances.Heartbeat/" + settings.id,
            own_state()),
        1000);
    out.line(
        settings.id + " says draining to " + node + ", answered " +
        std::to_string(got.status));
}

// "deregister NODE [PID]": tells that node only; once it has acknowledged,
// kills the process, as a loss of power would.
void deregister(const std::string& node, int pid, review::record& out)
{
    beats = false;
    leaves = true;
    const auto message = review::post_of(
        node, "/hyssoploft/Instances.Deregister/" + settings.id, own_state());
    const auto got = review::call(node, message, 1000);
    if (got.status == 200 && pid > 0)
    {
        ::kill(pid, SIGKILL);
    }
    out.line(
        settings.id + " Deregister to " + node + " answered " +
        std::to_string(got.status) +
        (pid > 0 ? ", that node was killed at once" : ""));
}

class server
{
public:
    explicit server(review::record& out) : out_(out) {}

    int run()
    {
        const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        const int on = 1;
        ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto at = review::endpoint_of(settings.address);
        if (::bind(
                listener, reinterpret_cast<const sockaddr*>(&at), sizeof at) !=
                0 ||
            ::listen(listener, 4096) != 0)
        {
            std::perror("listen");
            return 2;
        }
        epoll_ = ::epoll_create1(0);
        watch(listener);
        for (;;)
        {
            epoll_event found[64];
            const int n = ::epoll_wait(epoll_, found, 64, 20);
            for (int i = 0; i < n; ++i)
            {
                const int fd = found[i].data.fd;
                fd == listener ? accept_all(listener) : read_from(fd);
            }
            serve();
        }
    }

private:
    struct call
    {
        int fd = -1;
        std::string id;
        std::string line;
        std::string tenant;
        std::int64_t until = 0; ///< Its deadline.
        std::int64_t ends = 0;
    };

    void watch(int fd)
    {
        epoll_event it{};
        it.events = EPOLLIN;
        it.data.fd = fd;
        ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &it);
    }

    void accept_all(int listener)
    {
        for (;;)
        {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
            if (fd < 0)
            {
                return;
            }
            if (static_cast<int>(pending_.size()) >= settings.max_conns)
            {
                const linger reset{1, 0};
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                ::close(fd);
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            pending_[fd];
            watch(fd);
        }
    }

    // A request whose connection closes is dropped.
    void drop(int fd)
    {
        ::close(fd);
        pending_.erase(fd);
        std::erase_if(waiting_, [fd](const auto& it) {
            return it.fd == fd;
        });
        std::erase_if(running_, [fd](const auto& it) {
            return it.fd == fd;
        });
    }

    void read_from(int fd)
    {
        char buf[65536];
        const auto n = ::recv(fd, buf, sizeof buf, 0);
        if (n <= 0)
        {
            if (n == 0 || errno != EAGAIN)
            {
                drop(fd);
            }
            return;
        }
        auto& bytes = pending_[fd];
        bytes.append(buf, static_cast<std::size_t>(n));
        for (;;)
        {
            const auto end = bytes.find("\r\n\r\n");
            if (end == std::string::npos)
            {
                return;
            }
            const auto head = bytes.substr(0, end + 2);
            const auto length = std::strtoul(
                review::field_of(head, "Content-Length").c_str(), nullptr, 10);
            if (bytes.size() < end + 4 + length)
            {
                return;
            }
            bytes.erase(0, end + 4 + length);
            answer(fd, head);
        }
    }

    void answer(int fd, const std::string& head)
    {
        call it;
        it.fd = fd;
        it.id = review::field_of(head, "Hyssoploft-Request-Id");
        it.line = head.substr(0, head.find(" HTTP/"));
        it.tenant = review::field_of(head, "Hyssoploft-Tenant");
        const auto ms = review::field_of(head, "Hyssoploft-Deadline-Ms");
        it.until = review::steady_ms() +
                   (ms.empty() ? 60'000 : std::atoll(ms.c_str()));
        const auto expected =
            review::field_of(head, "Hyssoploft-Expect-Instance");
        if (it.line == "GET /healthz")
        {
            respond(it, leaves ? "503 Service Unavailable" : "200 OK", true);
        }
        else if (!expected.empty() && expected != settings.id)
        {
            out_.line(settings.id + " turns away id=" + it.id);
            respond(it, "421 Misdirected Request", false);
        }
        else if (static_cast<int>(waiting_.size()) >= settings.queue)
        {
            respond(it, "503 Service Unavailable", false);
        }
        else
        {
            waiting_.push_back(std::move(it));
            serve();
        }
    }

    // Ends what is done or too late, and begins what has a slot now.
    void serve()
    {
        const auto now = review::steady_ms();
        std::erase_if(running_, [&](const auto& it) {
            const bool is_done = now >= it.ends;
            if (is_done)
            {
                respond(it, "200 OK", true);
            }
            return is_done;
        });
        std::erase_if(waiting_, [&](const auto& it) {
            const bool is_late = now >= it.until;
            if (is_late)
            {
                respond(it, "503 Service Unavailable", false);
            }
            return is_late;
        });
        while (!waiting_.empty() &&
               static_cast<int>(running_.size()) < settings.slots)
        {
            auto it = std::move(waiting_.front());
            waiting_.pop_front();
            out_.line(
                settings.id + " runs " + it.line + " id=" + it.id +
                " tenant=" + it.tenant + (leaves ? " leaving" : ""));
            it.ends = now + settings.serve_ms;
            if (settings.serve_ms == 0)
            {
                respond(it, "200 OK", true);
                continue;
            }
            running_.push_back(std::move(it));
        }
    }

    void respond(const call& it, const std::string& status, bool ran)
    {
        const std::string body = (ran ? "done " : "not run ") + it.id;
        std::string text =
            "HTTP/1.1 " + status + "\r\nHyssoploft-Request-Id: " + it.id +
            "\r\nHyssoploft-Instance-Id: " + settings.id +
            "\r\nHyssoploft-Server-Load: " + std::to_string(running_.size()) +
            "," + std::to_string(waiting_.size()) + "," +
            std::to_string(settings.slots) + "\r\n";
        text += ran ? "Hyssoploft-Server-Stamp: stamp-" + settings.id + "\r\n"
                    : "Hyssoploft-Not-Run: 1\r\n";
        text += leaves ? "Server-Leaving: 1\r\n" : "";
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                body;
        (void)review::send_all(it.fd, text, 1000);
    }

    review::record& out_;
    int epoll_ = -1;
    std::map<int, std::string> pending_; // Bytes by connection.
    std::deque<call> waiting_;           // Without a slot yet.
    std::deque<call> running_;
};

void read_options(int argc, char** argv)
{
    for (int n = 1; n + 1 < argc; n += 2)
    {
        const std::string name = argv[n];
        const std::string value = argv[n + 1];
        if (name == "--id")
        {
            settings.id = value;
        }
        else if (name == "--address")
        {
            settings.address = value;
        }
        else if (name == "--service")
        {
            settings.service = value;
        }
        else if (name == "--zone")
        {
            settings.zone = value;
        }
        else if (name == "--record")
        {
            settings.record = value;
        }
        else if (name == "--control")
        {
            settings.control = review::split(value, ',');
        }
        else if (name == "--slots")
        {
            settings.slots = std::atoi(value.c_str());
        }
        else if (name == "--beats")
        {
            beats = value == "1";
        }
        else if (name == "--queue")
        {
            settings.queue = std::atoi(value.c_str());
        }
        else if (name == "--max-conns")
        {
            settings.max_conns = std::atoi(value.c_str());
        }
        else if (name == "--serve-ms")
        {
            settings.serve_ms = std::atoi(value.c_str());
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    read_options(argc, argv);
    review::record out(settings.record);
    std::size_t node = 0;
    std::thread beating([&node] {
        send_heartbeats(node);
    });
    std::thread commands([&out] {
        std::string line;
        while (std::getline(std::cin, line))
        {
            const auto words = review::split(line, ' ');
            if (words[0] == "deregister" && words.size() > 1)
            {
                deregister(
                    words[1],
                    words.size() > 2 ? std::atoi(words[2].c_str()) : 0, out);
            }
            else if (words[0] == "drain" && words.size() > 1)
            {
                drain(words[1], out);
            }
            else if (words[0] == "late" && words.size() > 2)
            {
                std::thread([words, &out] {
                    beat_late(words[1], std::atoi(words[2].c_str()), out);
                }).detach();
            }
        }
    });
    beating.detach();
    commands.detach();
    return server(out).run();
}
