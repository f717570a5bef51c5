#ifndef HYSSOPLOFT_LIBMANIFEST_ROUTE_TABLE_HPP
#define HYSSOPLOFT_LIBMANIFEST_ROUTE_TABLE_HPP

// Lookup tables of one manifest: routes by host and path, accounts by key,
// roles by name. Immutable, so that traffic threads share it without locks.

#include <LibManifest/manifest.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hyssoploft::manifest {

class route_table
{
public:
    explicit route_table(manifest from);
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;

    const manifest& source() const
    {
        return source_;
    }

    std::uint64_t version() const
    {
        return source_.version;
    }

    /// The route of `host` with the longest prefix of `target`'s path. `host`
    /// may include a port; null if no route matches.
    const traffic_route*
    find_route(std::string_view host, std::string_view target) const;

    /// Whether requests of a route need the key of an account.
    bool needs_key(const traffic_route& it) const
    {
        return !it.open && source_.accounts.has_value();
    }

    /// Null for an unknown key, and for no key.
    const client_account* find_account(const std::string& key) const;

    /// Null for an unknown role.
    const upstream_role* find_role(const std::string& name) const;

    /// The shortest pause target of the routes that use a role; 0 if none
    /// has one.
    core::duration pause_target_of(const std::string& role) const;

private:
    void add_keys(const std::vector<client_account>& accounts);

    manifest source_; // Immutable: the maps point into it.
    std::unordered_map<
        std::string, std::unordered_map<std::string, const traffic_route*>>
        routes_; // By host and prefix.
    std::unordered_map<std::string, const client_account*> accounts_;
    std::unordered_map<std::string, const upstream_role*> roles_;
    std::unordered_map<std::string, core::duration> pause_targets_; // By role.
};

} // namespace hyssoploft::manifest

#endif
