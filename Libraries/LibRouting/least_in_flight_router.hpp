#ifndef HYSSOPLOFT_LIBROUTING_LEAST_IN_FLIGHT_ROUTER_HPP
#define HYSSOPLOFT_LIBROUTING_LEAST_IN_FLIGHT_ROUTER_HPP

// Baseline: the upstream with the fewest calls of this VM for its capacity,
// those of the VM's own region first. It ignores load reports.

#include <LibRouting/baseline_router.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace hyssoploft::routing {

class least_in_flight_router final : public baseline_router
{
public:
    void finished(
        const std::string& upstream, const routing_request& request,
        const call_result& result, core::time_point now) override;

private:
    const membership::upstream_record*
    pick(const candidates& found, const std::string& here) override;

    routing_reason reason() const override
    {
        return routing_reason::least_in_flight;
    }

    double load_of(const membership::upstream_record& it) const;

    std::map<std::string, std::uint32_t> in_flight_; // Only values above 0.
    std::uint64_t turn_ = 0;                         // Breaks ties in turn.
};

} // namespace hyssoploft::routing

#endif
