#ifndef HYSSOPLOFT_LIBFLEET_LOAD_TABLE_HPP
#define HYSSOPLOFT_LIBFLEET_LOAD_TABLE_HPP

// Calls of all VMs at each upstream, as the VMs report them. Pure.

#include <LibCore/time.hpp>
#include <LibFleet/fleet_messages.hpp>

#include <map>
#include <string>
#include <vector>

namespace hyssoploft::fleet {

class load_table
{
public:
    /// Replaces what `vm` reported before.
    void report(
        const std::string& vm, std::vector<load_row> loads,
        core::time_point now);

    /// Sums over all VMs but `reader`; reports that are too old are left out.
    std::vector<load_row>
    others(const std::string& reader, core::time_point now) const;

    /// A VM that has ended or is cut off reports nothing more; its calls end.
    static constexpr core::duration report_life = std::chrono::seconds(2);

private:
    struct vm_report
    {
        std::vector<load_row> loads;
        core::time_point at{};
    };

    std::map<std::string, vm_report> reports_;
};

} // namespace hyssoploft::fleet

#endif
