#ifndef HYSSOPLOFT_LIBROUTING_EXPECTED_TIME_ROUTER_HPP
#define HYSSOPLOFT_LIBROUTING_EXPECTED_TIME_ROUTER_HPP

// Chooses the upstream with the shortest expected time to first token, from
// load estimates, cached prefixes, health and link budgets.

#include <LibCore/random_source.hpp>
#include <LibRouting/expected_time.hpp>
#include <LibRouting/link_budget.hpp>
#include <LibRouting/outlier_ejector.hpp>
#include <LibRouting/prefix_index.hpp>
#include <LibRouting/router.hpp>
#include <LibRouting/upstream_slot.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace hyssoploft::routing {

struct expected_time_settings
{
    load_settings load;
    prefix_settings prefix;
    ejector_settings ejector;
    ramp_settings ramp;
    link_settings link;
    expected_time_costs costs;
    /// Candidates within this part of the best time, or within the absolute
    /// margin, count as equal: the better of two random ones is chosen.
    double tie_share = 0.25;
    double tie_seconds = 0.01;
    /// An upstream with more estimated calls than this multiple of its
    /// capacity is full.
    double full_factor = 3.0;
    /// Cached prefixes count only at upstreams whose load is at most this
    /// multiple of the mean of the candidates, plus one call.
    double affinity_load_bound = 1.25;
    /// Bonus for a cached prefix when upstreams of one region are compared, as
    /// a part of the time that it saves. Not used between regions, because it
    /// would move calls to other regions' caches.
    double cache_bonus_share = 0.5;
    /// Pause after an upstream rejected a call for load.
    core::duration rejected_pause = std::chrono::milliseconds(500);
    double request_bytes_per_token = 5;
    double answer_bytes_per_token = 180; ///< One event per token.
};

/// The router's state of one upstream, for status pages and tests.
struct upstream_status
{
    double calls = 0;
    std::uint32_t own_in_flight = 0;
    service_rates rates;
    health_state health = health_state::healthy;
    ejection_cause cause = ejection_cause::none;
    double ramp_share = 1;
};

class expected_time_router final : public router
{
public:
    /// `random` must outlive the router.
    expected_time_router(
        const expected_time_settings& settings, core::random_source& random);

    void update(
        std::shared_ptr<const membership::fleet_view> fleet,
        std::shared_ptr<const resource::configuration> configuration,
        core::time_point now) override;

    routing_result
    choose(const routing_request& request, core::time_point now) override;

    void record_first_token(
        const std::string& upstream, const routing_request& request,
        core::duration since_choice, core::time_point now) override;

    void record_result(
        const std::string& upstream, const routing_request& request,
        const call_result& result, core::time_point now) override;

    void apply_cache_event(
        const std::string& upstream, std::uint64_t sequence,
        const std::vector<std::uint64_t>& stored,
        const std::vector<std::uint64_t>& evicted,
        core::time_point now) override;

    /// Returns defaults for an unknown upstream.
    upstream_status
    status_of(const std::string& upstream, core::time_point now) const;

private:
    void refresh(
        upstream_slot& it, const membership::upstream_record& record,
        core::time_point now);
    const std::vector<upstream_slot*>&
    serving_upstreams(const routing_request& request);
    std::vector<route_option> find_options(
        const routing_request& request, no_route_reason& refusal,
        core::time_point now);
    void drop_unaffordable(
        std::vector<route_option>& options, const link_cost& cost,
        core::time_point now);
    void apply_affinity(
        std::vector<route_option>& options, const routing_request& request,
        core::time_point now) const;
    route_option*
    find_probe(std::vector<route_option>& options, core::time_point now);
    void
    filter_ramping(std::vector<route_option>& options, core::time_point now);
    route_option* choose_among_ties(
        std::vector<route_option>& options, const route_option& best);
    routing_result commit(
        const route_option& it, const routing_request& request,
        routing_reason reason, core::time_point now);
    link_cost cost_of(const routing_request& request) const;

    expected_time_settings settings_;
    core::random_source& random_;
    std::shared_ptr<const membership::fleet_view> fleet_;
    std::string own_region_;        // This VM's region.
    std::string data_center_;       // This VM's data centre.
    double alive_vms_ = 1;          // VMs that are alive, including this one.
    std::uint32_t next_number_ = 0; // Next upstream_slot::number.
    std::map<std::string, std::unique_ptr<upstream_slot>> slots_;
    // Serving upstreams by role, model and adapter; cleared by update().
    std::unordered_map<std::string, std::vector<upstream_slot*>> matching_;
    expected_time times_;
    prefix_index prefixes_;
    outlier_ejector ejector_;
    link_budget links_;
};

} // namespace hyssoploft::routing

#endif
