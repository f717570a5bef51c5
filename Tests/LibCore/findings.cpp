// Guards against findings that lose their place or their order.

#include <LibCore/enum_table.hpp>
#include <LibCore/findings.hpp>

#include <doctest.h>

#include <cstddef>
#include <string>

using namespace hyssoploft;

TEST_CASE("findings are reported together with their place")
{
    core::findings found;
    CHECK(found.to_status().ok());
    found.add({"fleet.yaml", 3, "routes[0].model"}, "is missing");
    found.add({"flags", 0, "--region"}, "is empty");
    found.add({}, "no place");
    CHECK_EQ(
        std::string(found.to_status().message()),
        "fleet.yaml:3: routes[0].model: is missing\n"
        "flags: --region: is empty\n"
        "no place");
}

// One input of a megabyte can have a finding in every few bytes.
TEST_CASE("findings of a broken input are bounded, and the rest is counted")
{
    constexpr std::size_t count = 100'000;
    core::findings found;
    for (std::size_t n = 0; n < count; ++n)
    {
        found.add({"", 0, "routes[" + std::to_string(n) + "]"}, "is wrong");
    }
    found.leave_out(5);
    CHECK(found.is_full());
    CHECK_FALSE(found.empty());
    CHECK_EQ(found.size(), count + 5);
    CHECK_EQ(found.items().size(), core::findings::max_items);
    const std::string text(found.to_status().message());
    CHECK_EQ(text.rfind("routes[0]: is wrong\n", 0), 0);
    CHECK(
        text.find(
            "\nand " + std::to_string(count + 5 - core::findings::max_items) +
            " more") != std::string::npos);
}

TEST_CASE("long texts of a finding are cut between two characters")
{
    const std::string euro = "\xe2\x82\xac";
    std::string name;
    while (name.size() < 1'000'000)
    {
        name += euro;
    }
    core::findings found;
    found.add({"", 0, name}, name);
    const auto& it = found.items().at(0);
    for (const auto& text : {it.where.field, it.message})
    {
        CHECK(text.size() <= core::findings::max_text_bytes);
        CHECK_EQ(text.substr(text.size() - 6), euro + "...");
    }
}

TEST_CASE("entries that are left out make an input invalid")
{
    core::findings found;
    found.leave_out(1);
    CHECK_FALSE(found.empty());
    CHECK(absl::IsInvalidArgument(found.to_status()));
}

TEST_CASE("enumeration tables translate both ways")
{
    enum class colour
    {
        red,
        blue,
        green
    };
    constexpr core::enum_table<colour, 2> names{
        {{colour::red, "red"}, {colour::blue, "blue"}}};
    CHECK_EQ(core::name_of(names, colour::blue), "blue");
    CHECK_EQ(core::name_of(names, colour::green), "unknown");
    CHECK(core::value_of(names, "red") == colour::red);
    CHECK_FALSE(core::value_of(names, "yellow").has_value());
}
