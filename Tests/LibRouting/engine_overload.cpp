// Simulated overload of fleets with many engines and VMs: one region at its
// peak, and prompts that are large for their deadline.

#include "engine_fleet_model.hpp"

#include <doctest.h>

#include <array>

using namespace hyssoploft;
using test::model_options;
using test::model_result;

namespace {

constexpr std::size_t drafts = 0;
constexpr std::size_t tags = 1;

/// Required share of on-time calls: that of an average day of a large fleet.
constexpr double min_on_time_share = 0.57;

// Half of a large production fleet. One region has 2.5 times its mean load, the
// others about a quarter of theirs.
model_options region_at_peak(std::size_t peak, double load, std::uint64_t seed)
{
    model_options out;
    out.regions = {
        {"large", 23, 12, 146}, {"middle", 14, 14, 111}, {"small", 8, 15, 88}};
    for (std::size_t n = 0; n < out.regions.size(); ++n)
    {
        out.regions[n].calls_per_second *= load * (n == peak ? 2.5 : 0.23);
    }
    out.workloads = test::large_client_workloads();
    out.seed = seed;
    return out;
}

void report(
    const std::string& what, const model_result& result, std::size_t workload)
{
    using call = model_result::call;
    MESSAGE(
        what, ": served ", result.share(workload, &call::served), ", on time ",
        result.share(workload, &call::on_time), ", in other regions ",
        result.share(workload, &call::left_region), ", of the largest tenth ",
        result.share_of_largest_tenth(workload, &call::served), " and ",
        result.share_of_largest_tenth(workload, &call::on_time),
        ", shared parts missed ", result.missed());
}

} // namespace

// Guards against prefill that delays the running streams of a region's engines
// while the engines of other regions are idle.
TEST_CASE("streams of a region at its peak are not delayed by prefill")
{
    for (const std::size_t peak : {0U, 1U})
    {
        CAPTURE(peak);
        const auto result =
            test::run_engine_fleet(region_at_peak(peak, 1.0, 5 + peak));
        report("drafts", result, drafts);
        report("tags", result, tags);
        CHECK(
            result.share(drafts, &model_result::call::on_time) >=
            min_on_time_share);
        CHECK(
            result.share(tags, &model_result::call::on_time) >=
            min_on_time_share);
    }
}

// Guards against refusing a prompt because its prefill takes longer than the
// latency target although its deadline can be met.
TEST_CASE(
    "the largest prompts are served at least half as often as all prompts")
{
    for (const std::uint64_t seed : {11U, 12U})
    {
        CAPTURE(seed);
        const auto result =
            test::run_engine_fleet(region_at_peak(0, 2.0, seed));
        report("drafts", result, drafts);
        report("tags", result, tags);
        const auto all = result.share(drafts, &model_result::call::served);
        const auto largest =
            result.share_of_largest_tenth(drafts, &model_result::call::served);
        CHECK(largest >= 0.5 * all);
    }
}
