// Guards against configuration documents that are misread or read in part.

#include <platform/manifest_document.hpp>

#include <LibCore/text.hpp>

#include <doctest.h>

#include <string>
#include <utility>

using namespace hyssoploft;
using manifest::repeat_kind;

namespace {

const std::string sound = R"({"version":7,"routes":[
{"name":"r1","host":"a.example","path-prefix":"/q/","kind":"streaming",
"timeout-ms":3000,"target-latency-ms":600,"priority":0,"service":"s1",
"max-attempts":2,"public":false,"resumable":true,"gap-target-ms":600,
"home-regions":["east"]},
{"name":"r2","host":"a.example","path-prefix":"/b/","kind":"unsafe",
"timeout-ms":1200.5,"traffic-split":[{"service":"s1","weight":90},
{"service":"s2","weight":10}],"public":true}],
"services":[{"name":"s1","health-path":"/healthz","max-conns":360,
"cold-per-s":4.1,"engine":{"slots":64,"kv-capacity":587510,"stride":8}},
{"name":"s2"}],
"limits":{"max-header-bytes":16384,"idle-timeout-ms":15000},
"tenants":[{"name":"t1","api-keys":["k1","k2"],"priority":1,"unit":"tokens",
"plain-tokens":200,"rate-per-s":1000,"burst":500}],"unknown":{}})";

} // namespace

TEST_CASE("a document is decoded into named fields")
{
    const auto out = platform::manifest_document().decode(sound);
    REQUIRE(out.ok());
    CHECK(out->version == 7);
    REQUIRE(out->routes.size() == 2);
    const auto& first = out->routes[0];
    CHECK(first.repeat == repeat_kind::resumable_stream);
    CHECK(first.timeout == std::chrono::seconds(3));
    CHECK(first.latency_target == std::chrono::milliseconds(600));
    CHECK(first.max_attempts == 2);
    CHECK(first.homes == std::set<std::string>{"east"});
    REQUIRE(first.roles.size() == 1);
    CHECK(first.roles[0].role == "s1");
    const auto& second = out->routes[1];
    CHECK(second.repeat == repeat_kind::at_most_once);
    CHECK(second.open);
    REQUIRE(second.roles.size() == 2);
    CHECK(second.roles[1].weight == 10);
    REQUIRE(out->roles.size() == 2);
    CHECK(out->roles[0].is_engine);
    CHECK(out->roles[0].engine.memory_tokens == 587510);
    CHECK_FALSE(out->roles[1].is_engine);
    REQUIRE(out->accounts.has_value());
    REQUIRE(out->accounts->size() == 1);
    const auto& account = out->accounts->front();
    CHECK(account.keys.size() == 2);
    CHECK(account.plain_tokens == 200);
    CHECK_FALSE(account.counts_requests);
    CHECK(out->limits.idle_timeout == std::chrono::seconds(15));
}

TEST_CASE("a document that can't be read in full is refused")
{
    struct document_case
    {
        const char* from;
        const char* to;
    };
    const document_case cases[] = {
        {"\"version\":7", "\"version\":\"7\""},
        {"\"version\":7,", ""},
        {"\"kind\":\"unsafe\"", "\"kind\":\"odd\""},
        {"\"host\":\"a.example\",", ""},
        {"\"timeout-ms\":3000", "\"timeout-ms\":\"long\""},
        {"\"home-regions\":[\"east\"]", "\"home-regions\":[1]"},
        {"\"api-keys\":[\"k1\",\"k2\"]", "\"api-keys\":[1]"},
        {"\"service\":\"s1\",", ""},
        {"\"unknown\":{}}", "\"unknown\":{}"},
        {"\"tenants\":[", "\"tenants\":{},\"x\":["}};
    for (const auto& it : cases)
    {
        CAPTURE(it.to);
        auto broken = sound;
        const auto at = broken.find(it.from);
        REQUIRE(at != std::string::npos);
        broken.replace(at, std::string(it.from).size(), it.to);
        CHECK(
            platform::manifest_document().decode(broken).status().code() ==
            absl::StatusCode::kInvalidArgument);
    }
    // Cut at any place.
    for (std::size_t n = 0; n < sound.size(); n += 13)
    {
        CHECK_FALSE(
            platform::manifest_document().decode(sound.substr(0, n)).ok());
    }
}

// Guards against doors that open because a list is absent, empty or null.
TEST_CASE("a list of tenants that is empty is not absent")
{
    const auto at = sound.find("\"tenants\":");
    const auto end = sound.find(",\"unknown\"");
    const auto with_tenants = [&](const std::string& text) {
        auto out = sound;
        out.replace(at, end - at, text);
        return platform::manifest_document().decode(out);
    };
    const auto absent = with_tenants("\"x\":[]");
    REQUIRE(absent.ok());
    CHECK_FALSE(absent->accounts.has_value());
    const auto empty = with_tenants("\"tenants\":[]");
    REQUIRE(empty.ok());
    REQUIRE(empty->accounts.has_value());
    CHECK(empty->accounts->empty());
    for (const char* value : {"null", "{}", "false", "0", "\"\"", "[null]"})
    {
        CAPTURE(value);
        CHECK_FALSE(with_tenants(core::concat("\"tenants\":", value)).ok());
    }
}

TEST_CASE("a list that is null is refused")
{
    const std::pair<std::string, std::string> cases[] = {
        {"[\"k1\",\"k2\"]", "null"}, // Keys of a tenant.
        {"[\"east\"]", "null"}};     // Home regions of a route.
    for (const auto& row : cases)
    {
        auto odd = sound;
        odd.replace(odd.find(row.first), row.first.size(), row.second);
        CHECK_FALSE(platform::manifest_document().decode(odd).ok());
    }
}

// Guards against numbers that change their value, or end the process, when they
// are converted to narrower types.
TEST_CASE("a document with numbers out of range is refused")
{
    const char* fields[] = {
        "\"timeout-ms\":3000",
        "\"target-latency-ms\":600",
        "\"priority\":0",
        "\"max-attempts\":2",
        "\"gap-target-ms\":600",
        "\"max-conns\":360",
        "\"slots\":64",
        "\"kv-capacity\":587510",
        "\"stride\":8",
        "\"max-header-bytes\":16384",
        "\"idle-timeout-ms\":15000",
        "\"rate-per-s\":1000",
        "\"burst\":500",
        "\"plain-tokens\":200"};
    for (const std::string field : fields)
    {
        for (const std::string value :
             {"1e400", "1e300", "-1", "-1e300", "18446744073709551615",
              "99999999999999999999"})
        {
            CAPTURE(field);
            CAPTURE(value);
            auto odd = sound;
            const auto at = odd.find(field);
            REQUIRE_NE(at, std::string::npos);
            odd.replace(
                at, field.size(), field.substr(0, field.find(':') + 1) + value);
            CHECK_FALSE(platform::manifest_document().decode(odd).ok());
        }
    }
}

TEST_CASE("a count above 32 bits is refused")
{
    for (const std::string field :
         {"\"priority\":0", "\"max-attempts\":2", "\"max-conns\":360",
          "\"slots\":64", "\"stride\":8"})
    {
        CAPTURE(field);
        auto odd = sound;
        odd.replace(
            odd.find(field), field.size(),
            field.substr(0, field.find(':') + 1) + "4294967296");
        CHECK_FALSE(platform::manifest_document().decode(odd).ok());
    }
}

TEST_CASE("a deeply nested document is refused")
{
    const std::string open(100'000, '[');
    const std::string close(open.size(), ']');
    for (const auto& value : {open, open + close})
    {
        auto odd = sound;
        odd.insert(1, "\"x\":" + value + ",");
        CHECK_FALSE(platform::manifest_document().decode(odd).ok());
    }
}

// An operator's generator wrote hundreds of thousands of empty entries: the
// findings took hundreds of megabytes and ended the control VM.
TEST_CASE("a document with a fault in each of many entries gets a short error")
{
    struct row
    {
        std::string list;
        std::string entry;
    };
    const row rows[] = {
        {"routes", "{}"},
        {"routes", "0"},
        {"routes", R"({"traffic-split":[{},{},{},0]})"},
        {"services", "{}"},
        {"tenants", R"({"api-keys":[0]})"},
        {"tenants", "[]"},
    };
    constexpr std::size_t count = 100'000;
    constexpr std::size_t max_error_bytes = 32 * 1024;
    for (const auto& row : rows)
    {
        CAPTURE(row.list);
        CAPTURE(row.entry);
        std::string text = R"({"version":5,"routes":[],"services":[],")" +
                           row.list + "\":[" + row.entry;
        for (std::size_t n = 1; n < count; ++n)
        {
            text += "," + row.entry;
        }
        const auto out = platform::manifest_document().decode(text + "]}");
        REQUIRE(absl::IsInvalidArgument(out.status()));
        const std::string error(out.status().message());
        CHECK(error.size() < max_error_bytes);
        CHECK_EQ(error.rfind(row.list + "[0]", 0), 0);
        CHECK(error.find(" more, or entries not read") != std::string::npos);
    }
}
