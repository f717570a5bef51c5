#ifndef HYSSOPLOFT_LIBROUTING_ROUND_ROBIN_ROUTER_HPP
#define HYSSOPLOFT_LIBROUTING_ROUND_ROBIN_ROUTER_HPP

// Baseline: round robin over the upstreams of this VM's region, or over all if
// it has none.

#include <LibRouting/baseline_router.hpp>

#include <cstdint>

namespace hyssoploft::routing {

class round_robin_router final : public baseline_router
{
private:
    const membership::upstream_record*
    pick(const candidates& found, const std::string& local_region) override;

    routing_reason reason() const override
    {
        return routing_reason::round_robin;
    }

    std::uint64_t next_index_ = 0;
};

} // namespace hyssoploft::routing

#endif
