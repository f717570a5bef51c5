// Workers of one service that are replaced one after the other, and clients
// that keep them busy through one front machine.
// releases FRONT READINESS CONTROL NET SECONDS REPLACE(0|1): for SECONDS a
// worker is replaced each second; then, under the same load, new clients try
// to connect for 8 s. Prints what was seen; ends with 1 if no new client got
// an answer while the machine said that it is ready, 0 otherwise.

#include "http_io.hpp"

#include <iostream>
#include <set>
#include <vector>

namespace {

using namespace std::chrono_literals;
using review::channel;
using review::message;
using review::task;
using std::to_string;

constexpr int live_workers = 12;
constexpr int slots = 64;
constexpr auto work_time = 1000ms;
constexpr auto beat_interval = 1200ms;
/// drain-ms, and a little longer.
constexpr auto drain_time = 3500ms;
constexpr auto contact_time = 5000ms;

struct counts
{
    long served = 0;
    long refused = 0; ///< 503.
    long other = 0;
    long no_answer = 0;
};

std::string control;
std::string front;

class worker : public std::enable_shared_from_this<worker>
{
public:
    worker(review::asio::io_context& io, std::string ip, int number)
        : io_(io), id_("i-" + to_string(number)),
          address_(ip + ":" + to_string(20000 + number)),
          acceptor_(io, review::endpoint_of(address_)),
          born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count())
    {}

    void start()
    {
        auto self = shared_from_this();
        spawn([self] {
            return self->accept();
        });
        spawn([self] {
            return self->beat();
        });
    }

    /// Reports "draining", serves on, and ends.
    void leave()
    {
        auto self = shared_from_this();
        spawn([self]() -> task {
            self->state_ = "draining";
            co_await self->send_beat();
            co_await review::pause(drain_time);
            while (self->running_ > 0)
            {
                co_await review::pause(50ms);
            }
            self->state_ = "gone";
            co_await review::call(
                control,
                review::request_text(
                    "POST", "/hyssoploft/Instances.Deregister/" + self->id_,
                    "Host: " + control + "\r\n", "{}"),
                1000ms);
            boost::system::error_code ec;
            self->acceptor_.close(ec);
            for (auto* it : self->connections_)
            {
                it->close();
            }
        });
    }

private:
    template <typename Run>
    void spawn(Run run)
    {
        review::asio::co_spawn(io_, run, review::asio::detached);
    }

    task accept()
    {
        try
        {
            for (;;)
            {
                auto socket = co_await acceptor_.async_accept(
                    review::asio::use_awaitable);
                auto self = shared_from_this();
                auto it = std::make_shared<channel>(std::move(socket));
                spawn([self, it]() -> task {
                    self->connections_.insert(it.get());
                    co_await self->serve(*it);
                    self->connections_.erase(it.get());
                });
            }
        }
        catch (const std::exception&)
        {}
    }

    task serve(channel& it)
    {
        try
        {
            for (;;)
            {
                const auto request = co_await it.receive();
                ++running_;
                co_await review::pause(work_time);
                --running_;
                co_await it.send(
                    "HTTP/1.1 200 OK\r\nHyssoploft-Request-Id: " +
                    request.header("hyssoploft-request-id") +
                    "\r\nHyssoploft-Server-Stamp: s\r\n" +
                    (state_ == "ready" ? "" : "Server-Leaving: 1\r\n") +
                    "Content-Length: 2\r\n\r\nok");
            }
        }
        catch (const std::exception&)
        {}
    }

    task beat()
    {
        while (state_ != "gone")
        {
            co_await send_beat();
            co_await review::pause(beat_interval);
        }
    }

    review::asio::awaitable<void> send_beat()
    {
        const auto body =
            R"({"service":"desk","address":")" + address_ +
            R"(","zone":"r1-a","version":"v1","slots":)" + to_string(slots) +
            R"(,"state":")" + state_ + R"(","cold-left-ms":0,"seq":)" +
            to_string(++sequence_) + R"(,"born":)" + to_string(born_) + "}";
        co_await review::call(
            control,
            review::request_text(
                "POST", "/hyssoploft/Instances.Heartbeat/" + id_,
                "Host: " + control + "\r\nContent-Type: application/json\r\n",
                body),
            1000ms);
    }

    review::asio::io_context& io_;
    std::string id_;
    std::string address_;
    review::tcp::acceptor acceptor_;
    long long born_;
    std::string state_ = "ready";
    int sequence_ = 0;
    int running_ = 0;
    std::set<channel*> connections_;
};

long next_request = 0;

std::string make_request()
{
    const auto id = to_string(++next_request);
    return review::request_text(
        "GET", "/read/" + id,
        "Host: desk.example\r\nHyssoploft-Request-Id: " + id +
            "\r\nHyssoploft-Deadline-Ms: 5000\r\n",
        "");
}

void count(const message& it, counts& out)
{
    ++(it.status() == 200   ? out.served
       : it.status() == 503 ? out.refused
       : it.status() == 0   ? out.no_answer
                            : out.other);
}

// Keeps its connection and sends one request after the other.
task keep_busy(counts& out, const bool& stop)
{
    while (!stop)
    {
        try
        {
            channel it(review::tcp::socket(
                co_await review::asio::this_coro::executor));
            it.limit(5500ms);
            co_await it.connect(review::endpoint_of(front));
            while (!stop)
            {
                it.limit(5500ms);
                co_await it.send(make_request());
                const auto answer = co_await it.receive();
                count(answer, out);
                // As the answer asks, at least.
                if (answer.status() != 200)
                {
                    co_await review::pause(500ms);
                }
                if (answer.header("connection") == "close")
                {
                    break;
                }
            }
        }
        catch (const std::exception&)
        {
            ++out.no_answer;
        }
        co_await review::pause(200ms);
    }
}

// The platform's check, on a connection of its own that is kept.
task check_ready(std::string address, const bool& stop, int& ready, int& all)
{
    while (!stop)
    {
        try
        {
            channel it(review::tcp::socket(
                co_await review::asio::this_coro::executor));
            co_await it.connect(review::endpoint_of(address));
            while (!stop)
            {
                it.limit(1000ms);
                co_await it.send(review::request_text(
                    "GET", "/hyssoploft/readyz", "Host: " + address + "\r\n",
                    ""));
                const auto answer = co_await it.receive();
                it.limit(3000ms);
                ++all;
                ready += answer.status() == 200 ? 1 : 0;
                co_await review::pause(1000ms);
            }
        }
        catch (const std::exception&)
        {
            ++all;
        }
        co_await review::pause(200ms);
    }
}

task try_to_connect(counts& out)
{
    count(co_await review::call(front, make_request(), 8000ms), out);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 7)
    {
        return 2;
    }
    front = argv[1];
    control = argv[3];
    const std::string net = argv[4];
    const int seconds = std::atoi(argv[5]);
    const bool replaces = std::atoi(argv[6]) != 0;
    review::asio::io_context io;
    bool stop = false;
    bool broken = false;
    const auto run = [&]() -> task {
        std::vector<std::shared_ptr<worker>> live;
        int number = 0;
        const auto add = [&] {
            const auto ip = net + "." + to_string(100 + number % 100);
            live.push_back(std::make_shared<worker>(io, ip, number++));
            live.back()->start();
        };
        while (static_cast<int>(live.size()) < live_workers)
        {
            add();
        }
        co_await review::pause(2500ms);
        counts load;
        int ready = 0;
        int checks = 0;
        for (int n = 0; n < live_workers * slots; ++n)
        {
            review::asio::co_spawn(
                io, keep_busy(load, stop), review::asio::detached);
        }
        review::asio::co_spawn(
            io, check_ready(argv[2], stop, ready, checks),
            review::asio::detached);
        for (int n = 0; n < seconds; ++n)
        {
            if (replaces)
            {
                add(); // The new one starts first.
                live.front()->leave();
                live.erase(live.begin());
            }
            co_await review::pause(1000ms);
            if (n % 5 == 4)
            {
                std::cout << n + 1 << " s: served " << load.served << ", 503 "
                          << load.refused << ", other " << load.other
                          << ", no answer " << load.no_answer << std::endl;
            }
        }
        const int ready_before = ready;
        const int checks_before = checks;
        counts fresh;
        for (int n = 0; n < 20; ++n)
        {
            review::asio::co_spawn(
                io, try_to_connect(fresh), review::asio::detached);
        }
        co_await review::pause(contact_time + 3500ms);
        std::cout << "20 new clients in 8 s: served " << fresh.served
                  << ", 503 " << fresh.refused << ", other " << fresh.other
                  << ", no answer " << fresh.no_answer << "; ready in "
                  << ready - ready_before << " of " << checks - checks_before
                  << " checks" << std::endl;
        broken = fresh.no_answer == 20 && ready - ready_before >= 5;
        stop = true;
        io.stop();
    };
    review::asio::co_spawn(io, run, review::asio::detached);
    io.run();
    return broken ? 1 : 0;
}
