#ifndef HYSSOPLOFT_LIBROUTING_LEAST_IN_FLIGHT_ROUTER_HPP
#define HYSSOPLOFT_LIBROUTING_LEAST_IN_FLIGHT_ROUTER_HPP

// Baseline: chooses the upstream with the fewest calls of this VM relative to
// its capacity, in this VM's region if possible. Ignores load reports.

#include <LibRouting/baseline_router.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace hyssoploft::routing {

class least_in_flight_router final : public baseline_router
{
public:
    void record_result(
        const std::string& upstream, const routing_request& request,
        const call_result& result, core::time_point now) override;

private:
    const membership::upstream_record*
    pick(const candidates& found, const std::string& local_region) override;

    routing_reason reason() const override
    {
        return routing_reason::least_in_flight;
    }

    double load_of(const membership::upstream_record& it) const;

    std::map<std::string, std::uint32_t> in_flight_; // Only values above 0.
    std::uint64_t next_start_ = 0;                   // Rotates among ties.
};

} // namespace hyssoploft::routing

#endif
