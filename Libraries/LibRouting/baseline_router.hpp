#ifndef HYSSOPLOFT_LIBROUTING_BASELINE_ROUTER_HPP
#define HYSSOPLOFT_LIBROUTING_BASELINE_ROUTER_HPP

// Base class of the baseline routers: finds candidates in the newest view and
// ignores cache events.

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

    void record_result(
        const std::string& upstream, const routing_request& request,
        const call_result& result, core::time_point now) override;

    void apply_cache_event(
        const std::string& upstream, std::uint64_t sequence,
        const std::vector<std::uint64_t>& stored,
        const std::vector<std::uint64_t>& evicted,
        core::time_point now) override;

private:
    /// Picks one of the candidates, of which there is at least one.
    /// `local_region` is the VM's own region.
    virtual const membership::upstream_record*
    pick(const candidates& found, const std::string& local_region) = 0;

    /// The reason given for each decision of this baseline.
    virtual routing_reason reason() const = 0;

    std::shared_ptr<const membership::fleet_view> fleet_;
};

} // namespace hyssoploft::routing

#endif
