#ifndef HYSSOPLOFT_LIBFLEET_VM_TABLE_HPP
#define HYSSOPLOFT_LIBFLEET_VM_TABLE_HPP

// The VMs that report to this control VM, with a number for each change, so
// that an answer carries changes only. Pure.

#include <LibCore/time.hpp>
#include <LibFleet/fleet_messages.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hyssoploft::fleet {

class vm_table
{
public:
    /// `counter` numbers the changes of all tables of this process.
    explicit vm_table(std::uint64_t& counter) : counter_(counter) {}

    /// A VM reported itself. True if it is new or described anew.
    bool hear(const vm_row& it, core::time_point now);

    /// Marks VMs that have not reported as dead. True if one was marked.
    bool tick(core::time_point now);

    std::vector<vm_row> changed_since(std::uint64_t cursor) const;

    struct entry
    {
        vm_row row;
        std::uint64_t changed = 0;
        core::time_point heard{};
    };

    const std::map<std::string, entry>& entries() const
    {
        return entries_;
    }

    /// A VM reports every few hundred milliseconds; this allows for a lost
    /// connection and its replacement.
    static constexpr core::duration silence = std::chrono::milliseconds(2500);
    /// Longer than any VM is remembered by readers of the directory.
    static constexpr core::duration forget_after = std::chrono::seconds(60);

private:
    std::uint64_t& counter_;
    std::map<std::string, entry> entries_;
};

} // namespace hyssoploft::fleet

#endif
