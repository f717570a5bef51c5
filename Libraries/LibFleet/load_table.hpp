#ifndef HYSSOPLOFT_LIBFLEET_LOAD_TABLE_HPP
#define HYSSOPLOFT_LIBFLEET_LOAD_TABLE_HPP

// Load on each upstream, aggregated from the reports of all VMs. Does no I/O.

#include <LibCore/time.hpp>
#include <LibFleet/fleet_messages.hpp>

#include <map>
#include <string>
#include <vector>

namespace hyssoploft::fleet {

class load_table
{
public:
    /// Replaces the previous report of `vm`. At most one row per upstream.
    void set_report(
        const std::string& vm, std::vector<load_row> loads,
        core::time_point now);

    /// Sums per upstream over all VMs except `excluded_vm`; expired reports are
    /// ignored.
    std::vector<load_row>
    sums_excluding(const std::string& excluded_vm, core::time_point now);

    /// Expires the report of a VM that has stopped or is partitioned; its calls
    /// end too.
    static constexpr core::duration report_lifetime = std::chrono::seconds(2);

private:
    struct vm_report
    {
        std::vector<load_row> loads;
        core::time_point received_at{};
    };

    using row_map = std::map<std::string, load_row>;

    void add_to_totals(const std::vector<load_row>& loads);
    static void subtract(row_map& totals, const std::vector<load_row>& loads);
    void remove_expired(core::time_point now);

    std::map<std::string, vm_report> reports_;
    // Sums of reports_ by upstream; each reply to a VM needs them.
    row_map totals_;
};

} // namespace hyssoploft::fleet

#endif
