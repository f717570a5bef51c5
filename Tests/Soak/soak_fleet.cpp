// Settings files and processes of the VMs.

#include <Soak/soak_fleet.hpp>

#include <LibCore/text.hpp>

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>

namespace hyssoploft::soak {

namespace {

/// The smallest file that a limited process may write, in bytes.
constexpr rlim_t limited_file_bytes = 16;
constexpr int first_vm_host = 11;

std::string region_of(const std::string& data_center)
{
    return "region-" + data_center;
}

} // namespace

soak_fleet::soak_fleet(const fleet_layout& layout)
    : layout_(layout), vms_(layout.control + layout.entry)
{}

soak_fleet::~soak_fleet()
{
    for (const auto& it : vms_)
    {
        if (it.process != 0)
        {
            ::kill(it.process, SIGKILL);
            ::waitpid(it.process, nullptr, 0);
        }
    }
}

std::string soak_fleet::ip(std::size_t vm) const
{
    return core::concat(layout_.network, ".", first_vm_host + vm);
}

std::string soak_fleet::data_center(std::size_t vm) const
{
    const auto n = is_control(vm) ? vm : vm - layout_.control;
    return core::concat("dc", n % layout_.data_centers);
}

std::string soak_fleet::path(std::size_t vm, const char* suffix) const
{
    return core::concat(layout_.directory, "/vm", vm, suffix);
}

absl::Status
soak_fleet::write_settings(std::size_t vm, std::uint64_t turn) const
{
    const auto data_center_name = data_center(vm);
    std::ofstream out(path(vm, ".yaml"));
    out << "node-name: vm" << vm << "\nip: " << ip(vm)
        << "\nzone: " << data_center_name
        << "\nregion: " << region_of(data_center_name) << "\nzones:\n";
    for (std::size_t n = 0; n < layout_.data_centers; ++n)
    {
        const auto name = core::concat("dc", n);
        out << "  " << name << ": " << region_of(name) << "\n";
    }
    out << "listen:\n";
    if (is_control(vm))
    {
        out << "  control: \"" << ip(vm) << ":" << control_port << "\"\n";
    }
    else
    {
        out << "  front: \"" << ip(vm) << ":" << entry_port << "\"\n";
    }
    out << "port-range: [7600, 7615]\nseeds:\n";
    for (std::size_t n = 0; n < layout_.control; ++n)
    {
        out << "  - \"" << ip((n + turn) % layout_.control) << ":"
            << control_port << "\"\n";
    }
    out << "bootstrap: " << (vms_[vm].started_before ? "false" : "true")
        << "\nfault-tolerance: {machines: " << (layout_.control - 1) / 2
        << "}\nbounds: {grace-s: 4, budget-slack: 1000, quota-slack: 140000}\n";
    if (is_control(vm))
    {
        out << "data-dir: " << path(vm, ".data") << "\n";
    }
    out.flush();
    return out ? absl::OkStatus()
               : absl::UnavailableError("settings could not be written");
}

absl::Status soak_fleet::launch(std::size_t vm)
{
    if (auto status = write_settings(vm, 0); !status.ok())
    {
        return status;
    }
    std::filesystem::create_directories(path(vm, ".data"));
    // What the child needs is made before the fork.
    const auto settings = core::concat("--settings=", path(vm, ".yaml"));
    const auto log = path(vm, ".log");
    std::array<const char*, 4> arguments{
        layout_.program.c_str(), settings.c_str(),
        "--fleet_key=soak-key-of-one-run-0123", nullptr};
    const auto child = ::fork();
    if (child < 0)
    {
        return absl::UnavailableError(std::strerror(errno));
    }
    if (child == 0)
    {
        const int out =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execv(layout_.program.c_str(), const_cast<char**>(arguments.data()));
        ::_exit(127);
    }
    vms_[vm] = {child, false, false, true};
    return absl::OkStatus();
}

absl::Status soak_fleet::start()
{
    for (std::size_t vm = 0; vm < vms_.size(); ++vm)
    {
        if (auto status = launch(vm); !status.ok())
        {
            return status;
        }
    }
    return absl::OkStatus();
}

void soak_fleet::signal(std::size_t vm, int number)
{
    auto& it = vms_[vm];
    if (it.process == 0)
    {
        return;
    }
    it.signalled |= number == SIGKILL || number == SIGTERM;
    ::kill(it.process, number);
}

void soak_fleet::stop(std::size_t vm)
{
    vms_[vm].stopped = true;
    signal(vm, SIGKILL);
}

void soak_fleet::resume(std::size_t vm)
{
    vms_[vm].stopped = false;
}

void soak_fleet::lose_disk(std::size_t vm)
{
    poll();
    std::filesystem::remove_all(path(vm, ".data"));
}

void soak_fleet::limit_files(std::size_t vm, bool limited)
{
    const auto& it = vms_[vm];
    if (it.process == 0)
    {
        return;
    }
    rlimit bounds{};
    bounds.rlim_cur = limited ? limited_file_bytes : RLIM_INFINITY;
    bounds.rlim_max = RLIM_INFINITY;
    ::prlimit(it.process, RLIMIT_FSIZE, &bounds, nullptr);
}

void soak_fleet::change_settings(std::size_t vm, std::uint64_t turn)
{
    (void)write_settings(vm, turn);
    signal(vm, SIGHUP);
}

void soak_fleet::poll()
{
    for (std::size_t vm = 0; vm < vms_.size(); ++vm)
    {
        auto& it = vms_[vm];
        if (it.process != 0 && ::waitpid(it.process, nullptr, WNOHANG) > 0)
        {
            unexpected_ends_ += it.signalled ? 0 : 1;
            it.process = 0;
        }
        if (it.process == 0 && !it.stopped)
        {
            (void)launch(vm);
        }
    }
}

} // namespace hyssoploft::soak
