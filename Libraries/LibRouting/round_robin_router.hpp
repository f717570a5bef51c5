#ifndef HYSSOPLOFT_LIBROUTING_ROUND_ROBIN_ROUTER_HPP
#define HYSSOPLOFT_LIBROUTING_ROUND_ROBIN_ROUTER_HPP

// Baseline: upstreams in turn, those of the VM's own region first.

#include <LibRouting/baseline_router.hpp>

#include <cstdint>

namespace hyssoploft::routing {

class round_robin_router final : public baseline_router
{
private:
    const membership::upstream_record*
    pick(const candidates& found, const std::string& here) override;

    routing_reason reason() const override
    {
        return routing_reason::round_robin;
    }

    std::uint64_t turn_ = 0;
};

} // namespace hyssoploft::routing

#endif
