#ifndef HYSSOPLOFT_SERVICES_HYSSOPLOFT_SETTINGS_HPP
#define HYSSOPLOFT_SERVICES_HYSSOPLOFT_SETTINGS_HPP

// Settings of the daemon, from flags and HYSSOPLOFT_* environment variables.
// A flag on the command line goes before the variable of the same name.

#include <LibControl/control_plane.hpp>
#include <LibCore/enum_table.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace hyssoploft::service {

enum class router_kind : std::uint8_t
{
    expected_time,
    round_robin,
    least_in_flight
};

inline constexpr core::enum_table<router_kind, 3> router_kind_names{
    {{router_kind::expected_time, "expected_time"},
     {router_kind::round_robin, "round_robin"},
     {router_kind::least_in_flight, "least_in_flight"}}};

enum class admission_kind : std::uint8_t
{
    fair,
    fifo
};

inline constexpr core::enum_table<admission_kind, 2> admission_kind_names{
    {{admission_kind::fair, "fair"}, {admission_kind::fifo, "fifo"}}};

struct settings
{
    control::control_options control; ///< Without the incarnation.
    std::string admin_address;
    std::string fleet_key;       ///< Signs frames and envelopes.
    std::string other_fleet_key; ///< Accepted as well; empty: none.
    std::string key_hash_secret;
    std::string operator_token;
    std::string upstream_token; ///< Empty: announcements need none.
    std::string trace_file;     ///< Empty: no spans.
    std::uint32_t traffic_threads = 1;
    std::uint32_t max_connections = 4096;
    router_kind router = router_kind::expected_time;
    admission_kind admission = admission_kind::fair;
};

/// Sets flags from the environment. Call before absl::ParseCommandLine().
/// INVALID_ARGUMENT with every variable that can't be read.
absl::Status read_environment();

/// The share of requests whose slow calls may go to a second upstream; 0: none.
/// INVALID_ARGUMENT if the flag is out of range.
absl::StatusOr<double> read_hedge_share();

/// Checks all flags and reads the secret files. INVALID_ARGUMENT with every
/// finding.
absl::StatusOr<settings> read_settings();

} // namespace hyssoploft::service

#endif
