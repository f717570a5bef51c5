// Guards against findings that lose their place or their order.

#include <LibCore/enum_table.hpp>
#include <LibCore/findings.hpp>

#include <doctest.h>

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
