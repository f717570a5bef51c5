// Guards against a partitioned region that loses its members or upstreams, and
// against sides that don't find each other after the partition heals.

#include <LibMembership/fake_fleet.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace std::chrono_literals;
using membership::upstream_state;
using membership::vm_state;
using tests::fake_fleet;

namespace {

class fleet_with_upstreams
{
public:
    static constexpr std::size_t upstreams = 12;

    explicit fleet_with_upstreams(tests::fake_options options) : fleet(options)
    {
        REQUIRE(
            fleet.run_until(
                [&] {
                    return fleet.all_joined();
                },
                60s) < 60s);
        run(20s);
    }

    /// Upstream n announces itself to VM n % size, in that VM's region.
    void run(core::duration d)
    {
        const auto end = fleet.now() + d;
        while (fleet.now() < end)
        {
            if (fleet.now() >= next_announcement_)
            {
                ++sequence_;
                next_announcement_ = fleet.now() + 2s;
                for (std::size_t n = 0; n < upstreams; ++n)
                {
                    const auto vm = n % fleet.size();
                    if (fleet.at(vm).up && !fleet.at(vm).paused)
                    {
                        (void)fleet.member(vm).announce(
                            tests::make_upstream(n, vm % 3, sequence_),
                            fleet.now());
                    }
                }
            }
            fleet.run(100ms);
        }
    }

    core::duration
    until(const std::function<bool()>& condition, core::duration limit)
    {
        const auto start = fleet.now();
        while (!condition() && fleet.now() - start < limit)
        {
            run(100ms);
        }
        return fleet.now() - start;
    }

    bool sees_serving(std::size_t vm, std::size_t upstream)
    {
        const auto* it = fleet.member(vm).upstreams().find(
            core::concat("upstream", upstream));
        return it != nullptr && it->record.state == upstream_state::serving;
    }

    bool all_see_serving()
    {
        return fleet.all([&](std::size_t vm) {
            for (std::size_t n = 0; n < upstreams; ++n)
            {
                if (!sees_serving(vm, n))
                {
                    return false;
                }
            }
            return true;
        });
    }

    void partition_region(const std::string& region)
    {
        fleet.set_filter([region](const auto& from, const auto& to, bool) {
            return (from.region == region) != (to.region == region);
        });
    }

    fake_fleet fleet;

private:
    std::uint64_t sequence_ = 0;
    core::time_point next_announcement_{};
};

tests::fake_options lossy_options(std::uint64_t seed)
{
    tests::fake_options options;
    options.seed = seed;
    options.loss = 0.05;
    options.duplicates = 0.05;
    return options;
}

} // namespace

TEST_CASE("renewed upstreams stay usable on every VM")
{
    for (const std::uint64_t seed : {1, 2, 3})
    {
        CAPTURE(seed);
        fleet_with_upstreams it(lossy_options(seed));
        for (int second = 0; second < 120; ++second)
        {
            it.run(1s);
            REQUIRE(it.all_see_serving());
        }
    }
}

TEST_CASE("a leaving upstream is unusable everywhere within seconds")
{
    for (const std::uint64_t seed : {1, 2, 3, 4, 5})
    {
        CAPTURE(seed);
        fleet_with_upstreams it(lossy_options(seed));
        REQUIRE(it.fleet.member(4).leave("upstream4", 1, it.fleet.now()).ok());
        CHECK(
            it.until(
                [&] {
                    return it.fleet.all([&](std::size_t vm) {
                        return !it.sees_serving(vm, 4);
                    });
                },
                30s) <= 5s);
        // Renewals don't make it usable again.
        it.run(30s);
        CHECK(it.fleet.all([&](std::size_t vm) {
            return !it.sees_serving(vm, 4);
        }));
    }
}

TEST_CASE("a leaving upstream is unusable inside a partitioned region as well")
{
    for (const std::uint64_t seed : {1, 2, 3})
    {
        for (const auto partition_time : {0s, 3s, 60s})
        {
            CAPTURE(seed);
            CAPTURE(partition_time.count());
            fleet_with_upstreams it(lossy_options(seed));
            it.partition_region("region1");
            it.run(partition_time);
            REQUIRE(
                it.fleet.member(4).leave("upstream4", 1, it.fleet.now()).ok());
            CHECK(
                it.until(
                    [&] {
                        return !it.sees_serving(1, 4) &&
                               !it.sees_serving(4, 4) && !it.sees_serving(7, 4);
                    },
                    30s) <= 5s);
        }
    }
}

TEST_CASE("a cut-off region keeps its own, loses the others, and heals")
{
    for (const auto partition_time : {30s, 3600s})
    {
        CAPTURE(partition_time.count());
        fleet_with_upstreams it(lossy_options(1));
        it.partition_region("region1");
        it.run(partition_time);
        for (std::size_t vm = 0; vm < it.fleet.size(); ++vm)
        {
            CHECK_FALSE(it.fleet.member(vm).isolated());
            for (std::size_t n = 0; n < fleet_with_upstreams::upstreams; ++n)
            {
                const bool same_side =
                    (vm % 3 == 1) == (n % it.fleet.size() % 3 == 1);
                CHECK_EQ(it.sees_serving(vm, n), same_side);
            }
            for (const auto& [id, m] : it.fleet.member(vm).table().members())
            {
                const bool same_side = (it.fleet.at(vm).region == "region1") ==
                                       (m.record.region == "region1");
                CHECK_EQ(m.record.state != vm_state::dead, same_side);
            }
        }
        it.fleet.set_filter(nullptr);
        CHECK(
            it.until(
                [&] {
                    return it.fleet.all_joined() && it.all_see_serving();
                },
                120s) <= 30s);
    }
}

TEST_CASE("a VM that resumes after a long pause drops stale upstreams")
{
    fleet_with_upstreams it(lossy_options(1));
    it.fleet.at(8).paused = true;
    it.run(30s);
    REQUIRE(it.fleet.member(4).leave("upstream4", 1, it.fleet.now()).ok());
    // Long enough for the renewal byte to wrap around.
    it.run(600s);
    it.fleet.at(8).paused = false;
    it.run(200ms);
    CHECK_FALSE(it.sees_serving(8, 4));
    CHECK(
        it.until(
            [&] {
                return it.sees_serving(8, 0) && it.sees_serving(8, 5) &&
                       it.sees_serving(0, 0);
            },
            60s) <= 12s);
    CHECK_FALSE(it.sees_serving(8, 4));
    CHECK_FALSE(it.sees_serving(0, 4));
}

TEST_CASE("other regions receive a summary and no loads")
{
    fleet_with_upstreams it(lossy_options(2));
    membership::load_report load;
    load.running = 5;
    REQUIRE(
        it.fleet.member(4).report_load("upstream4", load, it.fleet.now()).ok());
    it.run(10s);
    CHECK_EQ(
        it.fleet.member(1).upstreams().find("upstream4")->record.load.running,
        5);
    CHECK_EQ(
        it.fleet.member(0).upstreams().find("upstream4")->record.load.running,
        0);
    const auto view = it.fleet.member(0).publish(it.fleet.now());
    REQUIRE(view->regions.count("region1") == 1);
    CHECK_EQ(view->regions.at("region1").upstreams, 4);
    CHECK_EQ(view->regions.at("region1").running, 5);
    CHECK_EQ(view->regions.count("region0"), 0);
}

TEST_CASE("an exchange between equal tables costs few bytes")
{
    fleet_with_upstreams it({});
    it.run(60s);
    const auto before = it.fleet.at(1).sent_by_type[3];
    it.run(60s);
    const auto& after = it.fleet.at(1).sent_by_type[3];
    REQUIRE(after.messages > before.messages);
    CHECK(
        (after.bytes - before.bytes) / (after.messages - before.messages) <
        700);
    CHECK(it.fleet.member(1).counters().syncs_without_changes > 0);
}
