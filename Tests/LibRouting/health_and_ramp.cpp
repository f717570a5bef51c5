// Guards against ejecting too many upstreams, never readmitting one, and
// overloading one that was just readmitted.

#include "fleet_builder.hpp"

#include <LibRouting/capacity_ramp.hpp>
#include <LibRouting/outlier_ejector.hpp>

#include <Support/seeded_property.hpp>

#include <doctest.h>

#include <cmath>
#include <functional>

using namespace hyssoploft;
using namespace hyssoploft::routing;
using namespace hyssoploft::tests;

namespace {

/// An ejector with a group of healthy upstreams.
struct test_group
{
    explicit test_group(int n)
    {
        for (int i = 0; i < n; ++i)
        {
            members.push_back(&ejector.add(std::to_string(i), "engine/a"));
        }
        for (int k = 0; k < 30; ++k)
        {
            for (upstream_health* it : members)
            {
                ejector.record_call(*it, false, true, 0.1, start);
                ejector.record_report(*it, false, start);
            }
        }
    }

    outlier_ejector ejector{ejector_settings()};
    std::vector<upstream_health*> members;
};

} // namespace

TEST_CASE("each kind of outlier is ejected for its cause")
{
    struct row
    {
        const char* name;
        std::function<void(outlier_ejector&, upstream_health&)> apply;
        ejection_cause want;
    };
    const row rows[] = {
        {"two failures in a row are not enough",
         [](auto& e, auto& it) {
             for (int i = 0; i < 2; ++i)
             {
                 e.record_call(it, true, false, 0, start);
             }
         },
         ejection_cause::none},
        {"three failures in a row",
         [](auto& e, auto& it) {
             for (int i = 0; i < 3; ++i)
             {
                 e.record_call(it, true, false, 0, start);
             }
         },
         ejection_cause::consecutive_failures},
        {"two failures of three calls",
         [](auto& e, auto& it) {
             for (int i = 0; i < 60; ++i)
             {
                 e.record_call(it, i % 3 != 0, false, 0, start);
             }
         },
         ejection_cause::error_rate},
        {"slow relative to its peers",
         [](auto& e, auto& it) {
             for (int i = 0; i < 60; ++i)
             {
                 e.record_call(it, false, true, std::log(5.0), start);
             }
         },
         ejection_cause::slow},
        {"reports that understate its load, and twice as slow",
         [](auto& e, auto& it) {
             for (int i = 0; i < 60; ++i)
             {
                 e.record_call(it, false, true, 0.1 + std::log(2.0), start);
                 e.record_report(it, true, start);
             }
         },
         ejection_cause::misreporting},
        {"twice as slow with right reports",
         [](auto& e, auto& it) {
             for (int i = 0; i < 60; ++i)
             {
                 e.record_call(it, false, true, 0.1 + std::log(2.0), start);
                 e.record_report(it, false, start);
             }
         },
         ejection_cause::none}};
    for (const row& it : rows)
    {
        CAPTURE(it.name);
        test_group group(4);
        it.apply(group.ejector, *group.members[0]);
        CHECK_EQ(group.members[0]->cause, it.want);
        CHECK_EQ(
            group.ejector.state(*group.members[0], start),
            it.want == ejection_cause::none ? health_state::healthy
                                            : health_state::ejected);
    }
}

TEST_CASE("understated reports are distrusted before any ejection")
{
    test_group group(4);
    upstream_health& it = *group.members[0];
    CHECK_FALSE(group.ejector.is_distrusted(it));
    for (int i = 0; i < 4; ++i)
    {
        group.ejector.record_report(it, true, start);
    }
    CHECK(group.ejector.is_distrusted(it));
    for (int i = 0; i < 60; ++i)
    {
        group.ejector.record_report(it, true, start);
    }
    CHECK_EQ(group.ejector.state(it, start), health_state::healthy);
}

TEST_CASE("no upstream is ejected if its whole group is slow")
{
    test_group group(4);
    for (int i = 0; i < 100; ++i)
    {
        for (upstream_health* it : group.members)
        {
            group.ejector.record_call(*it, false, true, 2.5, start);
        }
    }
    CHECK_EQ(group.ejector.ejected_count("engine/a"), 0);
}

TEST_CASE("no more than the maximum share of a group is ejected")
{
    CHECK(tests::holds(71, 100, [] {
        const int n = *rc::gen::inRange(1, 13);
        test_group group(n);
        const double share = ejector_settings().max_ejected_share;
        core::time_point now = start;
        for (int i = 0; i < 400; ++i)
        {
            now += *rc::gen::inRange(0, 2000) * 1ms;
            upstream_health& it = *group.members[static_cast<std::size_t>(
                *rc::gen::inRange(0, n))];
            const bool bad = *rc::gen::inRange(0, 4) != 0;
            if (group.ejector.state(it, now) == health_state::probing)
            {
                RC_ASSERT(!it.probe_running);
                group.ejector.begin_probe(it);
                group.ejector.end_probe(it, bad, 0, now);
            }
            else
            {
                group.ejector.record_call(it, bad, false, 0, now);
                group.ejector.record_report(it, bad, now);
            }
            RC_ASSERT(
                group.ejector.ejected_count("engine/a") <=
                std::floor(n * share));
        }
    }));
}

TEST_CASE(
    "probes readmit an upstream and a failed probe doubles its ejection time")
{
    const ejector_settings settings;
    test_group group(3);
    upstream_health& it = *group.members[0];
    for (int i = 0; i < 3; ++i)
    {
        group.ejector.record_call(it, true, false, 0, start);
    }
    CHECK_EQ(
        group.ejector.state(it, start + settings.initial_ejection_time - 1ns),
        health_state::ejected);
    core::time_point now = start + settings.initial_ejection_time;
    CHECK_EQ(group.ejector.state(it, now), health_state::probing);
    CHECK_FALSE(group.ejector.end_probe(it, true, 0, now));
    CHECK_EQ(it.ejected_until, now + 2 * settings.initial_ejection_time);
    now = it.ejected_until;
    CHECK_EQ(group.ejector.state(it, now), health_state::probing);
    // A slow probe fails as well.
    CHECK_FALSE(group.ejector.end_probe(it, false, std::log(6.0), now));
    now = it.ejected_until;
    CHECK_EQ(group.ejector.state(it, now), health_state::probing);
    for (std::uint32_t i = 1; i < settings.probes_to_readmit; ++i)
    {
        CHECK_FALSE(group.ejector.end_probe(it, false, 0, now));
    }
    CHECK(group.ejector.end_probe(it, false, 0, now));
    CHECK_EQ(group.ejector.state(it, now), health_state::healthy);
    // Failures from before the ejection don't count.
    group.ejector.record_call(it, true, false, 0, now);
    CHECK_EQ(group.ejector.state(it, now), health_state::healthy);
}

TEST_CASE("upstreams that don't serve don't count as group members")
{
    test_group group(3);
    group.members[2]->serving = false;
    for (int i = 0; i < 9; ++i)
    {
        group.ejector.record_call(*group.members[0], true, false, 0, start);
    }
    CHECK_EQ(group.ejector.ejected_count("engine/a"), 0);
    // It is used as a last choice instead.
    CHECK_GT(group.members[0]->last_choice_until, start);
}

TEST_CASE("the ramp grows from its initial share to 1")
{
    const ramp_settings settings;
    capacity_ramp ramp(settings);
    CHECK_EQ(ramp.share(start), doctest::Approx(1));
    ramp.start_ramp(start);
    CHECK_EQ(ramp.share(start), doctest::Approx(settings.initial_share));
    double last = 0;
    for (int i = 0; i <= 30; ++i)
    {
        const double share = ramp.share(start + i * settings.ramp_time / 30);
        CHECK_GT(share, last);
        last = share;
    }
    CHECK_EQ(last, doctest::Approx(1));
}
