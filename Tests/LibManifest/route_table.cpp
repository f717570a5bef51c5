// Checks that a request takes the route with the longest matching prefix.

#include <LibManifest/route_table.hpp>

#include <doctest.h>

using namespace hyssoploft;

namespace {

manifest::traffic_route
route(const char* name, const char* host, const char* prefix)
{
    manifest::traffic_route out;
    out.name = name;
    out.host = host;
    out.path_prefix = prefix;
    return out;
}

struct lookup_case
{
    const char* host;
    const char* target;
    const char* route; // Empty: none.
};

} // namespace

TEST_CASE("the route with the longest prefix of the host is selected")
{
    manifest::manifest source;
    source.routes = {
        route("root", "a.example", "/"), route("q", "a.example", "/q/"),
        route("deep", "a.example", "/q/deep/"), route("b", "b.example", "/q/")};
    const manifest::route_table table(source);
    const lookup_case cases[] = {{"a.example", "/q/1", "q"},
                                 {"a.example:8080", "/q/deep/1?x=/q/", "deep"},
                                 {"A.Example", "/q/deep", "q"},
                                 {"a.example", "/quotes/1", "root"},
                                 {"a.example", "/q", "root"},
                                 {"b.example", "/q/1", "b"},
                                 {"b.example", "/x/1", ""},
                                 {"c.example", "/q/1", ""},
                                 {"a.example", "", ""}};
    for (const auto& it : cases)
    {
        CAPTURE(it.target);
        const auto* found = table.find_route(it.host, it.target);
        CHECK((found ? found->name : std::string()) == it.route);
    }
}

TEST_CASE("an account is found by each of its keys")
{
    manifest::manifest source;
    manifest::client_account account;
    account.name = "shop";
    account.keys = {"k1", "k2"};
    source.accounts.emplace().push_back(account);
    const manifest::route_table table(source);
    REQUIRE(table.find_account("k2"));
    CHECK(table.find_account("k2")->name == "shop");
    CHECK(table.find_account("k3") == nullptr);
    CHECK(table.find_account("") == nullptr);
}

// Guards against a request without a key that runs for an account.
TEST_CASE("an empty key belongs to no account")
{
    manifest::manifest source;
    manifest::client_account account;
    account.keys = {"", "k1"};
    source.accounts.emplace().push_back(account);
    const manifest::route_table table(source);
    CHECK(table.find_account("k1") != nullptr);
    CHECK(table.find_account("") == nullptr);
}

TEST_CASE("a role's pause target is the shortest of its routes'")
{
    manifest::manifest source;
    for (const int ms : {0, 600, 400, 900})
    {
        auto it = route("r", "a.example", "/");
        it.path_prefix = "/" + std::to_string(ms) + "/";
        it.pause_target = std::chrono::milliseconds(ms);
        it.roles = {{"engine", 1}};
        source.routes.push_back(it);
    }
    const manifest::route_table table(source);
    CHECK(table.pause_target_of("engine") == std::chrono::milliseconds(400));
    CHECK(table.pause_target_of("other") == core::duration());
}
