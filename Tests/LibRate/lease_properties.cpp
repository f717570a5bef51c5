// Guards against admitting more tokens than burst and rate allow under any mix
// of network faults, restarts, clock speeds and changes of declared rates.

#include <LibRate/lease_simulation.hpp>
#include <LibRate/seeded_property.hpp>

#include <doctest.h>

#include <array>

using namespace hyssoploft;

namespace {

using fault = std::array<std::uint8_t, 3>; // Kind, argument, pause.

void apply_fault(tests::lease_simulation& simulation, const fault& it)
{
    const int vm = it[1] % 8;
    switch (it[0] % 11)
    {
    case 0:
        return simulation.set_isolated(vm, true);
    case 1:
    case 2:
        return simulation.set_isolated(vm, false);
    case 3:
        return simulation.restart(vm);
    case 4:
        return simulation.change_leader();
    case 5:
        return simulation.set_rate(0.25 + it[1] / 128.0);
    case 6:
        simulation.set_floor_fraction(0.1 + 0.1 * (it[1] % 9));
        return;
    case 7:
        return simulation.replace(vm);
    case 8:
        for (int n = 0; n < 8; ++n)
        {
            simulation.set_demand(n, (it[1] >> n) % 2 == 0 ? 1.0 : 0.02);
        }
        return;
    case 9:
        return simulation.toggle_other_account();
    default:
        return simulation.run(it[1] / 32.0);
    }
}

bool stays_within_rate(
    std::uint64_t seed, tests::lease_simulation::options options)
{
    return tests::holds(
        seed, 150, 60,
        [=](std::uint64_t simulation_seed, const std::vector<fault>& faults) {
            auto chosen = options;
            chosen.seed = simulation_seed;
            tests::lease_simulation simulation(chosen);
            simulation.run(7);
            for (const auto& it : faults)
            {
                apply_fault(simulation, it);
                simulation.run(it[2] / 64.0);
            }
            RC_ASSERT(simulation.max_share_sum() <= 1 + 1e-6);
            RC_ASSERT(simulation.max_excess() <= 1e-3);
        });
}

} // namespace

TEST_CASE("property: admitted tokens never exceed burst + rate x window")
{
    struct network
    {
        const char* name;
        tests::lease_simulation::options options;
    };
    const network table[] = {
        {"quiet", {1, 8, 1.01, 1.0, 0, 0, 20, 0}},
        {"lossy", {1, 8, 1.01, 1.0, 0.3, 0.3, 300, 0}},
        {"slow", {1, 8, 1.0, 1.0 / 1.01, 0.1, 0.5, 6000, 0}},
        {"reordered", {1, 8, 1.01, 1.0, 0.0, 0.9, 2500, 0}},
        {"settled", {1, 8, 1.01, 1.0, 0.1, 0.1, 100, 0.3}},
    };
    std::uint64_t seed = 100;
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        CHECK(stays_within_rate(++seed, it.options));
    }
}
