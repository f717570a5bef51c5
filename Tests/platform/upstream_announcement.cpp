// Guards against heartbeats of other writers that name an upstream.

#include <platform/upstream_announcement.hpp>

#include <doctest.h>

#include <string>

using namespace hyssoploft;

namespace {

const platform::region_table regions{{"east-a", "east"}};
const std::string sound =
    R"({"service":"s1","address":"10.0.0.9:8080","zone":"east-a",)"
    R"("version":"v1","slots":64,"state":"ready","cold-left-ms":0,"seq":4,)"
    R"("born":1700000000123})";

} // namespace

TEST_CASE("a heartbeat is decoded")
{
    const auto out = platform::decode_announcement("i-1", sound, regions);
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
        {"1700000000123}", "17.5}"}};
    for (const auto& it : cases)
    {
        CAPTURE(it.to);
        auto broken = sound;
        broken.replace(
            broken.find(it.from), std::string(it.from).size(), it.to);
        CHECK_FALSE(platform::decode_announcement("i-1", broken, regions).ok());
    }
    CHECK_FALSE(platform::decode_announcement("", sound, regions).ok());
    CHECK_FALSE(platform::decode_announcement("i", "\xff\x00", regions).ok());
    CHECK_FALSE(platform::decode_announcement("i", "[]", regions).ok());
}
