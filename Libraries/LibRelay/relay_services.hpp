#ifndef HYSSOPLOFT_LIBRELAY_RELAY_SERVICES_HPP
#define HYSSOPLOFT_LIBRELAY_RELAY_SERVICES_HPP

// State shared by the requests of one VM. Used on the traffic thread only,
// unless stated otherwise at a member.

#include <LibCore/clock.hpp>
#include <LibCore/random_source.hpp>
#include <LibFleet/traffic_view.hpp>
#include <LibManifest/manifest.hpp>
#include <LibRate/credit_lender.hpp>
#include <LibRate/rate_limiter.hpp>
#include <LibRelay/call_codec.hpp>
#include <LibRelay/prompt_guard.hpp>
#include <LibRelay/request_log.hpp>
#include <LibRetry/attempt_budget.hpp>
#include <LibRetry/slow_answer_policy.hpp>
#include <LibRouting/backlog_router.hpp>
#include <LibTelemetry/metrics.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace hyssoploft::relay {

/// Retry budget of a role, summed over all VMs.
struct repeat_limits
{
    double share = 0.2; ///< Retries as a fraction of the role's requests.
    double slack = 0;   ///< Retries per window in addition.
    core::duration window = std::chrono::seconds(10);
};

class relay_run;

struct relay_services
{
    std::string vm;
    std::string region;
    std::string fleet_key; ///< Signs calls between VMs.
    repeat_limits repeats;
    /// Limit on second calls for slow answers, as a share of a role's requests;
    /// 0: none.
    double hedge_share = 0;
    std::shared_ptr<fleet::traffic_source> source;
    std::shared_ptr<const call_codec> codec;
    std::shared_ptr<rate::rate_limiter> rates;
    std::shared_ptr<rate::credit_lender> lender;   ///< May be null.
    std::shared_ptr<fleet::suspect_sink> suspects; ///< Never null.
    std::shared_ptr<fleet::leave_sink> leaves;     ///< Never null.
    std::shared_ptr<core::clock> clock;
    core::random_source* random = nullptr; ///< Outlives the services.
    telemetry::metrics* metrics = nullptr; ///< Outlives the services.
    std::unique_ptr<routing::backlog_router> router;
    std::map<std::string, retry::attempt_budget> retry_budgets;    ///< By role.
    std::map<std::string, retry::slow_answer_policy> slow_answers; ///< By role.
    prompt_guard guard;
    request_log log;
    /// Set by the shutdown thread.
    std::atomic<bool> is_draining{false};
    /// Requests get their final answer now: the process is about to end.
    bool is_ending = false;
    std::set<relay_run*> open_runs; ///< Each from start to end of its run().
};

/// The retry budget of a role, with this VM's part of the fleet-wide slack.
inline retry::attempt_budget&
retry_budget_for(relay_services& services, const std::string& role)
{
    const auto& limits = services.repeats;
    const auto slack = static_cast<std::uint32_t>(
        limits.slack / services.source->view()->entry_vms);
    const auto [found, added] = services.retry_budgets.try_emplace(
        role, limits.share, slack, limits.window);
    found->second.set_constant(slack);
    return found->second;
}

/// The policy on slow answers of a role; null if it is switched off.
inline retry::slow_answer_policy*
slow_answers_for(relay_services& services, const std::string& role)
{
    if (services.hedge_share <= 0)
    {
        return nullptr;
    }
    retry::slow_answer_settings settings;
    settings.share = services.hedge_share;
    return &services.slow_answers.try_emplace(role, settings).first->second;
}

/// Properties of a request that are determined at admission.
struct request_terms
{
    std::string request_id;
    std::string route;   ///< Name; empty if another VM forwarded it.
    std::string role;    ///< Of the upstreams to choose from.
    std::string account; ///< Empty on an open route.
    manifest::repeat_kind repeat = manifest::repeat_kind::at_most_once;
    bool is_engine = false;
    std::uint64_t memory_tokens = 0; ///< Memory of each engine.
    core::duration latency_target{};
    core::duration pause_target{};
    core::time_point arrived{};
    core::time_point deadline{};
    std::uint32_t urgency = 0;
    std::uint32_t max_executions = 1; ///< Limit on upstreams that may run it.
    std::set<std::string> allowed_regions; ///< Empty: all.
    /// Sent although a part of its prompt is quarantined: as a trial, or as an
    /// upstream has generated events for it.
    bool ignores_quarantine = false;
    bool relayed = false; ///< Forwarded by another VM; stays in this region.
    std::uint64_t manifest_version = 0; ///< That admitted it, unless relayed.
    call_head head;
    double rate_tokens = 0;     ///< Charged to the account's rate; may be 0.
    double borrowed_tokens = 0; ///< Lent by control VMs for this request.
    std::optional<rate::reservation> reserved;
};

} // namespace hyssoploft::relay

#endif
