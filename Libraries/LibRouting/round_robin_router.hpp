#ifndef HYSSOPLOFT_LIBROUTING_ROUND_ROBIN_ROUTER_HPP
#define HYSSOPLOFT_LIBROUTING_ROUND_ROBIN_ROUTER_HPP

// Baseline: upstreams in turn, those of the VM's own region first.

#include <LibRouting/router.hpp>

#include <cstdint>
#include <memory>

namespace hyssoploft::routing {

class round_robin_router final : public router
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
    std::uint64_t turn_ = 0;
};

} // namespace hyssoploft::routing

#endif
