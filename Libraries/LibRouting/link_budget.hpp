#ifndef HYSSOPLOFT_LIBROUTING_LINK_BUDGET_HPP
#define HYSSOPLOFT_LIBROUTING_LINK_BUDGET_HPP

// Limits the bytes per second that this VM sends over each link between regions
// for calls to another region.

#include <LibCore/time.hpp>
#include <LibMembership/fleet_view.hpp>
#include <LibResource/configuration.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace hyssoploft::routing {

struct link_settings
{
    /// Part of a declared link that routed calls may use; the rest is reserved
    /// for control traffic and answers stored in another region.
    double usable_share = 0.5;
    /// Budget of an undeclared direction: enough for failover, too small to
    /// saturate a link.
    double undeclared_bytes_per_second = 1e6;
    /// Capacity of a bucket, in seconds of its rate.
    double burst_seconds = 2;
};

/// Cost of one call on the two directions of a link.
struct link_cost
{
    double out = 0; ///< Bytes towards the other region.
    double back = 0;
};

class link_budget
{
public:
    explicit link_budget(const link_settings& settings) : settings_(settings) {}

    /// Divides the declared rates by the number of VMs of this VM's region that
    /// are not dead, because they share the links.
    void update(
        const membership::fleet_view& fleet,
        const resource::configuration& configuration);

    bool has_budget(
        const std::string& region, const link_cost& cost, core::time_point now);

    void charge(
        const std::string& region, const link_cost& cost, core::time_point now);

    /// Replaces the estimate of a finished call by the bytes that it sent.
    void adjust(
        const std::string& region, const link_cost& estimate,
        std::uint64_t bytes, core::time_point now);

private:
    struct bucket
    {
        double rate = 0;   // Bytes per second.
        double credit = 0; // At most rate * burst_seconds; may be negative.
        core::time_point last_refill{};
        bool initialized = false; // False: the bucket starts full.
    };

    bucket& refill(
        const std::string& from, const std::string& to, core::time_point now);

    link_settings settings_;
    std::string own_region_;
    double sharing_vms_ = 1; // VMs that share the links, this one included.
    std::map<std::pair<std::string, std::string>, double> declared_;
    std::map<std::pair<std::string, std::string>, bucket> buckets_;
};

} // namespace hyssoploft::routing

#endif
