// Guards against answers to HEAD that have a body, which callers take for the
// next answer on their connection, and against waiting for a body after HEAD.

#include "relay_fixture.hpp"

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::tests;

namespace {

std::string request(
    std::string_view method, std::string_view path, std::string_view id,
    std::string_view headers = {})
{
    return request_text(
        method, path, "",
        "x-request-id: " + std::string(id) + "\r\n" + std::string(headers));
}

// Both answers of a connection that closes after the second one.
struct two_answers
{
    std::string first; ///< Its head.
    std::string second;
};

two_answers split(const std::string& bytes)
{
    const auto end = bytes.find("\r\n\r\n");
    REQUIRE(end != std::string::npos);
    return {bytes.substr(0, end + 2), bytes.substr(end + 4)};
}

} // namespace

TEST_CASE("answers to HEAD have no body and keep their connection in step")
{
    struct row
    {
        std::string name;
        std::string path;
        reply upstream;
        std::string status;
        std::string field; ///< Of the answer's head.
    };
    const auto whole = signed_answer(200, "whole");
    const auto head = whole.substr(0, whole.size() - 5);
    const auto error = signed_answer(500, "failed");
    const row rows[] = {
        {"answer", "/order/1", {head}, "200", "Content-Length: 5\r\n"},
        {"stream", "/stream/1", {signed_stream_head()}, "200", ""},
        {"error",
         "/order/1",
         {error.substr(0, error.size() - 6)},
         "500",
         "Content-Length: 6\r\n"},
        {"refusal", "/unknown", {}, "404", "Content-Length: "},
        {"lost answer",
         "/order/1",
         {"", after_reply::close},
         "502",
         "Content-Length: "},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        relay_fixture it;
        it.upstream.set_replies({row.upstream, {whole}});
        test_caller caller(it.address);
        caller.send(request("HEAD", row.path, "a"));
        const auto bytes = caller.read_head();
        caller.send(request("GET", "/none", "b", "Connection: close\r\n"));
        const auto got = split(bytes + caller.read_bytes());
        CAPTURE(got.first);
        CHECK_EQ(got.first.rfind("HTTP/1.1 " + row.status, 0), 0);
        CHECK(got.first.find(row.field) != std::string::npos);
        CHECK_EQ(got.second.rfind("HTTP/1.1 404", 0), 0);
    }
}

TEST_CASE("the connection to an upstream is used again after HEAD")
{
    relay_fixture it;
    const auto whole = signed_answer(200, "whole");
    it.upstream.set_replies({{whole.substr(0, whole.size() - 5)}, {whole}});
    test_caller caller(it.address);
    caller.send(request("HEAD", "/order/1", "a"));
    CHECK_FALSE(caller.read_head().empty());
    const auto got = it.call(relay_request("/order/2", "b"));
    CHECK_EQ(got.status, 200);
    CHECK_EQ(got.body, "whole");
    CHECK_EQ(
        it.state.with([&] {
            return it.upstream.connections;
        }),
        1);
}
