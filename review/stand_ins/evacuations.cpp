// An operator who evacuates a zone, takes it back and evacuates it again, a
// worker in each of two zones, and callers.
// evacuations FRONT CONTROL-A CONTROL-B NET PID: the operator's call that takes
// the zone back goes to machine A first, whose process PID is stopped at that
// time for 7 s (PID 0: it is not). Prints the calls and the requests that
// reached the evacuated zone; ends with 1 if one came too late.

#include "http_io.hpp"

#include <signal.h>

#include <cstdio>
#include <optional>
#include <vector>

namespace {

using namespace std::chrono_literals;
using review::channel;
using review::clock;
using review::task;
using std::to_string;

constexpr auto evacuate_time = 5000ms; ///< evacuate-ms
constexpr auto contact_time = 5000ms;  ///< contact-ms
constexpr auto freeze_time = 7000ms;
constexpr auto work_time = 20ms;

clock::time_point begin;
std::string front;
std::string control_a;
std::string control_b;
long served = 0;
long not_served = 0;
long arrivals = 0;      ///< At the worker of the zone, in all.
long late_arrivals = 0; ///< Of these, against the rule.
/// Requests from here on, until the zone is taken back, break the rule.
std::optional<clock::time_point> forbidden_from;

double now_s()
{
    return std::chrono::duration<double>(clock::now() - begin).count();
}

template <typename... Parts>
void say(const char* format, Parts... parts)
{
    std::printf("%7.3f s: ", now_s());
    std::printf(format, parts...);
    std::printf("\n");
    std::fflush(stdout);
}

task serve(std::shared_ptr<channel> it, bool is_in_zone)
{
    try
    {
        for (;;)
        {
            const auto request = co_await it->receive();
            const auto id = request.header("hyssoploft-request-id");
            if (is_in_zone)
            {
                ++arrivals;
                if (forbidden_from && clock::now() > *forbidden_from)
                {
                    ++late_arrivals;
                    if (late_arrivals <= 3)
                    {
                        say("request %s reached the evacuated zone",
                            id.c_str());
                    }
                }
            }
            co_await review::pause(work_time);
            co_await it->send(
                "HTTP/1.1 200 OK\r\nHyssoploft-Request-Id: " + id +
                "\r\nHyssoploft-Server-Stamp: s\r\n"
                "Content-Length: 2\r\n\r\nok");
        }
    }
    catch (const std::exception&)
    {}
}

task work(review::asio::io_context& io, std::string address, bool is_in_zone)
{
    review::tcp::acceptor acceptor(io, review::endpoint_of(address));
    for (;;)
    {
        auto it = std::make_shared<channel>(
            co_await acceptor.async_accept(review::asio::use_awaitable));
        review::asio::co_spawn(
            io, serve(it, is_in_zone), review::asio::detached);
    }
}

task beat(std::string id, std::string address, std::string zone)
{
    for (int n = 1;; ++n)
    {
        co_await review::call(
            control_b,
            review::request_text(
                "POST", "/hyssoploft/Instances.Heartbeat/" + id,
                "Host: " + control_b + "\r\nContent-Type: application/json\r\n",
                R"({"service":"desk","address":")" + address + R"(","zone":")" +
                    zone + R"(","version":"v1","slots":64,"state":"ready",)" +
                    R"("cold-left-ms":0,"seq":)" + to_string(n) +
                    R"(,"born":1700000000000})"),
            1000ms);
        co_await review::pause(1200ms);
    }
}

task ask(int caller)
{
    for (int n = 0;; ++n)
    {
        const auto id = to_string(caller) + "-" + to_string(n);
        const auto answer = co_await review::call(
            front,
            review::request_text(
                "GET", "/read/" + id,
                "Host: desk.example\r\nHyssoploft-Request-Id: " + id +
                    "\r\nHyssoploft-Deadline-Ms: 2500\r\n",
                ""),
            3000ms);
        ++(answer.status() == 200 ? served : not_served);
        co_await review::pause(100ms);
    }
}

// As the operator does: a second without an answer, then another machine.
review::asio::awaitable<bool>
order(std::string what, std::vector<std::string> machines)
{
    for (const auto& address : machines)
    {
        const auto answer = co_await review::call(
            address,
            review::request_text(
                "POST", "/hyssoploft/Evacuation." + what + "/r1-a",
                "Host: " + address + "\r\n", ""),
            1000ms);
        say("Evacuation.%s to machine %s: %d", what.c_str(),
            address == control_a ? "A" : "B", answer.status());
        if (answer.status() == 200)
        {
            co_return true;
        }
    }
    co_return false;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 6)
    {
        return 2;
    }
    begin = clock::now();
    front = argv[1];
    control_a = argv[2];
    control_b = argv[3];
    const std::string net = argv[4];
    const auto process = static_cast<pid_t>(std::atoi(argv[5]));
    review::asio::io_context io;
    bool could_run = false;
    const auto spawn = [&](task it) {
        review::asio::co_spawn(io, std::move(it), review::asio::detached);
    };
    const std::vector<std::string> only_b{control_b, control_b};
    const std::vector<std::string> a_first{control_a, control_b, control_b};
    const auto run = [&]() -> task {
        spawn(work(io, net + ".101:9000", true));
        spawn(work(io, net + ".102:9000", false));
        spawn(beat("i-1", net + ".101:9000", "r1-a"));
        spawn(beat("i-2", net + ".102:9000", "r2-a"));
        co_await review::pause(2000ms);
        for (int n = 0; n < 4; ++n)
        {
            spawn(ask(n));
        }
        co_await review::pause(2000ms);
        bool done = co_await order("Start", only_b);
        co_await review::pause(6000ms);
        const auto freeze_at = clock::now();
        if (process > 0)
        {
            ::kill(process, SIGSTOP);
            say("machine A freezes");
        }
        // All threads of the process have stopped by then.
        co_await review::pause(200ms);
        done = co_await order("End", a_first) && done;
        co_await review::pause(2000ms);
        done = co_await order("Start", only_b) && done;
        const auto acknowledged_at = clock::now();
        review::asio::steady_timer timer(io, freeze_at + freeze_time);
        co_await timer.async_wait(review::asio::use_awaitable);
        const auto thawed_at = clock::now();
        if (process > 0)
        {
            ::kill(process, SIGCONT);
            say("machine A goes on");
        }
        // Calm machines are in touch contact-ms after the last event.
        forbidden_from =
            std::max(acknowledged_at + evacuate_time, thawed_at + contact_time);
        say("the zone was evacuated again; requests may not reach it from "
            "%.3f s on",
            std::chrono::duration<double>(*forbidden_from - begin).count());
        co_await review::pause(15'000ms);
        forbidden_from.reset();
        done = co_await order("End", only_b) && done;
        could_run = done && served > 0 && arrivals > 0;
        say("served %ld, not served %ld; reached the zone %ld, of these "
            "while it was evacuated %ld",
            served, not_served, arrivals, late_arrivals);
        io.stop();
    };
    spawn(run());
    io.run();
    return !could_run ? 2 : late_arrivals > 0 ? 1 : 0;
}
