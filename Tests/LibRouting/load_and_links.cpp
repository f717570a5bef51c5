// Guards against counting own calls twice, trusting old reports for too long,
// and exceeding the budget of a link.

#include "fleet_builder.hpp"

#include <LibRouting/link_budget.hpp>
#include <LibRouting/load_estimate.hpp>
#include <LibRouting/service_rate_estimator.hpp>

#include <Support/seeded_property.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::routing;
using namespace hyssoploft::tests;

namespace {

own_call call_at(core::time_point when, std::uint32_t prompt = 100)
{
    own_call it;
    it.start = when;
    it.prompt_tokens = prompt;
    it.uncached_tokens = prompt;
    it.first_token = 200ms;
    return it;
}

membership::load_report reported(
    std::uint64_t sequence, std::uint32_t running, core::time_point received,
    core::duration lag)
{
    return {sequence, running, 0, 0, received, lag};
}

} // namespace

TEST_CASE("own calls that a report includes are not counted twice")
{
    load_estimate load({});
    load.add_call(call_at(start));
    load.add_call(call_at(start));
    load.add_call(call_at(start + 2s));
    // Measured at 1 s: two own calls and three of other VMs.
    CHECK(load.apply_report(reported(1, 5, start + 2s, 1s)));
    CHECK_EQ(load.calls(start + 1s), doctest::Approx(6));
    CHECK_FALSE(load.apply_report(reported(1, 5, start + 2s, 1s)));
    // One own call ends after the measurement.
    CHECK(load.remove_call(100, 0, 2s, start + 2s).has_value());
    CHECK_EQ(load.own_in_flight(), 2);
    CHECK_EQ(load.calls(start + 1s), doctest::Approx(5));
    CHECK_FALSE(load.remove_call(999, 0, 2s, start + 2s).has_value());
    // It still counts as own in a report that describes an earlier time.
    CHECK(load.apply_report(reported(2, 5, start + 3s, 1500ms)));
    CHECK_EQ(load.calls(start + 1500ms), doctest::Approx(5));
}

TEST_CASE(
    "the estimate moves from an old report to the mean of other VMs' calls")
{
    load_estimate load({});
    for (std::uint64_t i = 1; i <= 50; ++i)
    {
        load.apply_report(reported(i, 4, start, 0s));
    }
    load.apply_report(reported(51, 24, start, 0s));
    CHECK_EQ(load.calls(start), doctest::Approx(24));
    CHECK_LT(load.calls(start + 60s), 9);
    CHECK_GT(load.calls(start + 60s), 7);
}

TEST_CASE("a report below this VM's own calls is understated")
{
    load_estimate load({});
    for (int i = 0; i < 6; ++i)
    {
        load.add_call(call_at(start));
    }
    load.apply_report(reported(1, 6, start + 2s, 1s));
    CHECK_FALSE(load.is_understated());
    load.apply_report(reported(2, 2, start + 3s, 1s));
    CHECK(load.is_understated());
    // Calls that started close to the measurement don't count.
    load.apply_report(reported(3, 2, start + 3s, 2900ms));
    CHECK_FALSE(load.is_understated());
    load.set_distrusted(true, 3);
    CHECK_EQ(load.calls(start), doctest::Approx(18));
}

TEST_CASE("prefill is pending until the expected first token")
{
    load_estimate load({});
    load.add_call(call_at(start, 300));
    CHECK_EQ(load.pending_prefill_tokens(start + 100ms), doctest::Approx(300));
    CHECK_EQ(load.pending_prefill_tokens(start + 200ms), doctest::Approx(0));
}

TEST_CASE("reported first tokens replace the expected times")
{
    load_estimate load({});
    load.add_call(call_at(start, 300));
    load.add_call(call_at(start, 500));
    const auto call = load.record_first_token(300, 0, 50ms, start + 50ms);
    REQUIRE(call.has_value());
    CHECK_FALSE(call->answered);
    // A late call stays pending beyond its expected time.
    CHECK_EQ(load.pending_prefill_tokens(start + 10s), doctest::Approx(500));
    // A second report of the same call must not be recorded again.
    CHECK(load.record_first_token(300, 0, 60ms, start + 60ms)->answered);
    CHECK_FALSE(
        load.record_first_token(999, 0, 60ms, start + 60ms).has_value());
}

TEST_CASE("rates are learned and not determined by one unusual call")
{
    service_rate_estimator rates;
    const service_rates prior;
    rates.observe_prefill(9, 100, start);
    CHECK_LT(rates.rates(prior, start).seconds_per_prompt_token, 0.006);
    for (int i = 0; i < 300; ++i)
    {
        rates.observe_prefill(0.4, 400, start);
        rates.observe_decode(1, 50, start);
        rates.observe_call(1.4, start);
    }
    const service_rates got = rates.rates(prior, start);
    CHECK_EQ(got.seconds_per_prompt_token, doctest::Approx(0.001).epsilon(0.1));
    CHECK_EQ(got.seconds_per_answer_token, doctest::Approx(0.02).epsilon(0.1));
    CHECK_EQ(got.seconds_per_call, doctest::Approx(1.4).epsilon(0.2));
    // An upstream that gets no calls must not keep a bad rate forever.
    const service_rates later = rates.rates(prior, start + 10min);
    CHECK_EQ(
        later.seconds_per_prompt_token,
        doctest::Approx(prior.seconds_per_prompt_token).epsilon(0.01));
}

TEST_CASE("charged bytes stay within the budget in every interval")
{
    CHECK(tests::holds(61, 100, [] {
        fleet_builder fleet;
        fleet.vms("a", 2).vms("b", 1);
        resource::configuration configuration;
        configuration.declared_fleet.links = {{"a", "b", 1e5}, {"b", "a", 2e5}};
        const link_settings settings;
        link_budget links(settings);
        links.update(fleet.view(), configuration);
        core::time_point now = start;
        double out = 0;
        double back = 0;
        for (int i = 0; i < 200; ++i)
        {
            now += *rc::gen::inRange(0, 200) * 1ms;
            const link_cost cost{
                static_cast<double>(*rc::gen::inRange(0, 20000)),
                static_cast<double>(*rc::gen::inRange(0, 20000))};
            if (links.has_budget("b", cost, now))
            {
                links.charge("b", cost, now);
                out += cost.out;
                back += cost.back;
            }
            const double seconds =
                core::to_seconds(now - start) + settings.burst_seconds;
            // Two VMs share the usable part of each direction.
            RC_ASSERT(out <= seconds * 1e5 * settings.usable_share / 2 + 1);
            RC_ASSERT(back <= seconds * 2e5 * settings.usable_share / 2 + 1);
        }
    }));
}

TEST_CASE("the bytes that a call sent replace its estimate")
{
    fleet_builder fleet;
    fleet.vms("a", 1);
    resource::configuration configuration;
    configuration.declared_fleet.links = {{"a", "b", 2e4}, {"b", "a", 2e4}};
    link_budget links({});
    links.update(fleet.view(), configuration);
    const link_cost cost{1000, 20000};
    REQUIRE(links.has_budget("b", cost, start));
    links.charge("b", cost, start);
    CHECK_FALSE(links.has_budget("b", {0, 1000}, start));
    links.adjust("b", cost, 3000, start);
    CHECK(links.has_budget("b", {0, 18000}, start));
    CHECK_FALSE(links.has_budget("b", {0, 18001}, start));
}
