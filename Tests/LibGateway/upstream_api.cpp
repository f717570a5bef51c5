// Guards against malformed announcements and reports reaching the control
// thread.

#include "gateway_fixture.hpp"

#include <LibGateway/upstream_api.hpp>

#include <LibCore/text.hpp>

#include <boost/json.hpp>
#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::tests;

namespace {

namespace json = boost::json;

json::object valid_announcement()
{
    return json::parse(R"({"id":"e","address":"127.0.0.1:81","role":"engine",
        "region":"north","data_center":"n-a","capacity":4,"incarnation":1,
        "sequence":2,"models":["m"],"capabilities":{"resume":true}})")
        .as_object();
}

struct field_case
{
    const char* field;
    const char* value; // JSON; null: the field is missing.
};

} // namespace

TEST_CASE("an announcement with an invalid field is rejected with its name")
{
    const field_case rows[] = {
        {"id", nullptr},
        {"id", "\"\""},
        {"address", nullptr},
        {"address", "\"engine:81\""},
        {"role", "7"},
        {"region", nullptr},
        {"data_center", nullptr},
        {"capacity", "0"},
        {"capacity", "70000"},
        {"incarnation", "-1"},
        {"sequence", "1.5"},
        {"models", "\"m\""},
        {"models", "[7]"},
        {"capabilities", "[]"},
        {"capabilities", "{\"resume\":1}"},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.field);
        auto it = valid_announcement();
        it.erase(row.field);
        if (row.value)
        {
            it[row.field] = json::parse(row.value);
        }
        const auto got = gateway::parse_announcement(json::serialize(it));
        REQUIRE(absl::IsInvalidArgument(got.status()));
        const bool nested = row.value && std::string(row.value)[0] == '{';
        const std::string named = nested ? "resume" : row.field;
        CHECK(
            std::string(got.status().message()).find(named) !=
            std::string::npos);
    }
    const auto good =
        gateway::parse_announcement(json::serialize(valid_announcement()));
    REQUIRE(good.ok());
    CHECK(good->capabilities.resume);
}

TEST_CASE("reports of upstreams reach the control thread only when valid")
{
    const auto announcement = json::serialize(valid_announcement());
    struct row
    {
        const char* action;
        std::string body;
        unsigned status;
    };
    const row rows[] = {
        {"announce", announcement, 200},
        {"announce", "{}", 400},
        {"announce", "not JSON", 400},
        {"load", R"({"id":"e","sequence":1,"running":3})", 200},
        {"load", R"({"id":"e","running":3})", 400},
        {"leave", R"({"id":"e","incarnation":1})", 200},
        {"leave", R"({"id":"e"})", 400},
        {"cache-events", R"({"id":"e","sequence":1,"stored":["ff"]})", 200},
        {"cache-events", R"({"id":"e","sequence":1,"stored":["x"]})", 400},
        {"other", "{}", 404},
    };
    gateway_fixture it;
    for (const auto& row : rows)
    {
        CAPTURE(row.action);
        CAPTURE(row.body);
        const auto target = std::string("/upstreams/v1/") + row.action;
        CHECK_EQ(
            it.call(request_text("POST", target, row.body, "")).status,
            row.status);
    }
    CHECK_EQ(it.control->announced.size(), 1);
    CHECK_EQ(it.control->loads.size(), 1);
    CHECK_EQ(it.control->left.size(), 1);
}

// Guards against an upstream that exits because its departure was acknowledged
// by a VM that is then lost with it.
TEST_CASE("a departure that is not committed is not acknowledged")
{
    gateway_fixture it;
    it.control->leave_result = absl::UnavailableError("no leader");
    const auto got = it.call(request_text(
        "POST", "/upstreams/v1/leave", R"({"id":"e","incarnation":1})", ""));
    CHECK_EQ(got.status, 503);
    CHECK(got.body.find("no_quorum") != std::string::npos);
    CHECK_EQ(it.control->left.size(), 1);
}

// Guards against an age out of the range of a duration, which x86-64 takes for
// a report from the future.
TEST_CASE("a report of any age counts as received after its measurement")
{
    gateway_fixture it;
    for (const auto* lag : {"0", "0.25", "1e10", "1e300", "1e999"})
    {
        CAPTURE(lag);
        const auto body = core::concat(
            R"({"id":"e","sequence":1,"running":3,"lag_seconds":)", lag, "}");
        const auto status =
            it.call(request_text("POST", "/upstreams/v1/load", body, ""))
                .status;
        CHECK((status == 200 || status == 400));
    }
    REQUIRE_FALSE(it.control->loads.empty());
    for (const auto& [upstream, report] : it.control->loads)
    {
        CHECK(report.lag >= core::duration::zero());
    }
}
