// A worker and a caller that keeps its connection. head_requests FRONT CONTROL
// WORKER METHOD: the caller sends METHOD (HEAD or GET) on a route to the worker
// and on a path without a route, and after each a GET on the same connection.
// Ends with 1 if what follows the first answer is not the next answer.

#include "http_io.hpp"

#include <cstdio>

namespace {

using namespace std::chrono_literals;
using review::channel;
using review::task;
using std::to_string;

std::string control;
std::string front;
std::string worker_address;
int broken = 0;
int sound = 0;

task serve(std::shared_ptr<channel> it)
{
    try
    {
        for (;;)
        {
            const auto request = co_await it->receive();
            const bool is_head = request.start.substr(0, 5) == "HEAD ";
            std::printf("worker: %s\n", request.start.c_str());
            // RFC 9110: the length that a GET would have, and no body.
            co_await it->send(
                "HTTP/1.1 200 OK\r\nHyssoploft-Request-Id: " +
                request.header("hyssoploft-request-id") +
                "\r\nHyssoploft-Server-Stamp: s\r\nContent-Length: 2\r\n\r\n" +
                (is_head ? "" : "ok"));
        }
    }
    catch (const std::exception&)
    {}
}

task accept(review::asio::io_context& io)
{
    review::tcp::acceptor acceptor(io, review::endpoint_of(worker_address));
    for (;;)
    {
        auto it = std::make_shared<channel>(
            co_await acceptor.async_accept(review::asio::use_awaitable));
        review::asio::co_spawn(io, serve(it), review::asio::detached);
    }
}

task beat()
{
    for (int n = 1;; ++n)
    {
        co_await review::call(
            control,
            review::request_text(
                "POST", "/hyssoploft/Instances.Heartbeat/i-1",
                "Host: " + control + "\r\nContent-Type: application/json\r\n",
                R"({"service":"desk","address":")" + worker_address +
                    R"(","zone":"r1-a","version":"v1","slots":6,)" +
                    R"("state":"ready","cold-left-ms":0,"seq":)" +
                    to_string(n) + R"(,"born":1700000000000})"),
            1000ms);
        co_await review::pause(1200ms);
    }
}

std::string
make_request(const std::string& method, const std::string& path, int id)
{
    return method + " " + path +
           " HTTP/1.1\r\nHost: desk.example\r\n"
           "Hyssoploft-Request-Id: " +
           to_string(id) + "\r\nHyssoploft-Deadline-Ms: 2500\r\n\r\n";
}

// Two requests on one connection, the second after the first answer.
review::asio::awaitable<void> ask(std::string method, std::string path)
{
    try
    {
        static int id = 0;
        channel it(
            review::tcp::socket(co_await review::asio::this_coro::executor));
        it.limit(4000ms);
        co_await it.connect(review::endpoint_of(front));
        co_await it.send(make_request(method, path, ++id));
        const auto first = co_await it.receive_answer_to(method);
        std::printf(
            "caller: %s %s: %s\n", method.c_str(), path.c_str(),
            first.start.c_str());
        if (first.header("connection") == "close")
        {
            co_return;
        }
        it.limit(4000ms);
        co_await it.send(make_request("GET", "/read/2", ++id));
        const auto second = co_await it.receive();
        const bool is_answer = second.start.substr(0, 9) == "HTTP/1.1 ";
        std::printf("caller: then GET: %.60s\n", second.start.c_str());
        ++(is_answer ? sound : broken);
    }
    catch (const std::exception& error)
    {
        std::printf("caller: no answer: %s\n", error.what());
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 5)
    {
        return 2;
    }
    front = argv[1];
    control = argv[2];
    worker_address = argv[3];
    const std::string method = argv[4];
    review::asio::io_context io;
    const auto run = [&]() -> task {
        review::asio::co_spawn(io, accept(io), review::asio::detached);
        review::asio::co_spawn(io, beat(), review::asio::detached);
        co_await review::pause(2500ms);
        co_await ask(method, "/read/1");
        co_await ask(method, "/nowhere/1");
        io.stop();
    };
    review::asio::co_spawn(io, run, review::asio::detached);
    io.run();
    return broken > 0 ? 1 : sound == 2 ? 0 : 2;
}
