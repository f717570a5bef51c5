// One call of the operator: call IP:PORT METHOD PATH [BODY-FILE [MS]]. Prints
// the status and the body; ends with 0 after a 2xx answer.

#include "http_io.hpp"

#include <fstream>
#include <iostream>
#include <iterator>

int main(int argc, char** argv)
{
    if (argc < 4)
    {
        return 2;
    }
    std::string body;
    if (argc > 4 && *argv[4] != '\0')
    {
        std::ifstream in(argv[4]);
        body.assign(std::istreambuf_iterator<char>(in), {});
    }
    const auto limit =
        std::chrono::milliseconds(argc > 5 ? std::atoi(argv[5]) : 1000);
    const auto text = review::request_text(
        argv[2], argv[3],
        std::string("Host: ") + argv[1] +
            "\r\nContent-Type: application/json\r\n",
        body);
    review::asio::io_context io;
    review::message answer;
    review::asio::co_spawn(
        io,
        [&]() -> review::task {
            answer = co_await review::call(argv[1], text, limit);
        },
        review::asio::detached);
    io.run();
    std::cout << answer.status() << ' ' << answer.body << '\n';
    return answer.status() / 100 == 2 ? 0 : 1;
}
