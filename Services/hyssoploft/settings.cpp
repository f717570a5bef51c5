// Flags of the daemon and their checks.

#include "settings.hpp"

#include <LibCore/findings.hpp>
#include <LibCore/keyed_hash.hpp>
#include <LibCore/text.hpp>
#include <LibHttp/connection_pool.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>
#include <cstdlib>
#include <vector>

ABSL_FLAG(std::string, vm, "", "Identifier of this VM, unique in the fleet.");
ABSL_FLAG(std::string, region, "", "Region of this VM.");
ABSL_FLAG(std::string, data_center, "", "Data centre of this VM.");
ABSL_FLAG(
    std::string, http_address, "",
    "IP:port for callers, upstreams and requests that VMs forward.");
ABSL_FLAG(std::string, admin_address, "", "IP:port for operators.");
ABSL_FLAG(
    std::string, peer_address, "",
    "IP:port, UDP and TCP, for the other VMs of the fleet.");
ABSL_FLAG(
    std::vector<std::string>, seeds, {},
    "Peer addresses of some other VMs, separated by commas.");
ABSL_FLAG(
    std::string, data_dir, "",
    "Directory for a replica of the log; empty: none on this VM.");
ABSL_FLAG(
    std::vector<std::string>, initial_voters, {},
    "Identifiers of the VMs that found a new fleet's log, on each of them.");
ABSL_FLAG(
    std::string, fleet_key_file, "",
    "File with the key that signs messages between VMs.");
ABSL_FLAG(
    std::uint32_t, fleet_key_id, 1,
    "Number of the fleet key, 1 to 255; a new key gets another one.");
ABSL_FLAG(
    std::string, other_fleet_key_file, "",
    "File with a second key that is accepted during a rotation.");
ABSL_FLAG(
    std::uint32_t, other_fleet_key_id, 2, "Number of the second fleet key.");
ABSL_FLAG(
    std::string, key_hash_secret_file, "",
    "File with the secret for hashes of callers' keys.");
ABSL_FLAG(
    std::string, operator_token_file, "", "File with the operators' token.");
ABSL_FLAG(
    std::string, upstream_token_file, "",
    "File with the token that upstreams announce with; empty: none.");
ABSL_FLAG(
    std::string, trace_file, "",
    "File to which spans are appended as OTLP JSON; empty: none.");
ABSL_FLAG(std::uint32_t, traffic_threads, 1, "Threads for requests, 1 to 64.");
ABSL_FLAG(
    std::uint32_t, max_connections, 4096, "Connections of callers at a time.");
ABSL_FLAG(
    std::string, router, "expected_time",
    "Choice of upstreams: expected_time, round_robin or least_in_flight.");
ABSL_FLAG(
    std::string, admission, "fair", "Order of waiting requests: fair or fifo.");
ABSL_FLAG(
    double, hedge_share, 0,
    "Share of a role's requests, 0 to 0.2, whose slow calls may go to a second "
    "upstream; 0: none. Only with --settings.");

namespace hyssoploft::service {

namespace {

constexpr const char* flag_names[] = {
    "settings",
    "fleet_key",
    "metrics_port",
    "vm",
    "region",
    "data_center",
    "http_address",
    "admin_address",
    "peer_address",
    "seeds",
    "data_dir",
    "initial_voters",
    "fleet_key_file",
    "fleet_key_id",
    "other_fleet_key_file",
    "other_fleet_key_id",
    "key_hash_secret_file",
    "operator_token_file",
    "upstream_token_file",
    "trace_file",
    "traffic_threads",
    "max_connections",
    "router",
    "admission",
    "hedge_share"};

constexpr std::size_t max_name_bytes = 64;
constexpr std::uint32_t max_traffic_threads = 64;
constexpr std::uint32_t max_key_id = 255;
/// The platform's usual limit on repeats, which second calls count toward.
constexpr double max_hedge_share = 0.2;

class checker
{
public:
    std::string name(const char* flag, std::string value)
    {
        const bool valid =
            !value.empty() && value.size() <= max_name_bytes &&
            std::all_of(value.begin(), value.end(), [](unsigned char c) {
                return absl::ascii_isalnum(c) || c == '-' || c == '_' ||
                       c == '.';
            });
        if (!valid)
        {
            add(flag, "is not 1 to 64 letters, digits, '-', '_' or '.'");
        }
        return value;
    }

    std::string address(const char* flag, std::string value)
    {
        if (!http::parse_endpoint(value).ok())
        {
            add(flag,
                core::concat("\"", value, "\" is not of the form IP:port"));
        }
        return value;
    }

    std::string secret(const char* flag, const std::string& path, bool required)
    {
        if (path.empty())
        {
            if (required)
            {
                add(flag, "is missing");
            }
            return {};
        }
        auto value = core::read_secret_file(path);
        if (!value.ok())
        {
            add(flag, std::string(value.status().message()));
            return {};
        }
        return *std::move(value);
    }

    std::uint32_t
    range(const char* flag, std::uint32_t value, std::uint32_t high)
    {
        if (value < 1 || value > high)
        {
            add(flag, core::concat("is not from 1 to ", high));
        }
        return value;
    }

    template <typename Enum, std::size_t Size>
    Enum choice(
        const char* flag, const core::enum_table<Enum, Size>& table,
        const std::string& value)
    {
        const auto it = core::value_of(table, value);
        if (!it)
        {
            add(flag, core::concat("\"", value, "\" is no known choice"));
        }
        return it.value_or(table.front().value);
    }

    void add(const char* flag, std::string message)
    {
        found_.add({"flags", 0, core::concat("--", flag)}, std::move(message));
    }

    absl::Status status() const
    {
        return found_.to_status();
    }

private:
    core::findings found_;
};

void read_control(checker& check, control::control_options& out)
{
    out.vm = check.name("vm", absl::GetFlag(FLAGS_vm));
    out.region = check.name("region", absl::GetFlag(FLAGS_region));
    out.data_center =
        check.name("data_center", absl::GetFlag(FLAGS_data_center));
    out.http_address =
        check.address("http_address", absl::GetFlag(FLAGS_http_address));
    out.peer_address =
        check.address("peer_address", absl::GetFlag(FLAGS_peer_address));
    for (const auto& it : absl::GetFlag(FLAGS_seeds))
    {
        out.seeds.push_back(check.address("seeds", it));
    }
    out.data_dir = absl::GetFlag(FLAGS_data_dir);
    for (const auto& it : absl::GetFlag(FLAGS_initial_voters))
    {
        out.initial_voters.push_back(check.name("initial_voters", it));
    }
    if (!out.initial_voters.empty() && out.data_dir.empty())
    {
        check.add("initial_voters", "needs --data_dir");
    }
}

void read_secrets(checker& check, settings& out)
{
    out.fleet_key = check.secret(
        "fleet_key_file", absl::GetFlag(FLAGS_fleet_key_file), true);
    out.other_fleet_key = check.secret(
        "other_fleet_key_file", absl::GetFlag(FLAGS_other_fleet_key_file),
        false);
    out.key_hash_secret = check.secret(
        "key_hash_secret_file", absl::GetFlag(FLAGS_key_hash_secret_file),
        true);
    out.operator_token = check.secret(
        "operator_token_file", absl::GetFlag(FLAGS_operator_token_file), true);
    out.upstream_token = check.secret(
        "upstream_token_file", absl::GetFlag(FLAGS_upstream_token_file), false);
    const auto id = check.range(
        "fleet_key_id", absl::GetFlag(FLAGS_fleet_key_id), max_key_id);
    const auto other_id = check.range(
        "other_fleet_key_id", absl::GetFlag(FLAGS_other_fleet_key_id),
        max_key_id);
    if (!out.other_fleet_key.empty() && id == other_id)
    {
        check.add("other_fleet_key_id", "is the number of the fleet key");
    }
    out.control.keys.current = {static_cast<std::uint8_t>(id), out.fleet_key};
    if (!out.other_fleet_key.empty())
    {
        out.control.keys.other = wire::fleet_key{
            static_cast<std::uint8_t>(other_id), out.other_fleet_key};
    }
}

} // namespace

absl::Status read_environment()
{
    core::findings found;
    for (const auto* name : flag_names)
    {
        const auto variable =
            core::concat("HYSSOPLOFT_", absl::AsciiStrToUpper(name));
        const char* value = std::getenv(variable.c_str());
        if (!value)
        {
            continue;
        }
        std::string error;
        auto* flag = absl::FindCommandLineFlag(name);
        if (flag && !flag->ParseFrom(value, &error))
        {
            found.add({"environment", 0, variable}, error);
        }
    }
    return found.to_status();
}

absl::StatusOr<double> read_hedge_share()
{
    const double share = absl::GetFlag(FLAGS_hedge_share);
    // False also for a value that is not a number.
    if (share >= 0 && share <= max_hedge_share)
    {
        return share;
    }
    return absl::InvalidArgumentError(core::concat(
        "--hedge_share: ", share, " is not from 0 to ", max_hedge_share));
}

absl::StatusOr<settings> read_settings()
{
    checker check;
    settings out;
    read_control(check, out.control);
    read_secrets(check, out);
    out.admin_address =
        check.address("admin_address", absl::GetFlag(FLAGS_admin_address));
    out.trace_file = absl::GetFlag(FLAGS_trace_file);
    out.traffic_threads = check.range(
        "traffic_threads", absl::GetFlag(FLAGS_traffic_threads),
        max_traffic_threads);
    out.max_connections = check.range(
        "max_connections", absl::GetFlag(FLAGS_max_connections), 1U << 20);
    out.router =
        check.choice("router", router_kind_names, absl::GetFlag(FLAGS_router));
    out.admission = check.choice(
        "admission", admission_kind_names, absl::GetFlag(FLAGS_admission));
    if (absl::GetFlag(FLAGS_hedge_share) != 0)
    {
        check.add("hedge_share", "needs --settings");
    }
    const auto status = check.status();
    if (!status.ok())
    {
        return status;
    }
    return out;
}

} // namespace hyssoploft::service
