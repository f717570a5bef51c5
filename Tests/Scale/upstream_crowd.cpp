// Announces many upstreams from one process, for measurements of control
// traffic. They renew and report load as real ones do, but serve no calls.

#include <StandIns/announcer.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

ABSL_FLAG(std::uint32_t, upstreams, 30, "Number of upstreams, at most 1,000.");
ABSL_FLAG(
    std::vector<std::string>, vms, {},
    "HTTP addresses of VMs; upstream i announces to VM i modulo their number.");
ABSL_FLAG(
    std::string, address, "",
    "IP of the upstreams; the ports count from 20000.");

int main(int argc, char** argv)
{
    using namespace hyssoploft;
    absl::ParseCommandLine(argc, argv);
    const auto vms = absl::GetFlag(FLAGS_vms);
    const auto count = absl::GetFlag(FLAGS_upstreams);
    if (vms.empty() || count > 1000)
    {
        return 2;
    }
    const auto thread = std::make_shared<http::traffic_thread>();
    std::vector<std::shared_ptr<tests::announcer>> crowd;
    for (std::uint32_t n = 0; n < count; ++n)
    {
        // VM i is in region i modulo 3, as in fleet_scale.sh.
        const auto vm = n % vms.size();
        const std::vector<std::string> targets{
            vms[vm], vms[(vm + 3) % vms.size()]};
        const auto region = "r" + std::to_string(vm % 3);
        boost::json::object record{
            {"id", "crowd-" + std::to_string(n)},
            {"address",
             absl::GetFlag(FLAGS_address) + ":" + std::to_string(20000 + n)},
            {"role", "engine"},
            {"region", region},
            {"data_center", region + "-" + std::to_string(vm % 10)},
            {"models", boost::json::array{"quote-writer"}},
            {"capacity", 4}};
        crowd.push_back(std::make_shared<tests::announcer>(
            thread, std::move(record), targets));
        crowd.back()->start();
    }
    tests::wait_for_signal();
    thread->stop();
    return 0;
}
