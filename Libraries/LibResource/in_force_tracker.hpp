#ifndef HYSSOPLOFT_LIBRESOURCE_IN_FORCE_TRACKER_HPP
#define HYSSOPLOFT_LIBRESOURCE_IN_FORCE_TRACKER_HPP

// Which VM has which version of the configuration in force, by its own
// reports.

#include <LibResource/configuration.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hyssoploft::resource {

struct in_force_report
{
    std::uint64_t incarnation = 0; ///< Of the VM's process.
    std::uint64_t version = 0;
};

class in_force_tracker
{
public:
    /// A report of the same process never lowers its version, because reports
    /// can arrive late; a newer process begins anew. False if it was ignored.
    bool report(const std::string& vm, in_force_report it);

    void forget(const std::string& vm);

    const std::map<std::string, in_force_report>& reports() const
    {
        return reports_;
    }

    /// Declared VMs that have not reported `version` or a newer one.
    std::vector<std::string>
    lacking(const fleet& declared, std::uint64_t version) const;

    /// The newest version that every declared VM has; 0 if one has not
    /// reported.
    std::uint64_t everywhere(const fleet& declared) const;

private:
    // Bounded by max_tracked_vms.
    std::map<std::string, in_force_report> reports_;
};

inline constexpr std::size_t max_tracked_vms = 4096;

} // namespace hyssoploft::resource

#endif
