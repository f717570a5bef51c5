// Workloads and results of the engine fleet simulation.

#include "engine_fleet_model.hpp"

#include <algorithm>
#include <iterator>

namespace hyssoploft::test {

std::size_t
model_result::count(const std::function<bool(const call&)>& which) const
{
    return static_cast<std::size_t>(
        std::count_if(calls.begin(), calls.end(), which));
}

double model_result::share(std::size_t workload, bool call::*what) const
{
    const auto all = count([&](const call& it) {
        return it.workload == workload;
    });
    const auto matching = count([&](const call& it) {
        return it.workload == workload && it.*what;
    });
    return static_cast<double>(matching) /
           static_cast<double>(std::max<std::size_t>(1, all));
}

double model_result::share_of_largest_tenth(
    std::size_t workload, bool call::*what) const
{
    std::vector<call> of_workload;
    std::copy_if(
        calls.begin(), calls.end(), std::back_inserter(of_workload),
        [&](const call& it) {
            return it.workload == workload;
        });
    std::sort(
        of_workload.begin(), of_workload.end(),
        [](const auto& a, const auto& b) {
            return a.prompt_tokens > b.prompt_tokens;
        });
    of_workload.resize(std::max<std::size_t>(1, of_workload.size() / 10));
    const auto matching = std::count_if(
        of_workload.begin(), of_workload.end(), [&](const call& it) {
            return it.*what;
        });
    return static_cast<double>(matching) /
           static_cast<double>(of_workload.size());
}

std::vector<model_workload> large_client_workloads()
{
    model_workload draft;
    draft.share = 0.177;
    draft.shared_tokens = 5382;
    draft.shared_prefixes = 778;
    draft.own_tokens = 6610;
    draft.own_sigma = 1.4;
    draft.max_own_tokens = 54'600;
    draft.events = 38;
    draft.latency_target = std::chrono::milliseconds(800);
    draft.deadline = std::chrono::milliseconds(12'000);
    model_workload tag;
    tag.share = 0.823;
    tag.shared_tokens = 568;
    tag.shared_prefixes = 3616;
    tag.own_tokens = 1800;
    tag.own_sigma = 1.3;
    tag.max_own_tokens = 6870;
    tag.events = 2;
    tag.latency_target = std::chrono::milliseconds(600);
    tag.deadline = std::chrono::milliseconds(3000);
    tag.residency_regions = {"large", "middle"};
    return {draft, tag};
}

} // namespace hyssoploft::test
