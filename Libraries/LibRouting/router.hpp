#ifndef HYSSOPLOFT_LIBROUTING_ROUTER_HPP
#define HYSSOPLOFT_LIBROUTING_ROUTER_HPP

// Interface of upstream selection. Implementations do no I/O and read no clock:
// all their input comes through these calls. Not thread safe; the gateway
// serializes the calls.

#include <LibCore/enum_table.hpp>
#include <LibCore/time.hpp>
#include <LibMembership/fleet_view.hpp>
#include <LibResource/configuration.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hyssoploft::routing {

enum class routing_reason : std::uint8_t
{
    only_candidate,
    shortest_expected_time,
    prefix_affinity,
    remote_gain,
    probe,
    round_robin,
    least_in_flight,
    last_resort ///< All candidates are ejected; this is one of them.
};

inline constexpr core::enum_table<routing_reason, 8> routing_reason_names{
    {{routing_reason::only_candidate, "only_candidate"},
     {routing_reason::shortest_expected_time, "shortest_expected_time"},
     {routing_reason::prefix_affinity, "prefix_affinity"},
     {routing_reason::remote_gain, "remote_gain"},
     {routing_reason::probe, "probe"},
     {routing_reason::round_robin, "round_robin"},
     {routing_reason::least_in_flight, "least_in_flight"},
     {routing_reason::last_resort, "last_resort"}}};

/// Why no upstream was chosen. In each case the call did not run.
enum class no_route_reason : std::uint8_t
{
    no_upstream,         ///< No upstream serves this model or role.
    residency_forbids,   ///< No upstream that serves it is allowed.
    all_ejected_or_full, ///< No allowed upstream accepts calls now.
    link_budget_exhausted
};

inline constexpr core::enum_table<no_route_reason, 4> no_route_reason_names{
    {{no_route_reason::no_upstream, "no_upstream"},
     {no_route_reason::residency_forbids, "residency_forbids"},
     {no_route_reason::all_ejected_or_full, "all_ejected_or_full"},
     {no_route_reason::link_budget_exhausted, "link_budget_exhausted"}}};

struct routing_request
{
    std::string account;
    std::string model; ///< Empty for a plain service.
    std::string adapter;
    std::string role; ///< Upstream role of the route.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answer_limit = 0; ///< Tokens.
    /// Hashes of growing prefixes of the prompt, shortest first, one for each
    /// block of prefix_block_tokens.
    std::vector<std::uint64_t> prefix_hashes;
    std::set<std::string> allowed_regions; ///< Empty: all.
    std::set<std::string> excluded;        ///< Upstreams already tried.
    resource::priority_class priority = resource::priority_class::interactive;
    double remote_price_seconds = 0;
    /// A request that was forwarded must stay in this VM's region.
    bool local_only = false;
};

inline constexpr std::uint32_t prefix_block_tokens = 64;

struct route_decision
{
    std::string upstream;
    std::string region;
    routing_reason reason = routing_reason::only_candidate;
    core::duration expected_first_token{};
};

struct routing_result
{
    bool chosen = false;
    route_decision decision; ///< Valid if chosen.
    no_route_reason refusal = no_route_reason::no_upstream; ///< If not.
};

enum class call_outcome : std::uint8_t
{
    completed,
    failed,            ///< Connection error, invalid response or 5xx.
    rejected_for_load, ///< Rejected for load; not a failure.
    cancelled          ///< The caller cancelled or disconnected.
};

struct call_result
{
    call_outcome outcome = call_outcome::completed;
    core::duration first_token{}; ///< 0 if none came.
    core::duration total{};
    std::uint32_t answer_tokens = 0;
    std::uint64_t bytes = 0; ///< Both directions, for link budgets.
};

class router
{
public:
    virtual ~router() = default;

    /// Installs the newest view; state of upstreams that remain is kept.
    virtual void update(
        std::shared_ptr<const membership::fleet_view> fleet,
        std::shared_ptr<const resource::configuration> configuration,
        core::time_point now) = 0;

    /// Chooses an upstream and counts the call as in flight there. Each
    /// successful choice must be followed by one call of record_result().
    virtual routing_result
    choose(const routing_request& request, core::time_point now) = 0;

    /// The first token of a chosen call arrived `since_choice` after
    /// choose(). Optional: without it the router learns a call's time to
    /// first token only when the call has finished.
    virtual void record_first_token(
        const std::string& /*upstream*/, const routing_request& /*request*/,
        core::duration /*since_choice*/, core::time_point /*now*/)
    {}

    virtual void record_result(
        const std::string& upstream, const routing_request& request,
        const call_result& result, core::time_point now) = 0;

    /// Applies a cache event of an upstream: the prefixes that it stored and
    /// evicted. Events may arrive late or be lost.
    virtual void apply_cache_event(
        const std::string& upstream, std::uint64_t sequence,
        const std::vector<std::uint64_t>& stored,
        const std::vector<std::uint64_t>& evicted, core::time_point now) = 0;
};

} // namespace hyssoploft::routing

#endif
