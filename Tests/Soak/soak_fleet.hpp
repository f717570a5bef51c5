#ifndef HYSSOPLOFT_TESTS_SOAK_SOAK_FLEET_HPP
#define HYSSOPLOFT_TESTS_SOAK_SOAK_FLEET_HPP

// The VMs of a soak: one process of the daemon each, on a loopback address of
// its own. Signals go only to processes that were started here.

#include <absl/status/status.h>

#include <cstdint>
#include <string>
#include <vector>

namespace hyssoploft::soak {

struct fleet_layout
{
    std::string program;     ///< Path of the daemon.
    std::string directory;   ///< For settings, data and logs.
    std::string network;     ///< First three numbers of all addresses.
    std::size_t control = 3; ///< VMs.
    std::size_t entry = 3;
    std::size_t data_centers = 2; ///< Each in a region of its own.
};

inline constexpr std::uint16_t entry_port = 8221;
inline constexpr std::uint16_t control_port = 8229;

class soak_fleet
{
public:
    explicit soak_fleet(const fleet_layout& layout);

    /// Ends all processes that are left.
    ~soak_fleet();

    soak_fleet(const soak_fleet&) = delete;
    soak_fleet& operator=(const soak_fleet&) = delete;

    /// Starts every VM. Errors of files and processes.
    absl::Status start();

    std::size_t size() const
    {
        return vms_.size();
    }

    bool is_control(std::size_t vm) const
    {
        return vm < layout_.control;
    }

    std::string ip(std::size_t vm) const;
    std::string data_center(std::size_t vm) const;

    /// A signal for the process of a VM; ignored if it does not run.
    void signal(std::size_t vm, int number);

    /// Kills the process; poll() does not start it before resume().
    void stop(std::size_t vm);
    void resume(std::size_t vm);

    /// The disk of a stopped control VM is lost.
    void lose_disk(std::size_t vm);

    /// While limited, the process can't make files larger than a few bytes.
    void limit_files(std::size_t vm, bool limited);

    /// Writes the settings anew, with the seeds in another order.
    void change_settings(std::size_t vm, std::uint64_t turn);

    /// Starts processes that ended. Call often.
    void poll();

    /// Ends of processes that nobody asked for.
    std::size_t unexpected_ends() const
    {
        return unexpected_ends_;
    }

private:
    struct vm_state
    {
        int process = 0; // 0: does not run.
        bool stopped = false;
        bool signalled = false; // Its end is expected.
        bool started_before = false;
    };

    absl::Status write_settings(std::size_t vm, std::uint64_t turn) const;
    absl::Status launch(std::size_t vm);
    std::string path(std::size_t vm, const char* suffix) const;

    const fleet_layout layout_;
    std::vector<vm_state> vms_; // Control VMs first.
    std::size_t unexpected_ends_ = 0;
};

} // namespace hyssoploft::soak

#endif
