// Validates a manifest and reports all findings together.

#include <LibManifest/manifest_rules.hpp>

#include <LibCore/findings.hpp>
#include <LibCore/text.hpp>

#include <cmath>
#include <map>
#include <utility>

namespace hyssoploft::manifest {

namespace {

void check_route(
    const traffic_route& it, const std::string& path,
    const std::set<std::string>& roles, core::findings& out)
{
    if (it.host.empty())
    {
        out.add({"", 0, path + ".host"}, "is empty");
    }
    const bool has_slashes = !it.path_prefix.empty() &&
                             it.path_prefix.front() == '/' &&
                             it.path_prefix.back() == '/';
    if (!has_slashes)
    {
        out.add(
            {"", 0, path + ".path_prefix"}, "must begin and end with \"/\"");
    }
    if (it.timeout <= core::duration())
    {
        out.add({"", 0, path + ".timeout"}, "must be greater than 0");
    }
    double weight_sum = 0;
    bool weights_valid = true;
    for (const auto& target : it.roles)
    {
        if (!roles.contains(target.role))
        {
            out.add(
                {"", 0, path + ".roles"},
                core::concat(
                    "refers to the unknown role \"", target.role, "\""));
        }
        weights_valid &= std::isfinite(target.weight) && target.weight >= 0;
        weight_sum += target.weight;
    }
    if (!weights_valid || !(weight_sum > 0))
    {
        out.add({"", 0, path + ".roles"}, "weights must add up to more than 0");
    }
}

void check_accounts(
    const std::vector<client_account>& accounts, core::findings& out)
{
    std::set<std::string> names;
    for (std::size_t n = 0; n < accounts.size(); ++n)
    {
        if (!names.insert(accounts[n].name).second)
        {
            out.add(
                {"", 0, core::concat("accounts[", n, "]")},
                "has the name of another account");
        }
    }
    std::map<std::string, std::string> account_by_key;
    for (std::size_t n = 0; n < accounts.size(); ++n)
    {
        const auto& account = accounts[n];
        for (const auto& key : account.keys)
        {
            const auto [found, added] =
                account_by_key.emplace(key, account.name);
            if (!added && found->second != account.name)
            {
                // Findings reach logs and responses, so they must not contain
                // the key itself.
                out.add(
                    {"", 0, core::concat("accounts[", n, "].keys")},
                    core::concat(
                        "shares a key with account \"", found->second, "\""));
            }
        }
    }
}

} // namespace

absl::Status check_manifest(const manifest& it)
{
    core::findings out;
    std::set<std::string> roles;
    for (std::size_t n = 0; n < it.roles.size(); ++n)
    {
        if (!roles.insert(it.roles[n].name).second)
        {
            out.add(
                {"", 0, core::concat("upstream_roles[", n, "]")},
                "has the name of another role");
        }
    }
    std::set<std::pair<std::string, std::string>> route_matches;
    for (std::size_t n = 0; n < it.routes.size(); ++n)
    {
        const auto path = core::concat("routes[", n, "]");
        check_route(it.routes[n], path, roles, out);
        if (!route_matches.emplace(it.routes[n].host, it.routes[n].path_prefix)
                 .second)
        {
            out.add(
                {"", 0, path}, "has the host and path prefix of another route");
        }
    }
    if (it.accounts)
    {
        check_accounts(*it.accounts, out);
    }
    return out.to_status();
}

} // namespace hyssoploft::manifest
