// Guards against tokens beyond burst and rate under any mix of faults, clock
// speeds and operator changes.

#include <LibRate/lease_world.hpp>
#include <LibRate/seeded_property.hpp>

#include <doctest.h>

#include <array>

using namespace hyssoploft;

namespace {

using fault = std::array<std::uint8_t, 3>; // Kind, argument, pause.

void act(tests::lease_world& world, const fault& it)
{
    const int vm = it[1] % 8;
    switch (it[0] % 11)
    {
    case 0:
        return world.cut(vm, true);
    case 1:
    case 2:
        return world.cut(vm, false);
    case 3:
        return world.restart(vm);
    case 4:
        return world.change_leader();
    case 5:
        return world.set_rate(0.25 + it[1] / 128.0);
    case 6:
        world.set_floor_fraction(0.1 + 0.1 * (it[1] % 9));
        return;
    case 7:
        return world.replace(vm);
    case 8:
        for (int n = 0; n < 8; ++n)
        {
            world.set_demand(n, (it[1] >> n) % 2 == 0 ? 1.0 : 0.02);
        }
        return;
    case 9:
        return world.toggle_other_account();
    default:
        return world.run(it[1] / 32.0);
    }
}

bool stays_within(std::uint64_t seed, tests::lease_world::options options)
{
    return tests::holds(
        seed, 150, 60,
        [=](std::uint64_t world_seed, const std::vector<fault>& faults) {
            auto chosen = options;
            chosen.seed = world_seed;
            tests::lease_world world(chosen);
            world.run(7);
            for (const auto& it : faults)
            {
                act(world, it);
                world.run(it[2] / 64.0);
            }
            RC_ASSERT(world.worst_share_sum() <= 1 + 1e-6);
            RC_ASSERT(world.worst_excess() <= 1e-3);
        });
}

} // namespace

TEST_CASE("property: admitted tokens never exceed burst + rate x window")
{
    struct network
    {
        const char* name;
        tests::lease_world::options options;
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
        CHECK(stays_within(++seed, it.options));
    }
}
