// Guards against a caller's key that reaches an upstream in any spelling.

#include <LibHttp/header_policy.hpp>

#include <boost/beast/http/write.hpp>
#include <doctest.h>

#include <sstream>
#include <string>

using namespace hyssoploft;

namespace {

constexpr const char* secret = "sk-secret-0123456789";

std::string passed_on(const std::string& name, const std::string& value)
{
    http::request from;
    from.set(name, value);
    from.set("Content-Type", "application/json");
    http::request to;
    http::copy_request_headers(from, to);
    std::ostringstream out;
    out << to;
    return out.str();
}

} // namespace

TEST_CASE("every spelling of a key's header is removed")
{
    const std::string names[] = {
        "Authorization",
        "authorization",
        "AUTHORIZATION",
        "Proxy-Authorization",
        "X-Api-Key",
        "x-api-key",
        "X-API-KEY",
        "Api-Key",
        "Cookie",
        "cookie",
        "Set-Cookie",
        "X-Auth-Token",
        "X-Forwarded-For",
        "Forwarded",
        "X-Hyssoploft-Envelope",
        "Some-New-Key-Header"};
    for (const auto& it : names)
    {
        CAPTURE(it);
        const auto text = passed_on(it, std::string("Bearer ") + secret);
        CHECK_EQ(text.find(secret), std::string::npos);
        CHECK_NE(text.find("application/json"), std::string::npos);
    }
}

TEST_CASE("query parameters that carry a key are removed")
{
    struct row
    {
        std::string target;
        std::string expected;
    };
    const row rows[] = {
        {"/a?key=S&x=1", "/a?x=1"},
        {"/a?x=1&API_KEY=S", "/a?x=1"},
        {"/a?ap%69_key=S", "/a"},
        {"/a?ap%2569_key=S", "/a"},
        {"/a?%20token=S&y=2", "/a?y=2"},
        {"/a?x=1;access_token=S", "/a?x=1"},
        {"/a?x=1&keyword=k", "/a?x=1&keyword=k"},
        {"/a?x=%zz", "/a?x=%zz"},
        {"/a#key=S", "/a"},
        {"/a", "/a"},
    };
    for (const auto& it : rows)
    {
        CAPTURE(it.target);
        CHECK_EQ(http::strip_credentials(it.target), it.expected);
    }
}

TEST_CASE("a caller's key comes from one of two headers")
{
    http::request it;
    CHECK_EQ(http::caller_key(it), "");
    it.set("X-Api-Key", "k1");
    CHECK_EQ(http::caller_key(it), "k1");
    it.set("Authorization", "bearer k1");
    CHECK_EQ(http::caller_key(it), "k1");
    it.set("Authorization", "Bearer k2");
    CHECK_EQ(http::caller_key(it), "");
    it.erase("X-Api-Key");
    CHECK_EQ(http::caller_key(it), "k2");
    it.set("Authorization", "Basic k2");
    CHECK_EQ(http::caller_key(it), "");
}
