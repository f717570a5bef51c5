// Entry point of the daemon.

#include "settings.hpp"
#include "vm_process.hpp"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <glog/logging.h>
#include <sys/stat.h>

#include <iostream>

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
