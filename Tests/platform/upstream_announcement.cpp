// Guards against heartbeats of other writers that name an upstream.

#include <platform/upstream_announcement.hpp>

#include <doctest.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

using namespace hyssoploft;

namespace {

const platform::region_table regions{{"east-a", "east"}};
const std::string sound =
    R"({"service":"s1","address":"10.0.0.9:8080","zone":"east-a",)"
    R"("version":"v1","slots":64,"state":"ready","cold-left-ms":0,"seq":4,)"
    R"("born":1700000000123})";
/// Unix time at which the upstream of `sound` started.
const std::chrono::system_clock::time_point started{
    std::chrono::milliseconds(1700000000123)};

} // namespace

TEST_CASE("a heartbeat is decoded")
{
    const auto out =
        platform::decode_announcement("i-1", sound, regions, started);
    REQUIRE(out.ok());
    CHECK(out->id == "i-1");
    CHECK(out->role == "s1");
    CHECK(out->region == "east");
    CHECK(out->data_center == "east-a");
    CHECK(out->capacity == 64);
    CHECK(out->sequence == 4);
    CHECK(out->incarnation == 1700000000123);
    CHECK(
        out->state ==
        static_cast<std::uint8_t>(membership::upstream_state::serving));
}

TEST_CASE("foreign heartbeats name no upstream")
{
    struct beat_case
    {
        const char* from;
        const char* to;
    };
    const beat_case cases[] = {
        {"\"service\":\"s1\",", ""},
        {"\"service\":\"s1\"", "\"service\":5"},
        {"10.0.0.9:8080", "10.0.0.9"},
        {"10.0.0.9:8080", "host:8080"},
        {"east-a", "north-a"},
        {"\"state\":\"ready\"", "\"state\":\"asleep\""},
        {"\"state\":\"ready\"", "\"state\":1"},
        {"\"seq\":4", "\"seq\":-4"},
        {"\"seq\":4,", ""},
        {"\"slots\":64", "\"slots\":\"many\""},
        {"1700000000123}", "17.5}"},
        // Without these an entry replaced a sound one (review/14).
        {"\"address\":\"10.0.0.9:8080\",", ""},
        {"\"zone\":\"east-a\",", ""},
        {"\"version\":\"v1\",", ""},
        {"\"version\":\"v1\"", "\"version\":null"},
        {"\"slots\":64,", ""},
        {"\"slots\":64", "\"slots\":null"},
        {"\"state\":\"ready\",", ""},
        {"\"cold-left-ms\":0,", ""},
        {"\"cold-left-ms\":0", "\"cold-left-ms\":null"},
        {"\"cold-left-ms\":0", "\"cold-left-ms\":\"0\""}};
    for (const auto& it : cases)
    {
        CAPTURE(it.to);
        auto broken = sound;
        broken.replace(
            broken.find(it.from), std::string(it.from).size(), it.to);
        CHECK_FALSE(
            platform::decode_announcement("i-1", broken, regions, started)
                .ok());
    }
    CHECK_FALSE(
        platform::decode_announcement("", sound, regions, started).ok());
    CHECK_FALSE(
        platform::decode_announcement("i", "\xff\x00", regions, started).ok());
    CHECK_FALSE(
        platform::decode_announcement("i", "[]", regions, started).ok());
}

// Guards against VMs that end, or stop following the list of upstreams, on an
// odd heartbeat, and against sound upstreams that one hides.
TEST_CASE("heartbeats with odd values name no upstream")
{
    struct beat_case
    {
        std::string name;
        const char* from;
        std::string to;
    };
    const std::string deep(100'000, '[');
    const std::string long_text(1 << 20, 'v');
    const beat_case cases[] = {
        {"nested", "{\"service\"", R"({"x":)" + deep + R"(,"service")"},
        {"nested and closed", "{\"service\"",
         R"({"x":)" + deep + std::string(deep.size(), ']') + R"(,"service")"},
        {"no JSON", sound.c_str(), "ready 10.0.0.9:8080"},
        {"no UTF-8", "\"v1\"", "\"\xff\xfe\""},
        {"slots 1e400", ":64,", ":1e400,"},
        {"slots 1e300", ":64,", ":1e300,"},
        {"slots 2^32", ":64,", ":4294967296,"},
        {"slots 2^64 - 1", ":64,", ":18446744073709551615,"},
        {"slots of 20 digits", ":64,", ":99999999999999999999,"},
        {"slots -1", ":64,", ":-1,"},
        {"slots -1e300", ":64,", ":-1e300,"},
        {"slots 1.5", ":64,", ":1.5,"},
        {"slots 65537", ":64,", ":65537,"},
        {"seq 1e400", "\"seq\":4", "\"seq\":1e400"},
        {"seq 1e300", "\"seq\":4", "\"seq\":1e300"},
        {"seq 1.5", "\"seq\":4", "\"seq\":1.5"},
        {"seq 2^64 - 1", "\"seq\":4", "\"seq\":18446744073709551615"},
        {"seq of 20 digits", "\"seq\":4", "\"seq\":99999999999999999999"},
        {"seq 2^53", "\"seq\":4", "\"seq\":9007199254740992"},
        {"cold-left-ms 1e400", "ms\":0", "ms\":1e400"},
        {"cold-left-ms 1e300", "ms\":0", "ms\":1e300"},
        {"cold-left-ms -1", "ms\":0", "ms\":-1"},
        {"cold-left-ms 2^64 - 1", "ms\":0", "ms\":18446744073709551615"},
        {"born in a day", "1700000000123", "1700086400123"},
        {"born in nanoseconds", "1700000000123", "1700000000123000000"},
        {"born 2^64 - 1", "1700000000123", "18446744073709551615"},
        {"born -1", "1700000000123", "-1"},
        {"born 1e300", "1700000000123", "1e300"},
        {"port 0", ":8080", ":0"},
        {"port -1", ":8080", ":-1"},
        {"port 65536", ":8080", ":65536"},
        {"port 99999", ":8080", ":99999"},
        {"port of 20 digits", ":8080", ":99999999999999999999"},
        {"no port", ":8080", ":"},
        {"text after the port", ":8080", ":8080/x"},
        {"any address", "10.0.0.9", "0.0.0.0"},
        {"broadcast", "10.0.0.9", "255.255.255.255"},
        {"multicast", "10.0.0.9", "224.0.0.1"},
        {"reserved", "10.0.0.9", "240.0.0.1"},
        {"any IPv6 address", "10.0.0.9", "[::]"},
        {"IPv6 multicast", "10.0.0.9", "[ff02::1]"},
        {"part of a text", "10.0.0.9", "10.0.0.9\\u0000x"},
        {"address of another type", "\"10.0.0.9:8080\"", "[\"10.0.0.9:8080\"]"},
        {"state null", "\"ready\"", "null"},
        {"state expired", "\"ready\"", "\"expired\""},
        {"version of another type", "\"v1\"", "{}"},
        {"long version", "\"v1\"", "\"" + long_text + "\""},
        {"long service", "\"s1\"", "\"" + long_text + "\""},
        {"empty service", "\"s1\"", "\"\""},
        {"line end in a service", "\"s1\"", "\"s\\n1\""}};
    for (const auto& it : cases)
    {
        CAPTURE(it.name);
        auto odd = sound;
        const auto at = odd.find(it.from);
        REQUIRE_NE(at, std::string::npos);
        odd.replace(at, std::string(it.from).size(), it.to);
        const auto out =
            platform::decode_announcement("i-1", odd, regions, started);
        CHECK_FALSE(out.ok());
        // Bounds the line of the log.
        CHECK(out.status().ToString().size() < 1024);
    }
    for (const auto& id :
         {std::string(1 << 16, 'i'), std::string("i\n1"), std::string("i 1")})
    {
        CHECK_FALSE(
            platform::decode_announcement(id, sound, regions, started).ok());
    }
}

TEST_CASE("values at their bounds name an upstream")
{
    const std::pair<std::string, std::string> cases[] = {
        {":64,", ":0,"},
        {":64,", ":64.0,"},
        {":64,", ":65536,"},
        {"\"seq\":4", "\"seq\":9007199254740991"},
        {"ms\":0", "ms\":600000"},
        {"ms\":0", "ms\":1234.5"},
        // Clocks of machines differ and jump by seconds.
        {"1700000000123", "1700000060123"},
        {"1700000000123", "0"},
        {",\"born\":1700000000123", ""},
        {":8080", ":1"},
        {":8080", ":65535"},
        {"10.0.0.9", "127.0.0.1"},
        {"10.0.0.9", "[fd00::9]"}};
    for (const auto& row : cases)
    {
        const auto& from = row.first;
        const auto& to = row.second;
        CAPTURE(to);
        auto text = sound;
        text.replace(text.find(from), from.size(), to);
        const auto out =
            platform::decode_announcement("i-1", text, regions, started);
        REQUIRE(out.ok());
        CHECK(out->capacity >= 1);
    }
    // Ids and texts of other make are as good.
    CHECK(platform::decode_announcement(
              std::string(256, 'i'), sound, regions, started)
              .ok());
}

// Guards against a departure that is applied to a later start of its upstream.
TEST_CASE("a departure names an incarnation or none")
{
    struct row
    {
        std::string body;
        std::optional<std::uint64_t> incarnation;
    };
    const row rows[] = {
        {R"({"born":1700000000000})", 1'700'000'000'000},
        {R"({"born":1700000000000,"seq":4})", 1'700'000'000'000},
        {R"({"seq":4})", std::nullopt},
        {R"({"born":"x"})", std::nullopt},
        {R"({"born":-1})", std::nullopt},
        {R"({"born":1.5})", std::nullopt},
        {R"({"born":1e300})", std::nullopt},
        // A start in a day would hold back all starts until then.
        {R"({"born":1700086400123})", std::nullopt},
        {R"([1])", std::nullopt},
        {"", std::nullopt},
        {"{", std::nullopt},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.body);
        const auto out = platform::decode_departure("i-1", row.body, started);
        REQUIRE(out.ok());
        CHECK(out->upstream == "i-1");
        CHECK(out->incarnation == row.incarnation);
    }
}

TEST_CASE("a departure of what is no identifier is refused")
{
    for (const auto& id :
         {std::string(), std::string(257, 'i'), std::string("i 1"),
          std::string("i\n1")})
    {
        CHECK(
            platform::decode_departure(id, "", started).status().code() ==
            absl::StatusCode::kInvalidArgument);
    }
    CHECK(platform::decode_departure(std::string(256, 'i'), "", started).ok());
}
