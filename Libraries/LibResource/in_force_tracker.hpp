#ifndef HYSSOPLOFT_LIBRESOURCE_IN_FORCE_TRACKER_HPP
#define HYSSOPLOFT_LIBRESOURCE_IN_FORCE_TRACKER_HPP

// Tracks the configuration version that each VM reports to have in force.

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
    /// can arrive late; a newer incarnation replaces it. False if the report
    /// was ignored.
    bool report(const std::string& vm, in_force_report it);

    void remove(const std::string& vm);

    const std::map<std::string, in_force_report>& reports() const
    {
        return reports_;
    }

    /// Declared VMs that have reported an older version than `version` or none.
    std::vector<std::string>
    lagging_vms(const fleet& declared, std::uint64_t version) const;

    /// The lowest version that a declared VM has in force; 0 if one has not
    /// reported.
    std::uint64_t min_version(const fleet& declared) const;

private:
    // Bounded by max_tracked_vms.
    std::map<std::string, in_force_report> reports_;
};

inline constexpr std::size_t max_tracked_vms = 4096;

} // namespace hyssoploft::resource

#endif
