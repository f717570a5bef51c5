// Callers with kept connections and, for a while, callers that send bodies of
// the largest size that the configuration permits, all through one front
// machine to one worker.
// upload_burst FRONT CONTROL WORKER SECONDS BODY-BYTES UPLOADS: callers order
// for SECONDS; from the 5th second on, each 6 s, UPLOADS callers send a body
// of BODY-BYTES at once. Prints what the callers saw and what the worker ran.

#include "http_io.hpp"

#include <iostream>
#include <set>

namespace {

using namespace std::chrono_literals;
using review::channel;
using review::message;
using review::task;
using std::to_string;

constexpr int callers = 24;
constexpr auto work_time = 400ms;
constexpr auto beat_interval = 1200ms;

std::string control;
std::string front;
std::string worker_address;

std::set<std::string> passed_on; ///< Ids that the worker began to work on.
std::set<std::string> finished;  ///< Ids that it answered.
long cut = 0;                    ///< Passed on; closed without an answer.
long answered = 0;
long refused = 0;
long uploads_answered = 0;
long uploads_failed = 0;
long next_id = 0;

task serve(std::shared_ptr<channel> it)
{
    try
    {
        for (;;)
        {
            const auto request = co_await it->receive();
            const auto id = request.header("hyssoploft-request-id");
            passed_on.insert(id);
            co_await review::pause(work_time);
            finished.insert(id);
            co_await it->send(
                "HTTP/1.1 200 OK\r\nHyssoploft-Request-Id: " + id +
                "\r\nHyssoploft-Server-Stamp: s\r\n"
                "Content-Length: 2\r\n\r\nok");
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
                    R"(","zone":"r1-a","version":"v1","slots":64,)" +
                    R"("state":"ready","cold-left-ms":0,"seq":)" +
                    to_string(n) + R"(,"born":1700000000000})"),
            1000ms);
        co_await review::pause(beat_interval);
    }
}

std::string make_request(const std::string& id, const std::string& body)
{
    return review::request_text(
        "POST", "/orders/" + id,
        "Host: desk.example\r\nHyssoploft-Request-Id: " + id +
            "\r\nHyssoploft-Deadline-Ms: 4000\r\n",
        body);
}

// Sends order after order on one connection.
task order()
{
    for (;;)
    {
        std::string id;
        try
        {
            channel it(review::tcp::socket(
                co_await review::asio::this_coro::executor));
            it.limit(5000ms);
            co_await it.connect(review::endpoint_of(front));
            for (;;)
            {
                id = "order-" + to_string(++next_id);
                it.limit(5000ms);
                co_await it.send(make_request(id, "board 7"));
                const auto answer = co_await it.receive();
                id.clear();
                ++(answer.status() == 200 ? answered : refused);
                co_await review::pause(100ms);
            }
        }
        catch (const std::exception&)
        {
            cut += !id.empty() && passed_on.contains(id) ? 1 : 0;
        }
        co_await review::pause(200ms);
    }
}

task upload(std::string body)
{
    const auto id = "upload-" + to_string(++next_id);
    const auto answer =
        co_await review::call(front, make_request(id, body), 5000ms);
    ++(answer.status() == 200 ? uploads_answered : uploads_failed);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 7)
    {
        return 2;
    }
    front = argv[1];
    control = argv[2];
    worker_address = argv[3];
    const int seconds = std::atoi(argv[4]);
    const std::string body(std::stoull(argv[5]), 'x');
    const int uploads = std::atoi(argv[6]);
    review::asio::io_context io;
    const auto run = [&]() -> task {
        review::asio::co_spawn(io, accept(io), review::asio::detached);
        review::asio::co_spawn(io, beat(), review::asio::detached);
        co_await review::pause(1500ms);
        for (int n = 0; n < callers; ++n)
        {
            review::asio::co_spawn(io, order(), review::asio::detached);
        }
        for (int second = 0; second < seconds; ++second)
        {
            if (second % 6 == 5)
            {
                for (int n = 0; n < uploads; ++n)
                {
                    review::asio::co_spawn(
                        io, upload(body), review::asio::detached);
                }
            }
            co_await review::pause(1000ms);
            if (second % 6 == 4)
            {
                std::cout << second + 1 << " s: orders answered " << answered
                          << ", refused " << refused << ", cut after they "
                          << "were passed on " << cut << "; uploads answered "
                          << uploads_answered << ", failed " << uploads_failed
                          << std::endl;
            }
        }
        io.stop();
    };
    review::asio::co_spawn(io, run, review::asio::detached);
    io.run();
    // LOST: more than three times.
    return cut > 3 ? 1 : 0;
}
