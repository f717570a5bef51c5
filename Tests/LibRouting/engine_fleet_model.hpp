#ifndef HYSSOPLOFT_TESTS_LIBROUTING_ENGINE_FLEET_MODEL_HPP
#define HYSSOPLOFT_TESTS_LIBROUTING_ENGINE_FLEET_MODEL_HPP

// Engines that read prompts in chunks between the tokens of their running
// streams, and VMs that place calls there with a backlog_router each and tell
// each other their loads. No network, no real clock; a seed repeats a run.

#include <LibCore/random_source.hpp>
#include <LibFleet/load_table.hpp>
#include <LibFleet/peer_loads.hpp>
#include <LibRouting/backlog_router.hpp>

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
    std::uint64_t subjects = 1;
    double own_tokens = 0; ///< Mean of a log-normal distribution.
    double own_spread = 0; ///< Its sigma.
    double max_own_tokens = 0;
    double events = 0;
    std::chrono::milliseconds latency_target{};
    std::chrono::milliseconds deadline{};
    std::set<std::string> homes; ///< Empty: all regions.
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
    /// Calls that arrive together.
    std::size_t clump = 3;
    std::chrono::milliseconds pause_target{400};
    std::chrono::milliseconds length{6000};
    /// Period of the exchange with control VMs.
    std::chrono::milliseconds exchange_interval{400};
    /// Period of the notices to a region's hub and of its sums; 0: none.
    std::chrono::milliseconds notice_interval{50};
    std::uint64_t seed = 1;
};

struct model_result
{
    struct call
    {
        std::size_t workload = 0;
        std::uint32_t prompt_tokens = 0;
        bool refused = false;
        bool served = false; ///< Whole, within its deadline.
        bool on_time = false;
        bool left_region = false;
    };

    std::vector<call> calls; ///< In order of arrival.

    std::size_t count(const std::function<bool(const call&)>& which) const;

    /// Part of the calls of one workload for which `what` holds.
    double share(std::size_t workload, bool call::*what) const;

    /// The same among the largest tenth of the workload's prompts.
    double share_of_largest_tenth(std::size_t workload, bool call::*what) const;
};

/// Plays `options.length` of arrivals and lets the accepted calls end.
model_result play_engine_fleet(const model_options& options);

/// Two workloads like those of the larger shops: long prompts with long
/// answers, and short prompts with short answers that stay in two regions.
std::vector<model_workload> shop_workloads();

} // namespace hyssoploft::test

#endif
