#ifndef HYSSOPLOFT_LIBROUTING_BASELINE_ROUTER_HPP
#define HYSSOPLOFT_LIBROUTING_BASELINE_ROUTER_HPP

// What the baselines share: candidates come from the newest view, and cache
// events are ignored.

#include <LibRouting/candidate_filter.hpp>
#include <LibRouting/router.hpp>

#include <memory>

namespace hyssoploft::routing {

class baseline_router : public router
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
    /// Picks one of the candidates, of which there is at least one. `here` is
    /// the VM's own region.
    virtual const membership::upstream_record*
    pick(const candidates& found, const std::string& here) = 0;

    /// The reason that each decision of this baseline has.
    virtual routing_reason reason() const = 0;

    std::shared_ptr<const membership::fleet_view> fleet_;
};

} // namespace hyssoploft::routing

#endif
