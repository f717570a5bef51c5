// Builds and queries the lookup tables of a manifest.

#include <LibManifest/route_table.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace hyssoploft::manifest {

namespace {

// Host names are compared without case and port.
std::string normalize_host(std::string_view host)
{
    std::string out(host.substr(0, host.find(':')));
    std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return out;
}

} // namespace

route_table::route_table(manifest from) : source_(std::move(from))
{
    for (const auto& it : source_.routes)
    {
        routes_[normalize_host(it.host)].emplace(it.path_prefix, &it);
        for (const auto& weighted : it.roles)
        {
            if (it.pause_target <= core::duration())
            {
                continue;
            }
            const auto [found, added] =
                pause_targets_.try_emplace(weighted.role, it.pause_target);
            found->second = std::min(found->second, it.pause_target);
        }
    }
    if (source_.accounts)
    {
        add_keys(*source_.accounts);
    }
    for (const auto& it : source_.roles)
    {
        roles_.emplace(it.name, &it);
    }
}

void route_table::add_keys(const std::vector<client_account>& accounts)
{
    for (const auto& it : accounts)
    {
        for (const auto& key : it.keys)
        {
            // A request without a key must not match an account.
            if (!key.empty())
            {
                accounts_.emplace(key, &it);
            }
        }
    }
}

const traffic_route*
route_table::find_route(std::string_view host, std::string_view target) const
{
    const auto found = routes_.find(normalize_host(host));
    if (found == routes_.end())
    {
        return nullptr;
    }
    // Tries every prefix that ends with a slash, the longest first. Query and
    // fragment are cut off, because they can contain slashes too.
    std::string prefix(target.substr(0, target.find_first_of("?#")));
    for (;;)
    {
        const auto slash = prefix.rfind('/');
        if (slash == std::string::npos)
        {
            return nullptr;
        }
        prefix.resize(slash + 1);
        const auto route = found->second.find(prefix);
        if (route != found->second.end())
        {
            return route->second;
        }
        prefix.resize(slash);
    }
}

const client_account* route_table::find_account(const std::string& key) const
{
    const auto found = accounts_.find(key);
    return found == accounts_.end() ? nullptr : found->second;
}

const upstream_role* route_table::find_role(const std::string& name) const
{
    const auto found = roles_.find(name);
    return found == roles_.end() ? nullptr : found->second;
}

core::duration route_table::pause_target_of(const std::string& role) const
{
    const auto found = pause_targets_.find(role);
    return found == pause_targets_.end() ? core::duration() : found->second;
}

} // namespace hyssoploft::manifest
