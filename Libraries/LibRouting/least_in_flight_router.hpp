#ifndef HYSSOPLOFT_LIBROUTING_LEAST_IN_FLIGHT_ROUTER_HPP
#define HYSSOPLOFT_LIBROUTING_LEAST_IN_FLIGHT_ROUTER_HPP

// Baseline: the upstream with the fewest calls of this VM for its capacity,
// those of the VM's own region first. It ignores load reports.

#include <LibRouting/router.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace hyssoploft::routing {

class least_in_flight_router final : public router
{
public:
    void update(
        std::shared_ptr<const membership::fleet_view> fleet,
        std::shared_ptr<const resource::configuration> configuration,
        core::time_point now) override;

    routing_result
    choose(const routing_request& request, core::time_point now) override;

    void finished(
        const std::string& upstream, const routing_request& request,
        const call_result& result, core::time_point now) override;

    void cache_event(
        const std::string& upstream, std::uint64_t sequence,
        const std::vector<std::uint64_t>& stored,
        const std::vector<std::uint64_t>& evicted,
        core::time_point now) override;

private:
    std::shared_ptr<const membership::fleet_view> fleet_;
    std::map<std::string, std::uint32_t> in_flight_; // Only values above 0.
    std::uint64_t turn_ = 0;                         // Breaks ties in turn.
};

} // namespace hyssoploft::routing

#endif
