// Guards against false positives, undetected deaths, and fleets that don't
// merge again after a pause or partition.

#include <LibMembership/fake_fleet.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace std::chrono_literals;
using membership::vm_state;
using tests::fake_fleet;

namespace {

/// Number of dead members in the tables of all live VMs.
std::size_t count_dead_records(fake_fleet& fleet)
{
    std::size_t count = 0;
    fleet.all([&](std::size_t n) {
        for (const auto& [id, it] : fleet.member(n).table().members())
        {
            count += it.record.state == vm_state::dead;
        }
        return true;
    });
    return count;
}

void join(fake_fleet& fleet)
{
    REQUIRE(
        fleet.run_until(
            [&] {
                return fleet.all_joined();
            },
            60s) < 60s);
}

} // namespace

TEST_CASE("a fleet joins through seeds, also under loss and duplicates")
{
    for (const std::uint64_t seed : {1, 2, 3})
    {
        CAPTURE(seed);
        tests::fake_options options;
        options.vms = 30;
        options.seed = seed;
        options.loss = 0.2;
        options.duplicates = 0.2;
        options.max_delay = 150ms;
        fake_fleet fleet(options);
        join(fleet);
    }
}

TEST_CASE("a live VM is not declared dead under 20% loss")
{
    for (const std::uint64_t seed : {1, 2, 3, 4, 5})
    {
        CAPTURE(seed);
        tests::fake_options options;
        options.vms = 12;
        options.seed = seed;
        fake_fleet fleet(options);
        join(fleet);
        fleet.set_loss(0.2);
        for (int second = 0; second < 300; ++second)
        {
            fleet.run(1s);
            REQUIRE_EQ(count_dead_records(fleet), 0);
        }
    }
}

TEST_CASE("a dead VM is known everywhere within seconds")
{
    for (const std::uint64_t seed : {1, 2, 3})
    {
        CAPTURE(seed);
        tests::fake_options options;
        options.seed = seed;
        options.loss = 0.05;
        fake_fleet fleet(options);
        join(fleet);
        fleet.at(4).up = false;
        // One period until some VM probes it, one until the probe times out,
        // 3 s of suspicion, and the propagation by gossip.
        CHECK(
            fleet.run_until(
                [&] {
                    return fleet.all_see(4, vm_state::dead);
                },
                30s) <= 12s);
        fleet.run(60s);
        CHECK(fleet.all_see(4, vm_state::dead));
    }
}

TEST_CASE("a restart under the same address replaces the old incarnation")
{
    for (const auto down : {500ms, 20000ms})
    {
        CAPTURE(down.count());
        fake_fleet fleet({});
        join(fleet);
        fleet.at(5).up = false;
        fleet.run(down);
        fleet.restart(5);
        const auto incarnation = fleet.at(5).incarnation;
        CHECK(
            fleet.run_until(
                [&] {
                    return fleet.all([&](std::size_t n) {
                        const auto* it = fleet.member(n).table().find("vm5");
                        return n == 5 ||
                               (it->record.state == vm_state::alive &&
                                it->record.incarnation >= incarnation);
                    });
                },
                30s) <= 12s);
        CHECK(fleet.all_joined());
    }
}

TEST_CASE("a VM that restarts with a lower incarnation still joins")
{
    fake_fleet fleet({});
    join(fleet);
    fleet.at(5).up = false;
    REQUIRE(
        fleet.run_until(
            [&] {
                return fleet.all_see(5, vm_state::dead);
            },
            30s) < 30s);
    // The incarnation is taken from a clock that was set back.
    fleet.at(5).incarnation -= 1001;
    fleet.restart(5);
    CHECK(
        fleet.run_until(
            [&] {
                return fleet.all_see(5, vm_state::alive);
            },
            30s) <= 12s);
}

TEST_CASE("a VM that resumes after a pause declares no VM dead and rejoins")
{
    for (const auto pause : {2s, 15s, 600s})
    {
        CAPTURE(pause.count());
        fake_fleet fleet({});
        join(fleet);
        fleet.at(2).paused = true;
        fleet.run(pause);
        fleet.at(2).paused = false;
        fleet.run(300ms);
        for (const auto& [id, it] : fleet.member(2).table().members())
        {
            CHECK(it.record.state != vm_state::dead);
        }
        CHECK(
            fleet.run_until(
                [&] {
                    return fleet.all_see(2, vm_state::alive);
                },
                30s) <= 12s);
        CHECK_EQ(count_dead_records(fleet), 0);
    }
}

TEST_CASE("loss in one direction between two VMs causes no false positive")
{
    fake_fleet fleet({});
    join(fleet);
    fleet.set_filter([](const auto& from, const auto& to, bool) {
        return from.id == "vm1" && to.id == "vm2";
    });
    for (int second = 0; second < 120; ++second)
    {
        fleet.run(1s);
        REQUIRE_EQ(count_dead_records(fleet), 0);
    }
}

TEST_CASE(
    "an unreachable VM is declared dead, one that receives nothing isolated")
{
    struct row
    {
        const char* what;
        bool hears;
        bool is_heard;
    };
    const row rows[] = {
        {"sends nothing", true, false},
        {"sends and receives nothing", false, false},
        {"receives nothing", false, true}};
    for (const auto& it : rows)
    {
        CAPTURE(it.what);
        fake_fleet fleet({});
        join(fleet);
        fleet.run(10s);
        fleet.set_filter([&](const auto& from, const auto& to, bool) {
            return (from.id == "vm3" && !it.is_heard) ||
                   (to.id == "vm3" && !it.hears);
        });
        fleet.run(20s);
        CHECK_EQ(fleet.member(3).isolated(), !it.hears);
        if (!it.is_heard)
        {
            CHECK(fleet.all([&](std::size_t n) {
                return n == 3 ||
                       fleet.member(n).table().find("vm3")->record.state ==
                           vm_state::dead;
            }));
        }
        CHECK(fleet.all([&](std::size_t n) {
            return n == 3 || !fleet.member(n).isolated();
        }));
        fleet.set_filter(nullptr);
        CHECK(
            fleet.run_until(
                [&] {
                    return fleet.all_joined() && !fleet.member(3).isolated();
                },
                60s) <= 12s);
    }
}

TEST_CASE("isolation is found within 5 s and a tick, not sooner")
{
    fake_fleet fleet({});
    join(fleet);
    fleet.run(10s);
    fleet.set_filter([](const auto& from, const auto& to, bool) {
        return from.id == "vm3" || to.id == "vm3";
    });
    const auto detection_time = fleet.run_until(
        [&] {
            return fleet.member(3).isolated();
        },
        30s);
    CHECK(detection_time <= 5200ms);
    CHECK(detection_time >= 2s);
    CHECK(fleet.member(3).publish(fleet.now())->isolated);
}

TEST_CASE("a VM with a dead region that receives from others is not isolated")
{
    tests::fake_options options;
    options.vms = 6;
    fake_fleet fleet(options);
    join(fleet);
    fleet.at(3).up = false;
    fleet.run(60s);
    CHECK_FALSE(fleet.member(0).isolated());
}

TEST_CASE("a leaving VM is known everywhere, and dead once it has stopped")
{
    fake_fleet fleet({});
    join(fleet);
    fleet.member(6).begin_leaving();
    CHECK(
        fleet.run_until(
            [&] {
                return fleet.all_see(6, vm_state::leaving);
            },
            30s) <= 8s);
    fleet.at(6).up = false;
    CHECK(
        fleet.run_until(
            [&] {
                return fleet.all_see(6, vm_state::dead);
            },
            60s) <= 20s);
}

TEST_CASE("overload and configuration version reach all VMs")
{
    fake_fleet fleet({});
    join(fleet);
    fleet.member(1).set_overloaded(true);
    fleet.member(1).set_config_version(12);
    const auto all_updated = [&] {
        return fleet.all([&](std::size_t n) {
            return fleet.member(n).table().self().config_version == 12 &&
                   (n == 1 ||
                    fleet.member(n).table().find("vm1")->record.overloaded);
        });
    };
    CHECK(fleet.run_until(all_updated, 60s) <= 12s);
}
