// Checks that a manifest that breaks a rule is rejected.

#include <LibManifest/manifest_rules.hpp>

#include <doctest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace hyssoploft;

namespace {

manifest::client_account
account(const char* name, std::vector<std::string> keys)
{
    manifest::client_account out;
    out.name = name;
    out.keys = std::move(keys);
    return out;
}

manifest::manifest valid_manifest()
{
    manifest::manifest out;
    out.version = 3;
    manifest::upstream_role role;
    role.name = "engine";
    out.roles.push_back(role);
    manifest::traffic_route route;
    route.name = "quotes";
    route.host = "a.example";
    route.path_prefix = "/q/";
    route.timeout = std::chrono::seconds(3);
    route.roles = {{"engine", 1.0}};
    out.routes.push_back(route);
    out.accounts.emplace().push_back(account("shop", {"k1", "k2"}));
    return out;
}

struct rule_case
{
    const char* name;
    std::function<void(manifest::manifest&)> make_invalid;
    const char* expected_text;
};

const rule_case cases[] = {
    {"unknown role",
     [](manifest::manifest& it) {
         it.routes[0].roles[0].role = "other";
     },
     "unknown role"},
    {"timeout of 0",
     [](manifest::manifest& it) {
         it.routes[0].timeout = {};
     },
     "timeout"},
    {"weights of 0",
     [](manifest::manifest& it) {
         it.routes[0].roles[0].weight = 0;
     },
     "weights"},
    {"same host and prefix",
     [](manifest::manifest& it) {
         it.routes.push_back(it.routes[0]);
     },
     "another route"},
    {"prefix without a slash",
     [](manifest::manifest& it) {
         it.routes[0].path_prefix = "/q";
     },
     "path_prefix"},
    {"shared key",
     [](manifest::manifest& it) {
         it.accounts->push_back(account("other", {"k2"}));
     },
     "shares a key"}};

} // namespace

TEST_CASE("a valid manifest is accepted")
{
    CHECK(manifest::check_manifest(valid_manifest()).ok());
}

TEST_CASE("a manifest that breaks a rule is rejected with a finding")
{
    for (const auto& it : cases)
    {
        CAPTURE(it.name);
        auto invalid = valid_manifest();
        it.make_invalid(invalid);
        const auto status = manifest::check_manifest(invalid);
        CHECK(status.code() == absl::StatusCode::kInvalidArgument);
        CHECK(
            std::string(status.message()).find(it.expected_text) !=
            std::string::npos);
    }
}

TEST_CASE("findings contain no key")
{
    auto invalid = valid_manifest();
    invalid.accounts->push_back(account("other", {"k2"}));
    const auto status = manifest::check_manifest(invalid);
    CHECK(std::string(status.message()).find("k2") == std::string::npos);
}
