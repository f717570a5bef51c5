// Guards against JSON forms that lose a field and against requests whose
// errors are not reported.

#include <LibCore/findings.hpp>
#include <LibResource/admin_api.hpp>
#include <LibResource/declaration_file.hpp>
#include <LibResource/resource_json.hpp>
#include <LibResource/samples.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::resource;
using namespace hyssoploft::tests;

namespace {

/// The text after serializing, parsing and serializing again.
template <typename T>
std::string round_trip(const T& it)
{
    const auto read = from_json_text<T>(to_json_text(it));
    return read.ok() ? to_json_text(*read)
                     : std::string(read.status().message());
}

template <typename T>
std::string error_of(const std::string& text)
{
    return std::string(from_json_text<T>(text).status().message());
}

} // namespace

TEST_CASE("each resource is unchanged by a JSON round trip")
{
    const auto store = make_store();
    std::size_t n = 0;
    for (const auto& entry : store.view().versions)
    {
        const auto& id = entry.first;
        const auto value = *find_resource(store.view(), id);
        core::findings found;
        const auto read = resource_from_json(to_json(value), "", found);
        CAPTURE(to_string(id));
        CHECK(read == value);
        CHECK(found.empty());
        ++n;
    }
    CHECK_EQ(n, 7);
}

TEST_CASE("the JSON of a listed resource is a valid declaration file")
{
    const auto store = make_store();
    for (const auto& [id, version] : store.view().versions)
    {
        const auto value = *find_resource(store.view(), id);
        const auto file = parse_declarations(
            boost::json::serialize(to_json(value)), "f", &store.view());
        CHECK_EQ(std::string(file.found.to_status().message()), "");
        REQUIRE_EQ(file.changes.size(), 1);
        CHECK(file.changes[0].value == value);
    }
}

TEST_CASE("requests and responses are unchanged by a JSON round trip")
{
    const auto store = make_store();
    apply_request request{"r1", true, {set(make_account("a"), 0)}};
    request.changes.push_back(remove(resource_kind::key, "shop-1"));
    const auto read = from_json_text<apply_request>(to_json_text(request));
    REQUIRE(read.ok());
    CHECK(read->changes[0].value == request.changes[0].value);
    CHECK(read->changes[0].expected_version == 0);
    CHECK(read->changes[1].id == request.changes[1].id);
    CHECK_FALSE(read->changes[1].value.has_value());
    CHECK_FALSE(read->changes[1].expected_version.has_value());
    CHECK_EQ(round_trip(request), to_json_text(request));

    auto result =
        store.dry_run(make_batch("2", {set(make_account("shop"), 7)}));
    result.problems.push_back({{resource_kind::fleet, "fleet"}, "vms", "no"});
    CHECK_EQ(round_trip(result), to_json_text(result));

    const auto event = decode_event(store.changes_since(0)->front());
    const watch_response watch{1, true, {*event}};
    CHECK_EQ(round_trip(watch), to_json_text(watch));
    const resource_list list{1, {{make_account("a"), 1}, {make_fleet(), 2}}};
    CHECK_EQ(round_trip(list), to_json_text(list));
    const withdraw_request withdraw{"r", {"d"}, {"n"}};
    CHECK_EQ(round_trip(withdraw), to_json_text(withdraw));
    CHECK_EQ(
        round_trip(withdraw_response{2, 1}), R"({"accepted":2,"committed":1})");
    const status_response status{
        "v1", "v2", 3, 4, 5, 6, 7, 8, {{"v1", "north", "alive", 5, true}}, {}};
    CHECK_EQ(round_trip(status), to_json_text(status));
    CHECK_EQ(round_trip(drain_response{"v1", 3}), R"({"vm":"v1","running":3})");
    const entry_vm_list vms{2.5, {{"v1", "10.0.0.1:80", "north", "n-a"}}};
    CHECK_EQ(round_trip(vms), to_json_text(vms));
    const admin_error error{"no", {"a", "b"}};
    CHECK_EQ(round_trip(error), to_json_text(error));
}

TEST_CASE("every error in a request is reported")
{
    CHECK_EQ(error_of<apply_request>("[]"), "must be an object");
    CHECK_EQ(error_of<apply_request>("{").substr(0, 8), "not JSON");
    CHECK_EQ(
        error_of<apply_request>(
            R"({"changes":[{"set":{"kind":"rate","name":"a","burst_tokens":"x",
                "more":1}},{},{"delete":{"kind":"x"},"expected_version":-1},
                7],"dry":true})"),
        "request_id: is missing\n"
        "changes[0].set.burst_tokens: must be a number\n"
        "changes[0].set.more: is unknown\n"
        "changes[1]: must have either set or delete\n"
        "changes[2].delete.kind: is unknown\n"
        "changes[2].delete.name: is missing\n"
        "changes[2].expected_version: must be a number in range\n"
        "changes[3]: must be an object\n"
        "dry: is unknown");
}

TEST_CASE("each outcome has its HTTP status")
{
    CHECK_EQ(http_status(apply_outcome::applied), 200);
    CHECK_EQ(http_status(apply_outcome::unchanged), 200);
    CHECK_EQ(http_status(apply_outcome::conflict), 409);
    CHECK_EQ(http_status(apply_outcome::request_id_reuse), 409);
    CHECK_EQ(http_status(apply_outcome::refused), 422);
    CHECK_EQ(http_status(apply_outcome::malformed), 400);
}
