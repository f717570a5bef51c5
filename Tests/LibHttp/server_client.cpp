// Contract tests of server and client on loopback: malformed input, early
// close, reset in mid-stream, oversize parts, a caller that goes away.

#include <LibHttp/http_client.hpp>
#include <LibHttp/http_server.hpp>
#include <Support/reserved_address.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <doctest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <functional>
#include <future>

using namespace hyssoploft;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

using namespace std::chrono_literals;

class echo_handler final : public http::request_handler
{
public:
    asio::awaitable<void> handle(http::exchange& it) override
    {
        if (it.message().target() == "/hang")
        {
            asio::steady_timer never(it.executor());
            never.expires_at(std::chrono::steady_clock::time_point::max());
            it.on_caller_gone([&] {
                gone.set_value();
                never.cancel();
            });
            boost::system::error_code ec;
            co_await never.async_wait(
                asio::redirect_error(asio::use_awaitable, ec));
            co_return;
        }
        if (it.message().target() == "/blocked")
        {
            // Like a process that stands still: no event is handled.
            blocked.set_value();
            go_on.get_future().wait();
            waits.set_value(it.caller_waits());
            (void)co_await it.respond(
                http::response(http::bhttp::status::ok, 11));
            co_return;
        }
        if (it.message().target() == "/then")
        {
            (void)co_await it.respond(
                http::response(http::bhttp::status::ok, 11));
            after_answer();
            co_return;
        }
        if (it.message().target() == "/stream")
        {
            (void)co_await it.begin_stream({http::bhttp::status::ok, 11});
            (void)co_await it.write("one");
            (void)co_await it.write("two");
            (void)co_await it.end_stream();
            co_return;
        }
        if (it.message().target() == "/cut")
        {
            (void)co_await it.begin_stream({http::bhttp::status::ok, 11});
            (void)co_await it.write("one");
            it.close_after();
            co_return;
        }
        http::response answer(http::bhttp::status::ok, 11);
        answer.body() = it.message().body();
        (void)co_await it.respond(std::move(answer));
    }

    std::promise<void> gone;
    std::promise<void> blocked; ///< Of "/blocked", as the next two.
    std::promise<void> go_on;
    std::promise<bool> waits;
    std::function<void()> after_answer; ///< Of "/then".
};

struct fixture
{
    explicit fixture(std::shared_ptr<core::memory_account> account = nullptr)
        : thread(std::make_shared<http::traffic_thread>())
    {
        auto created = http::http_server::create(
            {address, 4096, std::move(account)}, {thread}, handler);
        REQUIRE(created.ok());
        server = *created;
        server->start();
    }

    ~fixture()
    {
        server->drain();
        client.stop();
        thread->stop();
    }

    // Sends raw bytes and returns everything until the server closes.
    std::string raw(const std::string& text)
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect(*http::parse_endpoint(address));
        boost::system::error_code ec;
        asio::write(socket, asio::buffer(text), ec);
        socket.shutdown(tcp::socket::shutdown_send, ec);
        std::string all;
        asio::read(socket, asio::dynamic_buffer(all), ec);
        return all;
    }

    // Makes a call on the client's thread and returns its body.
    absl::StatusOr<std::string> call(
        const std::string& to, const std::string& target,
        std::chrono::nanoseconds timeout = 5s)
    {
        return asio::co_spawn(
                   client.context(), run_call(to, target, timeout),
                   asio::use_future)
            .get();
    }

    asio::awaitable<absl::StatusOr<std::string>> run_call(
        std::string to, std::string target, std::chrono::nanoseconds timeout)
    {
        http::request message(http::bhttp::verb::post, target, 11);
        message.body() = "hello";
        const auto it = std::make_shared<http::http_call>(client.pool());
        const auto status =
            co_await it->start(to, std::move(message), false, timeout);
        last_stage = it->stage();
        if (!status.ok())
        {
            co_return status;
        }
        auto body = co_await it->read_all(1024, timeout);
        last_stage = it->stage();
        co_return body;
    }

    const tests::reserved_address reserved;
    const std::string address = reserved.text();
    std::shared_ptr<http::traffic_thread> thread;
    std::shared_ptr<echo_handler> handler = std::make_shared<echo_handler>();
    std::shared_ptr<http::http_server> server;
    http::traffic_thread client;
    http::call_stage last_stage{};
};

// Accepts one connection, reads a little, sends `text` and closes.
std::string one_answer_server(const std::string& text, std::thread& runner)
{
    auto context = std::make_shared<asio::io_context>();
    auto acceptor = std::make_shared<tcp::acceptor>(
        *context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const auto port = acceptor->local_endpoint().port();
    runner = std::thread([context, acceptor, text] {
        tcp::socket socket(*context);
        acceptor->accept(socket);
        char buf[1024];
        boost::system::error_code ec;
        socket.read_some(asio::buffer(buf), ec);
        asio::write(socket, asio::buffer(text), ec);
    });
    return "127.0.0.1:" + std::to_string(port);
}

// Accepts one connection, sends `start` and then `piece` again and again until
// the caller closes; at most 400 times.
std::string endless_server(
    const std::string& start, const std::string& piece,
    std::chrono::milliseconds pause, std::thread& runner)
{
    auto context = std::make_shared<asio::io_context>();
    auto acceptor = std::make_shared<tcp::acceptor>(
        *context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const auto port = acceptor->local_endpoint().port();
    runner = std::thread([context, acceptor, start, piece, pause] {
        tcp::socket socket(*context);
        acceptor->accept(socket);
        boost::system::error_code ec;
        // Unread bytes would make its close a reset.
        char buf[1024];
        socket.read_some(asio::buffer(buf), ec);
        asio::write(socket, asio::buffer(start), ec);
        asio::steady_timer timer(*context);
        for (int n = 0; n < 400 && !ec; ++n)
        {
            asio::write(socket, asio::buffer(piece), ec);
            timer.expires_after(pause);
            timer.wait();
        }
    });
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

// Guards against a call that outlives its time, or keeps what it reads without
// bound, because an upstream never stops sending bytes that are no answer.
TEST_CASE("answers without end are given up")
{
    struct row
    {
        std::string what;
        std::string start;
        std::string piece;
        std::chrono::milliseconds pause;
        absl::StatusCode code;
    };
    constexpr auto lost = absl::StatusCode::kDataLoss;
    constexpr auto late = absl::StatusCode::kDeadlineExceeded;
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string many(4096, 'x');
    const std::string fields = [] {
        std::string out;
        for (int n = 0; n < 200; ++n)
        {
            out += "A: b\r\n";
        }
        return out;
    }();
    const row rows[] = {
        {"bytes that are no head", many, many, 0ms, lost},
        {"status line", "HTTP/1.1 200 ", many, 0ms, lost},
        {"header field", head + "A: ", many, 0ms, lost},
        {"header fields", head, fields, 0ms, lost},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", 0ms, lost},
        {"chunk extension", chunked + "5;", many, 0ms, lost},
        {"trailer", chunked + "0\r\n", fields, 0ms, lost},
        {"body", head + "\r\n", many, 0ms,
         absl::StatusCode::kResourceExhausted},
        {"slow head", head + "A: ", "x", 50ms, late},
        {"slow body", head + "\r\n", "x", 50ms, late},
        {"slow chunk extension", chunked + "5;", "x", 50ms, late},
    };
    fixture it;
    for (const auto& row : rows)
    {
        CAPTURE(row.what);
        std::thread runner;
        const auto address =
            endless_server(row.start, row.piece, row.pause, runner);
        const auto status = it.call(address, "/", 1s).status();
        CAPTURE(status.ToString());
        CHECK(status.code() == row.code);
        runner.join();
    }
}

// Guards against requests that are cut off by a planned stop because their
// connection, which the answer before left open, is closed.
TEST_CASE("a connection is closed only after an answer that says so")
{
    fixture it;
    it.handler->after_answer = [&] {
        it.server->close_kept_connections();
    };
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(*http::parse_endpoint(it.address));
    http::beast::flat_buffer buffer;
    for (const bool stays_open : {true, false})
    {
        const std::string text = "POST /then HTTP/1.1\r\nHost: a\r\n"
                                 "Content-Length: 0\r\n\r\n";
        boost::system::error_code ec;
        asio::write(socket, asio::buffer(text), ec);
        CHECK_FALSE(ec);
        http::response answer;
        http::bhttp::read(socket, buffer, answer, ec);
        CHECK_FALSE(ec);
        CHECK_EQ(answer.keep_alive(), stays_open);
    }
}

TEST_CASE("a reused connection has the silence timeout of its call")
{
    http::asio::io_context context;
    http::connection it(context);
    it.stream.socket().open(tcp::v4());
    const auto timeout = [&] {
        int ms = 0;
        socklen_t size = sizeof ms;
        REQUIRE(
            ::getsockopt(
                it.stream.socket().native_handle(), IPPROTO_TCP,
                TCP_USER_TIMEOUT, &ms, &size) == 0);
        return ms;
    };
    for (const auto& wanted : {1500ms, 12'000ms, 12'000ms, 1500ms})
    {
        it.limit_silence(wanted);
        CHECK_EQ(timeout(), wanted.count());
    }
}

TEST_CASE("whole and streamed answers arrive")
{
    fixture it;
    CHECK_EQ(it.call(it.address, "/").value(), "hello");
    CHECK_EQ(it.call(it.address, "/stream").value(), "onetwo");
    CHECK(it.last_stage == http::call_stage::complete);
}

TEST_CASE("malformed and oversize requests get a clear refusal")
{
    struct row
    {
        std::string text;
        std::string status;
    };
    const row rows[] = {
        {"NOT HTTP\r\n\r\n", " 400 "},
        {"GET / HTTP/1.1\r\nA: " + std::string(20000, 'x') + "\r\n\r\n",
         " 431 "},
        {"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", " 413 "},
        {"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", " 400 "},
        {"GET / HT", " 400 "},
    };
    fixture it;
    for (const auto& row : rows)
    {
        CAPTURE(row.text.substr(0, 40));
        const auto answer = it.raw(row.text);
        CHECK_EQ(answer.substr(8, 5), row.status);
    }
}

TEST_CASE("a cut answer never looks whole")
{
    struct row
    {
        std::string answer;
        absl::StatusCode code;
        http::call_stage stage;
    };
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const row rows[] = {
        {"", absl::StatusCode::kUnavailable, http::call_stage::waiting},
        {"HTTP/1.1 2", absl::StatusCode::kUnavailable,
         http::call_stage::waiting},
        {"NOT HTTP/1.1 AT ALL\r\n\r\n", absl::StatusCode::kDataLoss,
         http::call_stage::waiting},
        {head + "Content-Length: 9\r\n\r\ncut", absl::StatusCode::kDataLoss,
         http::call_stage::reading_answer},
        {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
         absl::StatusCode::kDataLoss, http::call_stage::reading_answer},
        {head + "Content-Length: 2000\r\n\r\n" + std::string(2000, 'x'),
         absl::StatusCode::kResourceExhausted,
         http::call_stage::reading_answer},
    };
    fixture it;
    for (const auto& row : rows)
    {
        CAPTURE(row.answer.substr(0, 60));
        std::thread runner;
        const auto address = one_answer_server(row.answer, runner);
        CHECK(it.call(address, "/").status().code() == row.code);
        CHECK(it.last_stage == row.stage);
        runner.join();
    }
    CHECK(
        it.call(it.address, "/cut").status().code() ==
        absl::StatusCode::kDataLoss);
}

TEST_CASE("a refused connection is known not to have sent anything")
{
    fixture it;
    const tests::reserved_address closed;
    const auto status = it.call(closed.text(), "/").status();
    CHECK(absl::IsUnavailable(status));
    CHECK(it.last_stage == http::call_stage::connecting);
}

// Another process listened on a port that a fixture had looked up and closed,
// so that the fixture could not listen there.
TEST_CASE("nothing else can take an address that a test has reserved")
{
    const tests::reserved_address reserved;
    const auto endpoint = *http::parse_endpoint(reserved.text());
    asio::io_context context;
    boost::system::error_code ec;
    tcp::socket other(context, tcp::v4());
    other.bind(endpoint, ec);
    CHECK_EQ(ec, asio::error::address_in_use);
    tcp::acceptor own(context, tcp::v4());
    own.set_option(tcp::acceptor::reuse_address(true));
    own.bind(endpoint);
    own.listen(1, ec);
    CHECK_FALSE(ec);
}

TEST_CASE("the handler hears that its caller went away")
{
    fixture it;
    asio::io_context context;
    {
        tcp::socket socket(context);
        socket.connect(*http::parse_endpoint(it.address));
        asio::write(
            socket, asio::buffer(std::string("GET /hang HTTP/1.1\r\n\r\n")));
    }
    CHECK(
        it.handler->gone.get_future().wait_for(30s) ==
        std::future_status::ready);
}

// Guards against an order that is acted on after its caller has given it up,
// because the process stood still and has not handled the close.
TEST_CASE("after a pause the handler can tell whether its caller still waits")
{
    for (const bool closes : {false, true})
    {
        CAPTURE(closes);
        fixture it;
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect(*http::parse_endpoint(it.address));
        asio::write(
            socket, asio::buffer(std::string("GET /blocked HTTP/1.1\r\n\r\n")));
        it.handler->blocked.get_future().wait();
        if (closes)
        {
            socket.close();
        }
        it.handler->go_on.set_value();
        CHECK(it.handler->waits.get_future().get() == !closes);
    }
}

TEST_CASE("addresses are IP numbers with a port")
{
    for (const auto* it :
         {"127.0.0.1", "localhost:80", "127.0.0.1:0", "127.0.0.1:70000",
          "127.0.0.1:8x", ""})
    {
        CAPTURE(it);
        CHECK_FALSE(http::parse_endpoint(it).ok());
    }
    CHECK(http::parse_endpoint("127.0.0.1:80").ok());
    CHECK(http::parse_endpoint("[::1]:80").ok());
}

// Guards against a crowd of connections that keeps new clients out.
TEST_CASE("at the limit of connections an idle one gives way")
{
    fixture f(std::make_shared<core::memory_account>(
        core::account_limits{1 << 20, 1 << 18, 1}));
    asio::io_context context;
    tcp::socket idle(context);
    idle.connect(*http::parse_endpoint(f.address));
    // The server has accepted it: it answers.
    asio::write(
        idle, asio::buffer(std::string("POST / HTTP/1.1\r\n"
                                       "Content-Length: 0\r\n\r\n")));
    char c = 0;
    asio::read(idle, asio::buffer(&c, 1));
    const auto answer = f.raw("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nok");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    boost::system::error_code ec;
    std::string rest;
    asio::read(idle, asio::dynamic_buffer(rest), ec);
    CHECK(ec.failed());
}

// Guards against a request that is read without room, and against a refusal
// that doesn't say that the request has not run.
TEST_CASE("a request without room is refused as not run")
{
    constexpr auto small = core::memory_account::small_bytes;
    const auto account = std::make_shared<core::memory_account>(
        core::account_limits{small, 0, 100});
    // Another request that runs; nothing else uses the account yet.
    core::account_entry running(
        account, [] {}, core::time_point());
    running.set_phase(core::connection_phase::running, core::time_point());
    REQUIRE(
        running.reserve(small, false, core::time_point()) ==
        core::reservation_result::granted);
    fixture f(account);
    const auto refused =
        f.raw("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nok");
    CHECK(refused.starts_with("HTTP/1.1 503"));
    CHECK(refused.find("Retry-After: 1") != std::string::npos);
    CHECK(refused.find("x-hyssoploft-not-run: true") != std::string::npos);
    CHECK(account->refused() == 1);
}

// Guards against clients that wait for a consent that never comes.
TEST_CASE("a client that asks before it sends its body is told to go on")
{
    fixture f;
    const auto all =
        f.raw("POST / HTTP/1.1\r\nContent-Length: 2\r\n"
              "Expect: 100-continue\r\nConnection: close\r\n\r\nok");
    CHECK(all.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"));
}

// Guards against a head without end whose pieces stop inside a field each
// time: the parser takes the fields before it out of the buffer and bounds only
// what is left.
TEST_CASE("a head in pieces is bounded as a whole")
{
    const auto account = std::make_shared<core::memory_account>(
        core::account_limits{8 << 20, 1 << 20, 10});
    fixture f(account);
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(*http::parse_endpoint(f.address));
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n")), ec);
    std::string piece;
    for (int n = 0; n < 250; ++n)
    {
        piece += "a:\r\n";
    }
    std::string all;
    // Far beyond the bound; each piece is sent once the one before has arrived.
    for (int n = 0; n < 64 && !ec && socket.available(ec) == 0; ++n)
    {
        asio::write(socket, asio::buffer(piece + "a:"), ec);
        asio::write(socket, asio::buffer(std::string("\r\n")), ec);
    }
    ec = {};
    asio::read(socket, asio::dynamic_buffer(all), ec);
    const bool is_refused = all.starts_with("HTTP/1.1 431") || all.empty();
    CHECK(is_refused);
    CHECK(f.server->requests() == 0);
}

// Guards against a small chunked body that takes the room of a large one.
TEST_CASE("a chunked body is charged as it comes")
{
    const auto account = std::make_shared<core::memory_account>(
        core::account_limits{1 << 20, 1 << 18, 10});
    // Another unfinished request: without it any size would be granted.
    core::account_entry other(
        account, [] {}, core::time_point());
    other.set_phase(core::connection_phase::running, core::time_point());
    REQUIRE(
        other.reserve(1000, false, core::time_point()) ==
        core::reservation_result::granted);
    fixture f(account);
    std::string text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                       "Connection: close\r\n\r\n";
    for (int n = 0; n < 20; ++n)
    {
        text += "3e8\r\n" + std::string(1000, 'x') + "\r\n";
    }
    const auto answer = f.raw(text + "0\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 200"));
}
