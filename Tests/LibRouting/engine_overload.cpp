// Guards against load patterns of fleets with many engines and many VMs: a
// region at its own peak, and prompts that are large for their deadline.

#include "engine_fleet_model.hpp"

#include <doctest.h>

#include <array>

using namespace hyssoploft;
using test::model_options;
using test::model_result;

namespace {

constexpr std::size_t drafts = 0;
constexpr std::size_t tags = 1;

/// What the users ask of a grown fleet's mean day, as a part of the credit.
constexpr double least_on_time = 0.57;

// Half of the users' larger fleet; one region is at 2.5 times its mean load,
// the others at a quarter of it.
model_options region_at_peak(std::size_t peak, double load, std::uint64_t seed)
{
    model_options out;
    out.regions = {
        {"large", 23, 12, 146}, {"middle", 14, 14, 111}, {"small", 8, 15, 88}};
    for (std::size_t n = 0; n < out.regions.size(); ++n)
    {
        out.regions[n].calls_per_second *= load * (n == peak ? 2.5 : 0.23);
    }
    out.workloads = test::shop_workloads();
    out.seed = seed;
    return out;
}

void report(
    const std::string& what, const model_result& seen, std::size_t workload)
{
    using call = model_result::call;
    MESSAGE(
        what, ": served ", seen.share(workload, &call::served), ", on time ",
        seen.share(workload, &call::on_time), ", in other regions ",
        seen.share(workload, &call::left_region), ", of the largest tenth ",
        seen.share_of_largest_tenth(workload, &call::served), " and ",
        seen.share_of_largest_tenth(workload, &call::on_time));
}

} // namespace

// Guards against engines whose running streams are stopped by the prompts
// that are read there, while the engines of other regions are idle.
TEST_CASE("streams of a region at its peak are not stopped by prompts")
{
    for (const std::size_t peak : {0U, 1U})
    {
        CAPTURE(peak);
        const auto seen =
            test::play_engine_fleet(region_at_peak(peak, 1.0, 5 + peak));
        report("drafts", seen, drafts);
        report("tags", seen, tags);
        CHECK(
            seen.share(drafts, &model_result::call::on_time) >= least_on_time);
        CHECK(seen.share(tags, &model_result::call::on_time) >= least_on_time);
    }
}

// Guards against refusing a prompt because reading it takes longer than the
// latency target, although its deadline leaves the time (incident SHORT).
TEST_CASE("the largest prompts are served half as often as all, or more")
{
    for (const std::uint64_t seed : {11U, 12U})
    {
        CAPTURE(seed);
        const auto seen = test::play_engine_fleet(region_at_peak(0, 2.0, seed));
        report("drafts", seen, drafts);
        report("tags", seen, tags);
        const auto all = seen.share(drafts, &model_result::call::served);
        const auto largest =
            seen.share_of_largest_tenth(drafts, &model_result::call::served);
        CHECK(largest >= 0.5 * all);
    }
}
