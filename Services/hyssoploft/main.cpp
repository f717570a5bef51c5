// Entry point of the daemon.

#include "fleet_process.hpp"
#include "settings.hpp"
#include "vm_process.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <glog/logging.h>
#include <sys/stat.h>

#include <cstdlib>
#include <iostream>

ABSL_FLAG(
    std::string, settings, "",
    "Settings file of the users' platform; the other flags are then unused, "
    "but for --fleet_key, --metrics_port and --hedge_share.");
ABSL_FLAG(
    std::string, fleet_key, "",
    "Key that signs messages between VMs on the users' platform.");
ABSL_FLAG(
    std::uint32_t, metrics_port, 0,
    "Port of the metrics page on the users' platform; 0: none.");

namespace {

/// A shorter key would not be accepted by the transport either.
constexpr std::size_t min_fleet_key_bytes = 16;

int run_on_platform()
{
    using namespace hyssoploft;
    service::fleet_process_options options;
    options.settings_path = absl::GetFlag(FLAGS_settings);
    options.fleet_key = absl::GetFlag(FLAGS_fleet_key);
    const auto port = absl::GetFlag(FLAGS_metrics_port);
    if (options.fleet_key.size() < min_fleet_key_bytes || port > 65535)
    {
        std::cerr << "--fleet_key needs at least 16 bytes and --metrics_port "
                     "at most 65535\n";
        return 2;
    }
    options.metrics_port = static_cast<std::uint16_t>(port);
    const auto hedge_share = service::read_hedge_share();
    if (!hedge_share.ok())
    {
        std::cerr << hedge_share.status().message() << '\n';
        return 2;
    }
    options.hedge_share = *hedge_share;
    auto process = service::fleet_process::create(options);
    if (!process.ok())
    {
        LOG(ERROR) << "start_failed error=\"" << process.status().ToString()
                   << "\"";
        return 1;
    }
    return (*process)->run();
}

} // namespace

int main(int argc, char** argv)
{
    using namespace hyssoploft;
    absl::SetProgramUsageMessage(
        "The process of one hyssoploft VM. Every flag can also be set by an "
        "environment variable, such as HYSSOPLOFT_REGION for --region.");
    // The data directory and the trace file are for this user only.
    ::umask(077);
    const auto environment = service::read_environment();
    absl::ParseCommandLine(argc, argv);
    // glog has flags of its own that Abseil does not know.
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    if (!environment.ok())
    {
        std::cerr << environment.message() << '\n';
        return 2;
    }
    if (!absl::GetFlag(FLAGS_settings).empty())
    {
        // The platform collects standard output.
        FLAGS_logtostderr = false;
        FLAGS_logtostdout = true;
        return run_on_platform();
    }
    const auto settings = service::read_settings();
    if (!settings.ok())
    {
        std::cerr << settings.status().message() << '\n';
        return 2;
    }
    auto process = service::vm_process::create(*settings);
    if (!process.ok())
    {
        LOG(ERROR) << "start_failed error=\"" << process.status().ToString()
                   << "\"";
        return 1;
    }
    return (*process)->run();
}
