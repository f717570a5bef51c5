#ifndef HYSSOPLOFT_TESTS_LIBROUTING_ENGINE_FLEET_MODEL_HPP
#define HYSSOPLOFT_TESTS_LIBROUTING_ENGINE_FLEET_MODEL_HPP

// Simulates engines with chunked prefill, and VMs that place calls there with
// one backlog_router each and exchange load reports. Uses virtual time and no
// network; a run is reproducible by its seed.

#include <LibCore/random_source.hpp>
#include <LibFleet/load_table.hpp>
#include <LibFleet/peer_loads.hpp>
#include <LibRouting/backlog_router.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace hyssoploft::test {

/// A kind of request to engines.
struct model_workload
{
    double share = 0; ///< Of the calls.
    double shared_tokens = 0;
    std::uint64_t shared_prefixes = 1;
    double own_tokens = 0; ///< Mean of a log-normal distribution.
    double own_sigma = 0;  ///< Sigma of that distribution.
    double max_own_tokens = 0;
    double events = 0;
    std::chrono::milliseconds latency_target{};
    std::chrono::milliseconds deadline{};
    std::uint32_t urgency = 0;               ///< 0 is the most urgent.
    std::set<std::string> residency_regions; ///< Empty: all regions.
};

struct model_region
{
    std::string name;
    std::size_t engines = 0;
    std::size_t vms = 0;
    double calls_per_second = 0;
};

struct model_options
{
    std::vector<model_region> regions;
    std::vector<model_workload> workloads;
    /// Calls that arrive at the same time.
    std::size_t burst_size = 3;
    std::chrono::milliseconds pause_target{400};
    std::chrono::milliseconds length{6000};
    /// Interval of load reports to and from control VMs.
    std::chrono::milliseconds exchange_interval{400};
    /// Interval of load notices to a region's hub and of its sums; 0: no hub.
    std::chrono::milliseconds notice_interval{50};
    std::uint64_t seed = 1;
    routing::backlog_settings router; ///< Of each VM.
};

struct model_result
{
    struct call
    {
        std::size_t workload = 0;
        std::uint32_t prompt_tokens = 0;
        bool refused = false;
        bool served = false; ///< Completed within its deadline.
        bool on_time = false;
        bool left_region = false;
    };

    std::vector<call> calls; ///< In order of arrival.
    /// Tokens of shared parts that an engine prefilled although one had
    /// prefilled them before.
    std::uint64_t tokens_read_again = 0;
    std::uint64_t tokens_found = 0; ///< Of shared parts, in caches.

    double missed() const
    {
        return static_cast<double>(tokens_read_again) /
               static_cast<double>(std::max<std::uint64_t>(
                   1, tokens_read_again + tokens_found));
    }

    std::size_t count(const std::function<bool(const call&)>& which) const;

    /// Share of the calls of one workload for which `what` holds.
    double share(std::size_t workload, bool call::*what) const;

    /// Same, among the largest tenth of the workload's prompts.
    double share_of_largest_tenth(std::size_t workload, bool call::*what) const;
};

/// Simulates `options.length` of arrivals until all accepted calls have ended.
model_result run_engine_fleet(const model_options& options);

/// Two workloads: long prompts with long answers, and short prompts with short
/// answers that are bound to two regions.
std::vector<model_workload> large_client_workloads();

} // namespace hyssoploft::test

#endif
