#ifndef HYSSOPLOFT_LIBMANIFEST_MANIFEST_HPP
#define HYSSOPLOFT_LIBMANIFEST_MANIFEST_HPP

// The traffic configuration: routes by host and path, upstream roles, client
// accounts and limits on requests. It is versioned and replaced as a whole;
// the highest version takes effect.

#include <LibCore/enum_table.hpp>
#include <LibCore/time.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssoploft::manifest {

/// Whether and how requests of a route may be retried.
enum class repeat_kind : std::uint8_t
{
    idempotent,       ///< May run more than once.
    at_most_once,     ///< Runs at most once for each attempt of a caller.
    streamed,         ///< Event stream; runs at most once.
    resumable_stream, ///< Event stream; may resume at another upstream.
};

inline constexpr core::enum_table<repeat_kind, 4> repeat_kind_names{
    {{repeat_kind::idempotent, "idempotent"},
     {repeat_kind::at_most_once, "at_most_once"},
     {repeat_kind::streamed, "streamed"},
     {repeat_kind::resumable_stream, "resumable_stream"}}};

inline bool is_stream(repeat_kind it)
{
    return it == repeat_kind::streamed || it == repeat_kind::resumable_stream;
}

struct weighted_role
{
    std::string role;
    double weight = 1;
};

struct traffic_route
{
    std::string name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with a slash.
    repeat_kind repeat = repeat_kind::at_most_once;
    core::duration timeout{};        ///< Of the whole request.
    core::duration latency_target{}; ///< Until the response or the first event.
    core::duration pause_target{};   ///< Between two events.
    std::uint32_t priority = 0;      ///< 0 is the most urgent.
    std::uint32_t max_attempts = 1;  ///< Upstreams tried for one request.
    bool open = false;               ///< Needs no key.
    std::vector<weighted_role> roles; ///< Never empty in a valid manifest.
    std::set<std::string> homes;      ///< Home regions; empty: all.
};

/// Properties of the engines of a role; absent for plain services.
struct engine_traits
{
    std::uint32_t slots = 0;         ///< Requests that run concurrently.
    std::uint64_t memory_tokens = 0; ///< Running requests and cached prefixes.
    std::uint32_t tokens_per_event = 1;
};

struct upstream_role
{
    std::string name;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< To one upstream, from all VMs.
    double cold_requests_per_second = 0;
    bool is_engine = false;
    engine_traits engine; ///< Valid if is_engine.
};

struct client_account
{
    std::string name;
    std::vector<std::string> keys;
    bool has_priority = false;
    std::uint32_t priority = 0;   ///< Overrides the route's if has_priority.
    double tokens_per_second = 0; ///< 0: no limit.
    double burst_tokens = 0;
    double plain_tokens = 1; ///< Charged for a request without a token count.
    bool counts_requests = false; ///< Rate and burst count requests instead.
    std::set<std::string> homes;  ///< Home regions; empty: all.
};

/// Limits on what callers send.
struct caller_limits
{
    std::uint64_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 4 << 20;
    core::duration header_timeout = std::chrono::seconds(3);
    core::duration idle_timeout = std::chrono::seconds(15);
};

struct manifest
{
    std::uint64_t version = 0;
    std::vector<traffic_route> routes;
    std::vector<upstream_role> roles;
    /// Absent: requests need no key. Empty: no key is valid, so that only open
    /// routes are served.
    std::optional<std::vector<client_account>> accounts;
    caller_limits limits;
};

} // namespace hyssoploft::manifest

#endif
