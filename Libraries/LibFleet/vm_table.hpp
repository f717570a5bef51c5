#ifndef HYSSOPLOFT_LIBFLEET_VM_TABLE_HPP
#define HYSSOPLOFT_LIBFLEET_VM_TABLE_HPP

// VMs that report to this control VM. Changes are numbered, so that replies
// contain only rows that changed after the receiver's cursor. Does no I/O.

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
    /// `change_counter` is shared by all tables of the process.
    explicit vm_table(std::uint64_t& change_counter)
        : change_counter_(change_counter)
    {}

    /// Stores the report of a VM. True if the VM is new or its row changed.
    bool apply_report(const vm_row& it, core::time_point now);

    /// Marks VMs as dead after silence_timeout. True if one was marked.
    bool tick(core::time_point now);

    std::vector<vm_row> changed_since(std::uint64_t cursor) const;

    struct entry
    {
        vm_row row;
        std::uint64_t change_number = 0;
        core::time_point last_report_at{};
    };

    const std::map<std::string, entry>& entries() const
    {
        return entries_;
    }

    /// VMs report every few hundred milliseconds; this leaves time to replace a
    /// lost connection.
    static constexpr core::duration silence_timeout =
        std::chrono::milliseconds(2500);
    /// Longer than any reader of the directory keeps a VM.
    static constexpr core::duration removal_timeout = std::chrono::seconds(60);

private:
    std::uint64_t& change_counter_;
    std::map<std::string, entry> entries_;
};

} // namespace hyssoploft::fleet

#endif
