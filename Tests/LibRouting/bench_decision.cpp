// Measures the time of one routing decision by number of upstreams, and its
// ratio to the round robin baseline.

#include "fleet_builder.hpp"

#include <LibRouting/expected_time_router.hpp>
#include <LibRouting/round_robin_router.hpp>

#include <chrono>
#include <cstdio>

using namespace hyssoploft;
using namespace hyssoploft::tests;

namespace {

/// Microseconds for one choose() and record_result(). Takes the best of five
/// runs, because other load on the machine only adds time.
double
measure_microseconds(routing::router& it, const routing::routing_request& call)
{
    using steady = std::chrono::steady_clock;
    constexpr int calls = 2000;
    double best = 1e9;
    for (int run = 0; run < 5; ++run)
    {
        const auto started_at = steady::now();
        for (int i = 0; i < calls; ++i)
        {
            const core::time_point now = start + i * 1ms;
            const auto got = it.choose(call, now);
            it.record_result(
                got.decision.upstream, call, answered(), now + 100us);
        }
        const std::chrono::duration<double, std::micro> elapsed =
            steady::now() - started_at;
        best = std::min(best, elapsed.count() / calls);
    }
    return best;
}

} // namespace

int main()
{
    std::printf(
        "%9s %14s %14s %14s %8s\n", "upstreams", "round_robin_us",
        "expected_us", "with_prefix_us", "ratio");
    for (const int n : {3, 12, 60, 150, 300, 600})
    {
        fleet_builder fleet;
        fleet.vms("a", 3).vms("b", 3).vms("c", 3);
        for (const char* region : {"a", "b", "c"})
        {
            fleet.upstreams(region, n / 3);
        }
        core::seeded_random random(1);
        routing::expected_time_router expected({}, random);
        routing::round_robin_router baseline;
        fleet.install(expected, start);
        fleet.install(baseline, start);
        routing::routing_request with_prefix = quote(2048);
        for (std::uint64_t i = 0; i < 32; ++i)
        {
            with_prefix.prefix_hashes.push_back(900 + i);
        }
        const double base = measure_microseconds(baseline, quote());
        const double plain = measure_microseconds(expected, quote());
        const double prefix = measure_microseconds(expected, with_prefix);
        std::printf(
            "%9d %14.2f %14.2f %14.2f %8.2f\n", n, base, plain, prefix,
            plain / base);
    }
}
