// Guards against leases that outlive their grantor, their holder or their
// configuration, and against needless refusals, one fault per case.

#include <LibRate/baselines.hpp>
#include <LibRate/lease_simulation.hpp>

#include <doctest.h>

#include <thread>

using namespace hyssoploft;
using namespace std::chrono_literals;

namespace {

constexpr const char* account = "acme";

rate::declared_rates
make_rates(double tokens_per_second, double floor_fraction = 0.4)
{
    rate::declared_rates it;
    it.version = 1;
    it.floor_slots = 4;
    it.vms = {"a", "b", "c"};
    it.accounts[account] = {
        tokens_per_second, 10 * tokens_per_second, floor_fraction};
    return it;
}

// A grantor whose wait after election is over, and the holders of VMs a and b.
struct lease_fixture
{
    core::time_point now{std::chrono::hours(1)};
    rate::lease_grantor grantor;
    rate::lease_holder a{{"a", 1}};
    rate::lease_holder b{{"b", 2}};

    explicit lease_fixture(const rate::declared_rates& rates = make_rates(100))
    {
        grantor.install(rates, now);
        a.install(rates, now);
        b.install(rates, now);
        grantor.elected(1, now);
        now += rate::new_leader_wait;
    }

    bool renew(rate::lease_holder& it)
    {
        const auto grant = grantor.handle(it.build_request(now), now);
        return grant && it.apply(*grant, now);
    }

    void add_demand(rate::lease_holder& it, double tokens)
    {
        it.reserve(account, tokens, now);
    }
};

} // namespace

TEST_CASE("an undeclared account or VM has no credit")
{
    lease_fixture t;
    rate::lease_holder undeclared({"x", 9});
    undeclared.install(make_rates(100), t.now);
    CHECK_FALSE(t.a.reserve("other", 1, t.now).granted);
    CHECK_EQ(undeclared.share(account, t.now), 0);
    t.add_demand(undeclared, 50);
    CHECK_FALSE(t.renew(undeclared));
}

TEST_CASE("a new leader grants nothing before older leases have ended")
{
    lease_fixture t;
    t.grantor.elected(2, t.now);
    t.add_demand(t.a, 50);
    CHECK_FALSE(t.renew(t.a));
    t.now += rate::new_leader_wait - 1ns;
    CHECK_FALSE(t.renew(t.a));
    t.now += 1ns;
    CHECK(t.renew(t.a));
    t.grantor.step_down();
    t.now += 1s;
    CHECK_FALSE(t.renew(t.a));
}

TEST_CASE("a lease expires on the holder's clock together with its credit")
{
    lease_fixture t;
    t.now += 100s; // The bucket is full.
    t.add_demand(t.a, 1e6);
    REQUIRE(t.renew(t.a));
    CHECK_EQ(t.a.share(account, t.now), doctest::Approx(0.7));
    const auto end = t.now + rate::lease_time;
    t.now = end - 1ns;
    CHECK_GT(t.a.credit(account, t.now), 100.0);
    CHECK_EQ(t.a.share(account, end), doctest::Approx(0.1));
    CHECK_LE(t.a.credit(account, end), doctest::Approx(100.0));
}

TEST_CASE("a lease expires at a slow holder before the grantor drops it")
{
    lease_fixture t;
    const auto start = t.now;
    t.add_demand(t.a, 1e6);
    const auto grant = t.grantor.handle(t.a.build_request(start), start);
    REQUIRE(t.a.apply(*grant, start + 3s)); // Received late.
    auto at = start;
    while (t.grantor.leased_share(account, at) > 0)
    {
        at += 1ms;
    }
    const auto at_holder =
        start +
        core::from_seconds(core::to_seconds(at - start) / rate::clock_drift);
    CHECK_EQ(t.a.share(account, at_holder), doctest::Approx(0.1));
}

TEST_CASE("returned credit counts only in its term and only once")
{
    for (const bool other_term : {false, true})
    {
        CAPTURE(other_term);
        lease_fixture t;
        const double floor_credit = t.b.credit(account, t.now);
        t.add_demand(t.a, 1e5);
        REQUIRE(t.renew(t.a));
        t.add_demand(t.b, 1e5);
        REQUIRE(t.renew(t.b)); // All is leased to a.
        auto request = t.a.build_request(t.now);
        request.full = true;
        request.accounts = {{account, 1, 0}};
        t.grantor.handle(request, t.now); // Shrinks a's lease.
        request.applied = request.sequence;
        request.term += other_term ? 1 : 0;
        request.accounts[0].returned_credit = 1e6;
        for (int n = 0; n < 4; ++n) // The share is given up only once.
        {
            ++request.sequence;
            t.grantor.handle(request, t.now);
            t.add_demand(t.b, 1e5);
            REQUIRE(t.renew(t.b));
        }
        const double got = t.b.credit(account, t.now) - floor_credit;
        CHECK_LE(got, other_term ? 0.0 : 600.0);
        CHECK_GE(got, other_term ? 0.0 : 500.0);
    }
}

TEST_CASE("an incremental grant applies only after the grant it is based on")
{
    lease_fixture t;
    t.add_demand(t.a, 50);
    REQUIRE(t.renew(t.a));
    t.now += 1s;
    t.add_demand(t.a, 50);
    auto second = *t.grantor.handle(t.a.build_request(t.now), t.now);
    CHECK_GT(second.base, 0);
    for (const int fault : {0, 1, 2})
    {
        CAPTURE(fault);
        auto changed = second;
        changed.base += fault == 0 ? 1 : 0; // Never granted.
        changed.term += fault == 1 ? 1 : 0;
        changed.base -= fault == 2 ? 1 : 0;
        // Base 0 replaces everything and needs no other grant.
        CHECK_EQ(t.a.apply(changed, t.now), changed.base == 0);
    }
}

TEST_CASE("an incremental grant restores unlisted shares after a lapse")
{
    lease_fixture t;
    t.add_demand(t.a, 1e6);
    REQUIRE(t.renew(t.a));
    t.now += 3s;
    t.add_demand(t.a, 1e6);
    const auto grant = t.grantor.handle(t.a.build_request(t.now), t.now);
    REQUIRE_GT(grant->base, 0);
    t.now += 2s;
    CHECK_EQ(t.a.share(account, t.now), doctest::Approx(0.1));
    REQUIRE(t.a.apply(*grant, t.now));
    CHECK_EQ(t.a.share(account, t.now), doctest::Approx(0.7));
    CHECK_LE(t.a.credit(account, t.now), doctest::Approx(100.0));
    t.now += 2s - 1ns;
    CHECK_EQ(t.a.share(account, t.now), doctest::Approx(0.7));
    CHECK_EQ(t.a.share(account, t.now + 1ns), doctest::Approx(0.1));
}

TEST_CASE("an incremental request after a lost one has no answer")
{
    lease_fixture t;
    t.add_demand(t.a, 50);
    REQUIRE(t.renew(t.a));
    auto request = t.a.build_request(t.now);
    REQUIRE_FALSE(request.full);
    ++request.sequence;
    CHECK_FALSE(t.grantor.handle(request, t.now));
    CHECK(t.a.build_request(t.now).full);
}

TEST_CASE("account numbers are used only between equal account tables")
{
    lease_fixture t;
    t.add_demand(t.a, 50);
    CHECK_EQ(t.a.build_request(t.now).table, 0);
    t.add_demand(t.a, 50);
    REQUIRE(t.renew(t.a));
    t.add_demand(t.a, 60);
    const auto numbered = t.a.build_request(t.now);
    CHECK_NE(numbered.table, 0);
    const auto grant = t.grantor.handle(numbered, t.now);
    REQUIRE(grant->numbered);
    // A new account that sorts first changes all numbers.
    auto more = make_rates(100);
    more.version = 2;
    more.accounts["aaa"] = {100, 1000, 0.4};
    t.a.install(more, t.now);
    CHECK_FALSE(t.a.apply(*grant, t.now));
    t.add_demand(t.b, 1e5);
    REQUIRE(t.renew(t.b));
    t.grantor.install(more, t.now);
    t.add_demand(t.b, 2e5);
    CHECK_FALSE(t.renew(t.b)); // Request with numbers of the former table.
    t.add_demand(t.b, 2e5);
    CHECK(t.renew(t.b)); // Request with names.
    CHECK_EQ(t.grantor.leased_share("aaa", t.now), 0);
}

TEST_CASE("late, repeated and foreign grants are refused")
{
    lease_fixture t;
    t.add_demand(t.a, 50);
    const auto request = t.a.build_request(t.now);
    auto grant = *t.grantor.handle(request, t.now);
    CHECK_FALSE(t.grantor.handle(request, t.now)); // Duplicate request.
    rate::lease_holder restarted({"a", 77});
    restarted.install(make_rates(100), t.now);
    restarted.build_request(t.now);
    CHECK_FALSE(restarted.apply(grant, t.now)); // Other incarnation.
    CHECK_EQ(restarted.credit(account, t.now), 0);
    CHECK_FALSE(t.a.apply(grant, t.now + rate::lease_time)); // Too late.
    CHECK(t.a.apply(grant, t.now));
    CHECK_FALSE(t.a.apply(grant, t.now)); // Duplicate grant.
    grant.sequence = 55;
    CHECK_FALSE(t.a.apply(grant, t.now)); // No such request.
}

TEST_CASE("the grantor counts leases of lost and restarted holders")
{
    lease_fixture t;
    t.add_demand(t.a, 1e5);
    REQUIRE(t.renew(t.a));
    const double held = t.grantor.leased_share(account, t.now);
    CHECK_EQ(held, doctest::Approx(0.6));
    rate::lease_holder restarted({"a", 77});
    restarted.install(make_rates(100), t.now);
    t.add_demand(restarted, 1e5);
    auto other_process = restarted.build_request(t.now);
    other_process.applied = 100;
    t.grantor.handle(other_process, t.now);
    t.add_demand(t.b, 1e5);
    CHECK(t.renew(t.b));
    CHECK_EQ(t.b.share(account, t.now), doctest::Approx(0.1));
    CHECK_LE(t.grantor.leased_share(account, t.now), 0.6);
    t.now += rate::lease_time_at_grantor;
    CHECK_EQ(t.grantor.leased_share(account, t.now), 0);
    t.add_demand(t.b, 1e5);
    CHECK(t.renew(t.b));
    CHECK_EQ(t.b.share(account, t.now), doctest::Approx(0.7));
}

TEST_CASE("credit moves with a share, at most once")
{
    lease_fixture t;
    t.add_demand(t.a, 1e5);
    REQUIRE(t.renew(t.a));
    for (int n = 0; n < 20; ++n) // Fills a's bucket.
    {
        t.now += 1s;
        REQUIRE(t.renew(t.a));
    }
    const double before = t.a.credit(account, t.now);
    t.add_demand(t.b, 1e5);
    REQUIRE(t.renew(t.b)); // The first request from b.
    t.now += 1s;
    REQUIRE(t.renew(t.a)); // Shrinks.
    const double kept = t.a.credit(account, t.now);
    CHECK_LT(kept, before);
    t.now += 1s;
    const auto returns = t.a.build_request(t.now);
    REQUIRE_EQ(returns.accounts.size(), 1);
    CHECK_GT(returns.accounts[0].returned_credit, 0);
    t.grantor.handle(returns, t.now);
    t.grantor.handle(returns, t.now);
    const double b_before = t.b.credit(account, t.now);
    t.add_demand(t.b, 1e5);
    REQUIRE(t.renew(t.b));
    const double moved = t.b.credit(account, t.now) - b_before;
    CHECK_GT(moved, 0.5 * returns.accounts[0].returned_credit);
    CHECK_LE(t.a.credit(account, t.now) + t.b.credit(account, t.now), 1000.0);
}

TEST_CASE("a lowered rate applies at once, a grown floor after a wait")
{
    lease_fixture t;
    t.now += 100s;
    CHECK_EQ(t.a.credit(account, t.now), doctest::Approx(100));
    auto lower = make_rates(10);
    lower.version = 2;
    t.a.install(lower, t.now);
    CHECK_EQ(t.a.credit(account, t.now), doctest::Approx(10));
    t.a.install(make_rates(100), t.now); // An older version.
    CHECK_EQ(t.a.credit(account, t.now), doctest::Approx(10));
    auto grown = make_rates(10, 0.8);
    grown.version = 3;
    t.a.install(grown, t.now);
    CHECK_EQ(t.a.floor_share(account, t.now), doctest::Approx(0.1));
    const auto later = t.now + rate::floor_growth_wait;
    CHECK_EQ(t.a.floor_share(account, later), doctest::Approx(0.2));
    auto removed = make_rates(10);
    removed.version = 4;
    removed.vms.erase("a");
    t.a.install(removed, later);
    CHECK_EQ(t.a.credit(account, later), 0);
}

TEST_CASE("a flexible part grows only when every VM has the smaller floor")
{
    lease_fixture t;
    auto next = make_rates(100, 0.1);
    next.version = 2;
    t.grantor.install(next, t.now);
    CHECK_EQ(t.grantor.flexible_share(account), doctest::Approx(0.6));
    rate::lease_holder c({"c", 3});
    for (rate::lease_holder* it : {&t.a, &t.b, &c})
    {
        CHECK_EQ(t.grantor.flexible_share(account), doctest::Approx(0.6));
        it->install(next, t.now);
        t.renew(*it);
    }
    CHECK_EQ(t.grantor.flexible_share(account), doctest::Approx(0.9));
}

TEST_CASE("released leases are free at once and never come back")
{
    lease_fixture t;
    t.add_demand(t.a, 1e5);
    const auto request = t.a.build_request(t.now);
    const auto grant = t.grantor.handle(request, t.now);
    const auto release = t.a.release(t.now);
    CHECK_FALSE(t.grantor.handle(release, t.now));
    CHECK_EQ(t.grantor.leased_share(account, t.now), 0);
    CHECK_FALSE(t.a.apply(*grant, t.now));
    CHECK_EQ(t.a.share(account, t.now), doctest::Approx(0.1));
}

TEST_CASE("an account removed and declared again keeps its counted leases")
{
    lease_fixture t;
    t.add_demand(t.a, 1e5);
    REQUIRE(t.renew(t.a));
    auto without = make_rates(100);
    without.version = 2;
    without.accounts.clear();
    t.grantor.install(without, t.now);
    auto again = make_rates(100);
    again.version = 3;
    t.grantor.install(again, t.now);
    CHECK_EQ(t.grantor.leased_share(account, t.now), doctest::Approx(0.6));
    t.add_demand(t.b, 1e5);
    t.renew(t.b);
    CHECK_EQ(t.b.share(account, t.now), doctest::Approx(0.1));
}

TEST_CASE("an account declared again gets a larger floor after a wait")
{
    lease_fixture t;
    auto next = make_rates(100, 0.8);
    next.version = 2;
    std::swap(next.accounts["other"], next.accounts[account]);
    next.accounts.erase(account);
    t.a.install(next, t.now);
    t.grantor.install(next, t.now);
    next = make_rates(100, 0.8);
    next.version = 3;
    t.a.install(next, t.now + 1s);
    const auto before = t.now + rate::floor_growth_wait;
    CHECK_EQ(t.a.floor_share(account, before), doctest::Approx(0.1));
    CHECK_EQ(t.a.floor_share(account, before + 1s), doctest::Approx(0.2));
    // Lagging VMs still use the floors of version 1.
    next = make_rates(100, 0.1);
    next.version = 4;
    t.grantor.install(next, t.now);
    CHECK_LE(t.grantor.flexible_share(account), doctest::Approx(0.6));
}

TEST_CASE("VMs without a leader use their floors and no more")
{
    tests::lease_simulation simulation({.seed = 5});
    simulation.run(20);
    for (const int vm : {3, 4, 5})
    {
        simulation.set_isolated(vm, true);
    }
    simulation.run(5); // Leases have expired.
    const double since = simulation.now();
    simulation.run(30);
    const double floors = 3 * 0.4 / 8;
    const double used = simulation.admitted_tokens({3, 4, 5}, since);
    CHECK_LE(used, floors * (500 + 1000 * 30.2));
    CHECK_GE(used, 0.5 * floors * 1000 * 30);
    CHECK_LE(simulation.max_excess(), 0);
}

TEST_CASE("fast clocks and late grants don't exceed the rate")
{
    for (const int delay_ms : {20, 3500})
    {
        for (const double slowest : {1.0, 1.01})
        {
            CAPTURE(delay_ms);
            CAPTURE(slowest);
            tests::lease_simulation simulation(
                {.seed = 6,
                 .min_clock_speed = slowest,
                 .max_delay_ms = delay_ms});
            simulation.run(200);
            CHECK_LE(simulation.max_excess(), 0);
        }
    }
}

TEST_CASE("an early request is sent only once, and only without a lease")
{
    lease_fixture t;
    t.a.build_request(t.now);
    CHECK_EQ(t.a.next_request_at(), t.now + 1s);
    t.add_demand(t.a, 1e6);
    CHECK_LT(t.a.next_request_at(), t.now + 1s);
    t.now += 200ms;
    t.a.build_request(t.now);
    t.add_demand(t.a, 1e6);
    CHECK_EQ(t.a.next_request_at(), t.now + 1s);
}

TEST_CASE("messages about thousands of accounts stay within the size limit")
{
    auto rates = make_rates(100);
    for (int n = 0; n < 6000; ++n)
    {
        rates.accounts["account-" + std::to_string(n)] = {100, 1000, 0.4};
    }
    lease_fixture t(rates);
    for (const auto& it : rates.accounts)
    {
        t.a.reserve(it.first, 500, t.now);
    }
    const auto request = t.a.build_request(t.now);
    CHECK_GT(request.accounts.size(), 1000);
    CHECK_LE(rate::encode(request).size(), rate::max_lease_message_bytes);
    const auto grant = t.grantor.handle(request, t.now);
    CHECK_LE(rate::encode(*grant).size(), rate::max_lease_message_bytes);
}

TEST_CASE("a thread can reserve while another applies grants")
{
    lease_fixture t;
    std::thread traffic([&, now = t.now] {
        for (int n = 0; n < 2000; ++n)
        {
            const auto at = now + n * 1ms;
            const auto it = t.a.reserve(account, 3, at);
            if (it.granted)
            {
                t.a.settle(it.taken, 1, at);
            }
        }
    });
    for (int n = 0; n < 200; ++n)
    {
        t.now += 10ms;
        t.renew(t.a);
    }
    traffic.join();
    CHECK_LE(t.a.credit(account, t.now), 1000.0);
}

TEST_CASE("baselines stay within the rate")
{
    const core::time_point now{};
    rate::fixed_share_limiter fixed(make_rates(101), 0.25, now);
    CHECK_FALSE(fixed.reserve(account, 26, now + 1s).granted);
    CHECK(fixed.reserve(account, 25, now + 1s).granted);
    rate::central_counter central(
        std::make_shared<rate::fixed_share_limiter>(make_rates(101), 1.0, now),
        40ms);
    CHECK(central.reserve(account, 100, now + 1s).granted);
    central.set_reachable(false);
    CHECK_FALSE(central.reserve(account, 1, now + 9s).granted);
}
