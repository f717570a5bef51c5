// Guards against partially applied files, findings without a line number and
// examples that no longer load.

#include <LibResource/declaration_file.hpp>
#include <LibResource/duration_text.hpp>
#include <LibResource/samples.hpp>

#include <doctest.h>

#include <fstream>
#include <iterator>

using namespace hyssoploft;
using namespace hyssoploft::resource;
using namespace hyssoploft::tests;

namespace {

std::string findings_of(const std::string& text, const configuration* base)
{
    const auto file = parse_declarations(text, "f", base);
    // Only an empty file has neither changes nor findings.
    CHECK_EQ(file.changes.empty(), !file.found.empty() || text.empty());
    return std::string(file.found.to_status().message());
}

struct bad_file
{
    const char* name;
    std::string text;
    std::string expected_findings;
};

const std::vector<bad_file> bad_files{
    {"unknown kind", "kind: acount\nname: a\n",
     "f:1: kind: is missing or unknown"},
    {"no kind", "- name: a\n", "f:1: kind: is missing or unknown"},
    {"not a map", "- kind: account\n  name: a\n- text\n", "f:3: must be a map"},
    {"unknown field", "kind: account\nname: a\nwieght: 2\n",
     "f:3: wieght: is unknown"},
    {"wrong types",
     "kind: route\nname: a\nmodel: m\nupstream_role: engine\n"
     "open: maybe\ndeadline: 60\nremote_price_seconds: cheap\n"
     "priority: soon\n",
     "f:5: open: must be true or false\n"
     "f:6: deadline: must be a duration such as \"30s\"\n"
     "f:7: remote_price_seconds: must be a number\n"
     "f:8: priority: must be one of interactive, batch"},
    {"a number is no text", "kind: account\nname: 12\n",
     "f:2: name: must be a text"},
    {"out of range", "kind: rate\nname: shop\nfloor_fraction: 1.5\n",
     "f:3: rate/shop.floor_fraction: must be from 0 to 1"},
    {"missing reference",
     "kind: key\nname: k\naccount: none\n"
     "digest: " +
         std::string(64, 'a') + "\n",
     "f:3: key/k.account: account 'none' does not exist"},
    {"duplicate", "kind: account\nname: a\n---\nkind: account\nname: a\n",
     "f:4: account/a: is declared in line 1"},
    {"field twice", "kind: account\nname: a\nweight: 1\nweight: 2\n",
     "f:4: weight: appears twice"},
    {"more VMs than floor_slots",
     "kind: fleet\nfloor_slots: 1\nvms:\n"
     "  - {id: n1, region: north, data_center: n}\n"
     "  - {id: s1, region: south, data_center: s}\n",
     "f:3: fleet/fleet.vms: 2 VMs are more than floor_slots (1)"},
    {"field of a list item",
     "kind: fleet\nfloor_slots: 8\nvms:\n"
     "  - {id: n1, region: north, data_center: n}\n"
     "  - id: n1\n    region: south\n    data_center: s\n",
     "f:5: fleet/fleet.vms[1].id: 'n1' is duplicate"},
    {"a referenced region is left out",
     "kind: fleet\nfloor_slots: 8\nvms:\n"
     "  - {id: s1, region: south, data_center: s}\n",
     "f: account/shop.home_region: the fleet has no VM in region 'north'\n"
     "f: residency/stay-north.regions: the fleet has no VM in region 'north'"},
    {"all findings of all resources together",
     "- {kind: account, name: a, weight: -1}\n"
     "- {kind: nothing}\n"
     "- {kind: rate, name: b, tokens_per_second: 1}\n",
     "f:1: account/a.weight: must be greater than 0 and at most 1000\n"
     "f:2: kind: is missing or unknown\n"
     "f:3: rate/b.name: account 'b' does not exist"},
    {"broken YAML", "kind: [account\n", "f:2: end of sequence flow not found"},
};

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace

TEST_CASE("every kind of error is reported with line and field")
{
    const auto store = make_store();
    for (const auto& it : bad_files)
    {
        CAPTURE(it.name);
        CHECK_EQ(findings_of(it.text, &store.view()), it.expected_findings);
    }
}

TEST_CASE("without a base, references are not checked")
{
    CHECK_EQ(
        findings_of("kind: rate\nname: none\ntokens_per_second: 1\n", nullptr),
        "");
    CHECK_EQ(findings_of("", nullptr), "");
}

TEST_CASE("a malicious file is rejected in bounded time")
{
    std::string nested = "kind: account\nname: ";
    nested.append(200, '[').append(200, ']');
    CHECK_NE(findings_of(nested, nullptr), "");

    std::string aliases = "- &a0 [x, x, x, x, x, x, x, x, x, x]\n";
    for (int n = 1; n < 9; ++n)
    {
        aliases += core::concat("- &a", n, " [");
        for (int i = 0; i < 10; ++i)
        {
            aliases += core::concat("*a", n - 1, ", ");
        }
        aliases += "x]\n";
    }
    CHECK(
        findings_of(aliases, nullptr).find("too many values") !=
        std::string::npos);
    CHECK_EQ(
        findings_of(std::string(max_declaration_bytes + 1, '#'), nullptr),
        "f: is larger than 1 MiB");
}

TEST_CASE("the examples of both deployments load and can be applied")
{
    struct example
    {
        const char* name;
        std::size_t vms;
        std::size_t routes;
        std::size_t not_repeatable;
    };
    for (const auto& it :
         {example{"valea.yaml", 8, 5, 1}, example{"ferreira.yaml", 6, 4, 1}})
    {
        CAPTURE(it.name);
        const auto text = read_file(
            std::string(HYSSOPLOFT_SOURCE_DIR "/docs/operations/examples/") +
            it.name);
        const configuration empty;
        const auto file = parse_declarations(text, it.name, &empty);
        CHECK_EQ(std::string(file.found.to_status().message()), "");
        resource_store store;
        const auto result = apply(store, make_batch("1", file.changes));
        REQUIRE(result.outcome == apply_outcome::applied);
        const auto& loaded = store.view();
        std::set<std::string> regions;
        for (const auto& vm : loaded.declared_fleet.vms)
        {
            regions.insert(vm.region);
        }
        std::size_t not_repeatable = 0;
        for (const auto& [name, route] : loaded.routes)
        {
            not_repeatable +=
                route.repeat == repeat_rule::not_repeatable ? 1 : 0;
        }
        CHECK_EQ(loaded.declared_fleet.vms.size(), it.vms);
        CHECK_EQ(regions.size(), 3);
        CHECK_EQ(loaded.accounts.size(), 5);
        CHECK_EQ(loaded.rates.size(), 5);
        CHECK_EQ(loaded.keys.size(), 5);
        CHECK_EQ(loaded.routes.size(), it.routes);
        CHECK_EQ(not_repeatable, it.not_repeatable);
    }
}

TEST_CASE("durations have a whole number and a unit")
{
    using namespace std::chrono;
    CHECK(parse_duration("250ms") == milliseconds(250));
    CHECK(parse_duration("7d") == hours(168));
    for (const auto* it :
         {"", "5", "s", "-1s", "1.5s", "1 s", "1w", "99999999999999d"})
    {
        CAPTURE(it);
        CHECK_FALSE(parse_duration(it).has_value());
    }
    for (const auto* it : {"0s", "250ms", "90s", "10m", "36h", "7d"})
    {
        CHECK_EQ(format_duration(*parse_duration(it)), it);
    }
}
