// Guards against a call that ends by an exception or with its thread, and
// counts as running for ever: it took a whole region out of service.

#include "relay_fixture.hpp"

#include <LibCore/text.hpp>

#include <doctest.h>

#include <future>
#include <optional>
#include <stdexcept>

using namespace hyssoploft;
using namespace hyssoploft::tests;

namespace {

using namespace std::chrono_literals;

std::string with_method(std::string_view method, std::string_view path)
{
    return request_text(
        method, path, "body",
        "x-request-id: a\r\nx-parts: 1,2,3\r\nx-key: k\r\n");
}

void check_left(relay_fixture& it)
{
    it.wait_idle();
    std::promise<void> checked;
    http::asio::post(it.context(), [&] {
        CHECK(it.services->open_runs.empty());
        CHECK(it.services->router->own_loads().empty());
        checked.set_value();
    });
    checked.get_future().wait();
}

} // namespace

TEST_CASE("a request that can't be sent to an upstream is refused as not run")
{
    for (const auto* path :
         {"/order/1", "/read/1", "/stream/1", "/resume/1", "/generate/1"})
    {
        CAPTURE(std::string(path));
        relay_fixture it;
        it.set_rate(100);
        it.add_engine("engine", it.upstream.address());
        // A method that must not have a body.
        const auto got = it.call(with_method("TRACE", path));
        CHECK_EQ(got.status, 400);
        CHECK_EQ(got.reason, "malformed_request");
        CHECK_EQ(got.not_run, "true");
        check_left(it);
        CHECK_EQ(it.limiter->refunded, 1);
        it.state.with([&] {
            CHECK(it.upstream.received.empty());
        });
    }
}

TEST_CASE("a stream whose last identifier is too long for a header is cut")
{
    const std::string event =
        core::concat("id: ", std::string(70'000, '1'), "\ndata: part 1\n\n");
    relay_fixture it;
    scripted_upstream second(it.state);
    second.set_replies({{signed_stream_head() + last_chunk()}});
    it.upstream.set_replies(
        {{signed_stream_head() + raw_chunk(event), after_reply::reset}});
    it.add_upstream("second", second.address());
    it.set_busy("second");
    const auto got = it.call(relay_request("/resume/1", "a"));
    CHECK_EQ(got.status, 200);
    CHECK_FALSE(got.whole);
    check_left(it);
}

TEST_CASE("a call that ends by an exception leaves all that it entered")
{
    for (const auto* path : {"/order/1", "/read/1", "/stream/1", "/generate/1"})
    {
        CAPTURE(std::string(path));
        relay_fixture it;
        it.set_rate(100);
        it.add_engine("engine", it.upstream.address());
        it.codec->before_send = [] {
            throw std::runtime_error("defect of the test");
        };
        CHECK_EQ(it.call(with_method("POST", path)).status, 502);
        check_left(it);
        CHECK_EQ(it.limiter->refunded, 1);
        it.end_open_runs();
        check_left(it);
    }
}

TEST_CASE("a call that ends with its thread leaves all that it entered")
{
    std::shared_ptr<relay::relay_services> services;
    std::optional<test_caller> caller; // Waits until the end.
    {
        relay_fixture it;
        services = it.services;
        it.upstream.set_replies({{"", after_reply::hold}});
        caller.emplace(it.address);
        caller->send(relay_request("/order/1", "a"));
        REQUIRE(it.state.wait([&] {
            return it.upstream.received.size() == 1;
        }));
    }
    CHECK(services->open_runs.empty());
    CHECK(services->router->own_loads().empty());
}
