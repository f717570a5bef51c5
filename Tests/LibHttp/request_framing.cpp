// Guards against requests whose body has no known end: the text of such a body
// was run as a request of its own.

#include <LibHttp/http_server.hpp>
#include <Support/monitor.hpp>
#include <Support/reserved_address.hpp>
#include <Support/test_caller.hpp>

#include <doctest.h>

#include <memory>
#include <string>

using namespace hyssoploft;
using namespace hyssoploft::tests;

namespace {

class recording_handler final : public http::request_handler
{
public:
    http::asio::awaitable<void> handle(http::exchange& it) override
    {
        state.with([&] {
            ++requests;
            fields.clear();
            for (const auto& field : it.message())
            {
                fields += std::string(field.name_string()) + ": " +
                          std::string(field.value()) + "\n";
            }
            body = it.message().body();
        });
        (void)co_await it.respond(http::response(http::bhttp::status::ok, 11));
    }

    monitor state;
    // Guarded by the monitor.
    int requests = 0;
    std::string fields; ///< Of the last request, as the next one.
    std::string body;
};

struct framing_fixture
{
    framing_fixture()
    {
        auto created = http::http_server::create({address}, {thread}, handler);
        REQUIRE(created.ok());
        server = *created;
        server->start();
    }

    ~framing_fixture()
    {
        server->drain();
        thread->stop();
    }

    // All bytes that the server sends for `text`.
    std::string answers_to(const std::string& text) const
    {
        test_caller caller(address);
        caller.send(text);
        return caller.read_bytes();
    }

    const reserved_address reserved;
    const std::string address = reserved.text();
    std::shared_ptr<http::traffic_thread> thread =
        std::make_shared<http::traffic_thread>();
    std::shared_ptr<recording_handler> handler =
        std::make_shared<recording_handler>();
    std::shared_ptr<http::http_server> server;
};

} // namespace

TEST_CASE("a request whose body has no known end is refused, with all after it")
{
    struct row
    {
        std::string version;
        std::string fields;
        std::string status;
    };
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string length = "Content-Length: 4\r\n";
    const row rows[] = {
        {"1.1", "Transfer-Encoding: gzip\r\n", " 400 "},
        {"1.1", "Transfer-Encoding: identity\r\n", " 400 "},
        {"1.1", "Transfer-Encoding: \r\n", " 400 "},
        {"1.1", "Transfer-Encoding: xchunked\r\n", " 400 "},
        {"1.1", "Transfer-Encoding: chunked;q=1\r\n", " 400 "},
        {"1.1", "Transfer-Encoding: chunked, gzip\r\n", " 400 "},
        {"1.1", "Transfer-Encoding: chunked,\r\n", " 400 "},
        {"1.1", "Transfer-Encoding: gzip, chunked\r\n", " 501 "},
        {"1.1", "Transfer-Encoding: chunked, chunked\r\n", " 501 "},
        {"1.1", "Transfer-Encoding: gzip\r\n" + chunked, " 400 "},
        {"1.1", chunked + chunked, " 400 "},
        {"1.1", chunked + length, " 400 "},
        {"1.1", length + chunked, " 400 "},
        {"1.1", length + "Transfer-Encoding: gzip\r\n", " 400 "},
        {"1.1", length + "Content-Length: 5\r\n", " 400 "},
        {"1.0", chunked, " 400 "},
        {"1.0", "Transfer-Encoding: gzip\r\n", " 400 "},
        {"1.1", "Transfer-Encoding : chunked\r\n", " 400 "},
    };
    const std::string next =
        "POST /next HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        "Content-Length: 4\r\n\r\nnext";
    const std::string methods[] = {"GET", "POST"};
    const framing_fixture it;
    for (const auto& row : rows)
    {
        for (const auto& method : methods)
        {
            CAPTURE(row.version);
            CAPTURE(row.fields);
            const auto answer = it.answers_to(
                method + " /first HTTP/" + row.version + "\r\nHost: a\r\n" +
                row.fields + "\r\n" + next);
            CHECK_EQ(answer.substr(8, 5), row.status);
            // One answer: the connection was closed.
            CHECK_EQ(answer.find("HTTP/1.1 ", 1), std::string::npos);
        }
    }
    it.handler->state.with([&] {
        CHECK_EQ(it.handler->requests, 0);
    });
}

TEST_CASE("a request in chunks is taken, whatever the case of the coding")
{
    const framing_fixture it;
    const auto answer = it.answers_to(
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n"
        "Connection: close\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    CHECK_EQ(answer.substr(8, 5), " 200 ");
    it.handler->state.with([&] {
        CHECK_EQ(it.handler->body, "body");
    });
}

// They came to the upstream as if they had been in the head, where the VM
// decides by them.
TEST_CASE("trailers of a request are no fields of its head")
{
    const framing_fixture it;
    const auto answer = it.answers_to(
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
        "Connection: close\r\nTrailer: x-late\r\n\r\n"
        "4\r\nbody\r\n0\r\nx-late: 1\r\nHost: b\r\n\r\n");
    CHECK_EQ(answer.substr(8, 5), " 200 ");
    it.handler->state.with([&] {
        CHECK_EQ(
            it.handler->fields, "Host: a\nTransfer-Encoding: chunked\n"
                                "Connection: close\nTrailer: x-late\n");
        CHECK_EQ(it.handler->body, "body");
    });
}
