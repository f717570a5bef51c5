// Guards, fault by fault, against leases that outlive their grantor, their
// holder or their configuration, and against service lost without need.

#include <LibRate/baselines.hpp>
#include <LibRate/lease_world.hpp>

#include <doctest.h>

#include <thread>

using namespace hyssoploft;
using namespace std::chrono_literals;

namespace {

constexpr const char* account = "acme";

rate::declared_rates
rates_of(double tokens_per_second, double floor_fraction = 0.4)
{
    rate::declared_rates it;
    it.version = 1;
    it.floor_slots = 4;
    it.vms = {"a", "b", "c"};
    it.accounts[account] = {
        tokens_per_second, 10 * tokens_per_second, floor_fraction};
    return it;
}

// One grantor past its waiting time, and holders of VM a and b.
struct pair_of_holders
{
    core::time_point now{std::chrono::hours(1)};
    rate::lease_grantor grantor;
    rate::lease_holder a{{"a", 1}};
    rate::lease_holder b{{"b", 2}};

    explicit pair_of_holders(const rate::declared_rates& rates = rates_of(100))
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

    void ask(rate::lease_holder& it, double tokens)
    {
        it.reserve(account, tokens, now);
    }
};

} // namespace

TEST_CASE("an undeclared account or VM has no credit")
{
    pair_of_holders w;
    rate::lease_holder stranger({"x", 9});
    stranger.install(rates_of(100), w.now);
    CHECK_FALSE(w.a.reserve("other", 1, w.now).granted);
    CHECK_EQ(stranger.share(account, w.now), 0);
    w.ask(stranger, 50);
    CHECK_FALSE(w.renew(stranger));
}

TEST_CASE("a new leader grants nothing before older leases have ended")
{
    pair_of_holders w;
    w.grantor.elected(2, w.now);
    w.ask(w.a, 50);
    CHECK_FALSE(w.renew(w.a));
    w.now += rate::new_leader_wait - 1ns;
    CHECK_FALSE(w.renew(w.a));
    w.now += 1ns;
    CHECK(w.renew(w.a));
    w.grantor.step_down();
    w.now += 1s;
    CHECK_FALSE(w.renew(w.a));
}

TEST_CASE("a lease ends on the holder's clock with its credit")
{
    pair_of_holders w;
    w.now += 100s; // The floor's credit is full.
    w.ask(w.a, 1e6);
    REQUIRE(w.renew(w.a));
    CHECK_EQ(w.a.share(account, w.now), doctest::Approx(0.7));
    const auto end = w.now + rate::lease_time;
    w.now = end - 1ns;
    CHECK_GT(w.a.credit(account, w.now), 100.0);
    CHECK_EQ(w.a.share(account, end), doctest::Approx(0.1));
    CHECK_LE(w.a.credit(account, end), doctest::Approx(100.0));
}

TEST_CASE("a lease ends at a slow holder before the grantor forgets it")
{
    pair_of_holders w;
    const auto start = w.now;
    w.ask(w.a, 1e6);
    const auto grant = w.grantor.handle(w.a.build_request(start), start);
    REQUIRE(w.a.apply(*grant, start + 3s)); // Received late.
    auto at = start;
    while (w.grantor.leased_share(account, at) > 0)
    {
        at += 1ms;
    }
    const auto at_holder =
        start +
        core::from_seconds(core::to_seconds(at - start) / rate::clock_drift);
    CHECK_EQ(w.a.share(account, at_holder), doctest::Approx(0.1));
}

TEST_CASE("credit counts as returned only to its grantor and only once")
{
    for (const bool other_term : {false, true})
    {
        CAPTURE(other_term);
        pair_of_holders w;
        const double floor_credit = w.b.credit(account, w.now);
        w.ask(w.a, 1e5);
        REQUIRE(w.renew(w.a));
        w.ask(w.b, 1e5);
        REQUIRE(w.renew(w.b)); // All is leased to a.
        auto request = w.a.build_request(w.now);
        request.full = true;
        request.accounts = {{account, 1, 0}};
        w.grantor.handle(request, w.now); // Shrinks a's lease.
        request.applied = request.sequence;
        request.term += other_term ? 1 : 0;
        request.accounts[0].returned_credit = 1e6;
        for (int n = 0; n < 4; ++n) // The share is given up only once.
        {
            ++request.sequence;
            w.grantor.handle(request, w.now);
            w.ask(w.b, 1e5);
            REQUIRE(w.renew(w.b));
        }
        const double got = w.b.credit(account, w.now) - floor_credit;
        CHECK_LE(got, other_term ? 0.0 : 600.0);
        CHECK_GE(got, other_term ? 0.0 : 500.0);
    }
}

TEST_CASE("a grant of changes applies only after the grant it builds on")
{
    pair_of_holders w;
    w.ask(w.a, 50);
    REQUIRE(w.renew(w.a));
    w.now += 1s;
    w.ask(w.a, 50);
    auto second = *w.grantor.handle(w.a.build_request(w.now), w.now);
    CHECK_GT(second.base, 0);
    for (const int fault : {0, 1, 2})
    {
        CAPTURE(fault);
        auto changed = second;
        changed.base += fault == 0 ? 1 : 0; // Never granted.
        changed.term += fault == 1 ? 1 : 0;
        changed.base -= fault == 2 ? 1 : 0;
        // Base 0 replaces everything and needs no other grant.
        CHECK_EQ(w.a.apply(changed, w.now), changed.base == 0);
    }
}

TEST_CASE("what a grant of changes leaves out goes on after a lapse")
{
    pair_of_holders w;
    w.ask(w.a, 1e6);
    REQUIRE(w.renew(w.a));
    w.now += 3s;
    w.ask(w.a, 1e6);
    const auto grant = w.grantor.handle(w.a.build_request(w.now), w.now);
    REQUIRE_GT(grant->base, 0);
    w.now += 2s;
    CHECK_EQ(w.a.share(account, w.now), doctest::Approx(0.1));
    REQUIRE(w.a.apply(*grant, w.now));
    CHECK_EQ(w.a.share(account, w.now), doctest::Approx(0.7));
    CHECK_LE(w.a.credit(account, w.now), doctest::Approx(100.0));
    w.now += 2s - 1ns;
    CHECK_EQ(w.a.share(account, w.now), doctest::Approx(0.7));
    CHECK_EQ(w.a.share(account, w.now + 1ns), doctest::Approx(0.1));
}

TEST_CASE("a request of changes without the one before has no answer")
{
    pair_of_holders w;
    w.ask(w.a, 50);
    REQUIRE(w.renew(w.a));
    auto request = w.a.build_request(w.now);
    REQUIRE_FALSE(request.full);
    ++request.sequence;
    CHECK_FALSE(w.grantor.handle(request, w.now));
    CHECK(w.a.build_request(w.now).full);
}

TEST_CASE("account numbers are used only between equal account tables")
{
    pair_of_holders w;
    w.ask(w.a, 50);
    CHECK_EQ(w.a.build_request(w.now).table, 0);
    w.ask(w.a, 50);
    REQUIRE(w.renew(w.a));
    w.ask(w.a, 60);
    const auto numbered = w.a.build_request(w.now);
    CHECK_NE(numbered.table, 0);
    const auto grant = w.grantor.handle(numbered, w.now);
    REQUIRE(grant->numbered);
    // An account that comes first in the order moves all numbers.
    auto more = rates_of(100);
    more.version = 2;
    more.accounts["aaa"] = {100, 1000, 0.4};
    w.a.install(more, w.now);
    CHECK_FALSE(w.a.apply(*grant, w.now));
    w.ask(w.b, 1e5);
    REQUIRE(w.renew(w.b));
    w.grantor.install(more, w.now);
    w.ask(w.b, 2e5);
    CHECK_FALSE(w.renew(w.b)); // By numbers of the former table.
    w.ask(w.b, 2e5);
    CHECK(w.renew(w.b)); // By name.
    CHECK_EQ(w.grantor.leased_share("aaa", w.now), 0);
}

TEST_CASE("grants that must not be applied are refused")
{
    pair_of_holders w;
    w.ask(w.a, 50);
    const auto request = w.a.build_request(w.now);
    auto grant = *w.grantor.handle(request, w.now);
    CHECK_FALSE(w.grantor.handle(request, w.now)); // Duplicate request.
    rate::lease_holder restarted({"a", 77});
    restarted.install(rates_of(100), w.now);
    restarted.build_request(w.now);
    CHECK_FALSE(restarted.apply(grant, w.now)); // Other incarnation.
    CHECK_EQ(restarted.credit(account, w.now), 0);
    CHECK_FALSE(w.a.apply(grant, w.now + rate::lease_time)); // Too late.
    CHECK(w.a.apply(grant, w.now));
    CHECK_FALSE(w.a.apply(grant, w.now)); // Duplicate grant.
    grant.sequence = 55;
    CHECK_FALSE(w.a.apply(grant, w.now)); // Never asked for.
}

TEST_CASE("the grantor counts leases of lost and restarted holders")
{
    pair_of_holders w;
    w.ask(w.a, 1e5);
    REQUIRE(w.renew(w.a));
    const double held = w.grantor.leased_share(account, w.now);
    CHECK_EQ(held, doctest::Approx(0.6));
    rate::lease_holder restarted({"a", 77});
    restarted.install(rates_of(100), w.now);
    w.ask(restarted, 1e5);
    auto other_process = restarted.build_request(w.now);
    other_process.applied = 100;
    w.grantor.handle(other_process, w.now);
    w.ask(w.b, 1e5);
    CHECK(w.renew(w.b));
    CHECK_EQ(w.b.share(account, w.now), doctest::Approx(0.1));
    CHECK_LE(w.grantor.leased_share(account, w.now), 0.6);
    w.now += rate::lease_time_at_grantor;
    CHECK_EQ(w.grantor.leased_share(account, w.now), 0);
    w.ask(w.b, 1e5);
    CHECK(w.renew(w.b));
    CHECK_EQ(w.b.share(account, w.now), doctest::Approx(0.7));
}

TEST_CASE("a share that moves takes its credit along, at most once")
{
    pair_of_holders w;
    w.ask(w.a, 1e5);
    REQUIRE(w.renew(w.a));
    for (int n = 0; n < 20; ++n) // Fills a's bucket.
    {
        w.now += 1s;
        REQUIRE(w.renew(w.a));
    }
    const double before = w.a.credit(account, w.now);
    w.ask(w.b, 1e5);
    REQUIRE(w.renew(w.b)); // Only now does the grantor know of b.
    w.now += 1s;
    REQUIRE(w.renew(w.a)); // Shrinks.
    const double kept = w.a.credit(account, w.now);
    CHECK_LT(kept, before);
    w.now += 1s;
    const auto returns = w.a.build_request(w.now);
    REQUIRE_EQ(returns.accounts.size(), 1);
    CHECK_GT(returns.accounts[0].returned_credit, 0);
    w.grantor.handle(returns, w.now);
    w.grantor.handle(returns, w.now);
    const double b_before = w.b.credit(account, w.now);
    w.ask(w.b, 1e5);
    REQUIRE(w.renew(w.b));
    const double moved = w.b.credit(account, w.now) - b_before;
    CHECK_GT(moved, 0.5 * returns.accounts[0].returned_credit);
    CHECK_LE(w.a.credit(account, w.now) + w.b.credit(account, w.now), 1000.0);
}

TEST_CASE("a lowered rate applies at once, a grown floor after a wait")
{
    pair_of_holders w;
    w.now += 100s;
    CHECK_EQ(w.a.credit(account, w.now), doctest::Approx(100));
    auto lower = rates_of(10);
    lower.version = 2;
    w.a.install(lower, w.now);
    CHECK_EQ(w.a.credit(account, w.now), doctest::Approx(10));
    w.a.install(rates_of(100), w.now); // An older version.
    CHECK_EQ(w.a.credit(account, w.now), doctest::Approx(10));
    auto grown = rates_of(10, 0.8);
    grown.version = 3;
    w.a.install(grown, w.now);
    CHECK_EQ(w.a.floor_share(account, w.now), doctest::Approx(0.1));
    const auto later = w.now + rate::floor_growth_wait;
    CHECK_EQ(w.a.floor_share(account, later), doctest::Approx(0.2));
    auto removed = rates_of(10);
    removed.version = 4;
    removed.vms.erase("a");
    w.a.install(removed, later);
    CHECK_EQ(w.a.credit(account, later), 0);
}

TEST_CASE("a flexible part grows only when every VM has the smaller floor")
{
    pair_of_holders w;
    auto next = rates_of(100, 0.1);
    next.version = 2;
    w.grantor.install(next, w.now);
    CHECK_EQ(w.grantor.flexible_share(account), doctest::Approx(0.6));
    rate::lease_holder c({"c", 3});
    for (rate::lease_holder* it : {&w.a, &w.b, &c})
    {
        CHECK_EQ(w.grantor.flexible_share(account), doctest::Approx(0.6));
        it->install(next, w.now);
        w.renew(*it);
    }
    CHECK_EQ(w.grantor.flexible_share(account), doctest::Approx(0.9));
}

TEST_CASE("released leases are free at once and never come back")
{
    pair_of_holders w;
    w.ask(w.a, 1e5);
    const auto request = w.a.build_request(w.now);
    const auto grant = w.grantor.handle(request, w.now);
    const auto release = w.a.release(w.now);
    CHECK_FALSE(w.grantor.handle(release, w.now));
    CHECK_EQ(w.grantor.leased_share(account, w.now), 0);
    CHECK_FALSE(w.a.apply(*grant, w.now));
    CHECK_EQ(w.a.share(account, w.now), doctest::Approx(0.1));
}

TEST_CASE("an account removed and declared again keeps its counted leases")
{
    pair_of_holders w;
    w.ask(w.a, 1e5);
    REQUIRE(w.renew(w.a));
    auto without = rates_of(100);
    without.version = 2;
    without.accounts.clear();
    w.grantor.install(without, w.now);
    auto again = rates_of(100);
    again.version = 3;
    w.grantor.install(again, w.now);
    CHECK_EQ(w.grantor.leased_share(account, w.now), doctest::Approx(0.6));
    w.ask(w.b, 1e5);
    w.renew(w.b);
    CHECK_EQ(w.b.share(account, w.now), doctest::Approx(0.1));
}

TEST_CASE("an account declared again gets a larger floor after a wait")
{
    pair_of_holders w;
    auto next = rates_of(100, 0.8);
    next.version = 2;
    std::swap(next.accounts["other"], next.accounts[account]);
    next.accounts.erase(account);
    w.a.install(next, w.now);
    w.grantor.install(next, w.now);
    next = rates_of(100, 0.8);
    next.version = 3;
    w.a.install(next, w.now + 1s);
    const auto before = w.now + rate::floor_growth_wait;
    CHECK_EQ(w.a.floor_share(account, before), doctest::Approx(0.1));
    CHECK_EQ(w.a.floor_share(account, before + 1s), doctest::Approx(0.2));
    // VMs that lag have the floors of version 1.
    next = rates_of(100, 0.1);
    next.version = 4;
    w.grantor.install(next, w.now);
    CHECK_LE(w.grantor.flexible_share(account), doctest::Approx(0.6));
}

TEST_CASE("VMs without a leader get their floors and no more")
{
    tests::lease_world world({.seed = 5});
    world.run(20);
    for (const int vm : {3, 4, 5})
    {
        world.cut(vm, true);
    }
    world.run(5); // Leases have ended.
    const double since = world.now();
    world.run(30);
    const double floors = 3 * 0.4 / 8;
    const double used = world.admitted({3, 4, 5}, since);
    CHECK_LE(used, floors * (500 + 1000 * 30.2));
    CHECK_GE(used, 0.5 * floors * 1000 * 30);
    CHECK_LE(world.worst_excess(), 0);
}

TEST_CASE("fast clocks and late grants don't add up to more than the rate")
{
    for (const int delay_ms : {20, 3500})
    {
        for (const double slowest : {1.0, 1.01})
        {
            CAPTURE(delay_ms);
            CAPTURE(slowest);
            tests::lease_world world(
                {.seed = 6,
                 .slowest_clock = slowest,
                 .max_delay_ms = delay_ms});
            world.run(200);
            CHECK_LE(world.worst_excess(), 0);
        }
    }
}

TEST_CASE("a request asks early only once, and only without a lease")
{
    pair_of_holders w;
    w.a.build_request(w.now);
    CHECK_EQ(w.a.next_request_at(), w.now + 1s);
    w.ask(w.a, 1e6);
    CHECK_LT(w.a.next_request_at(), w.now + 1s);
    w.now += 200ms;
    w.a.build_request(w.now);
    w.ask(w.a, 1e6);
    CHECK_EQ(w.a.next_request_at(), w.now + 1s);
}

TEST_CASE("requests for very many accounts stay within the frame bound")
{
    auto rates = rates_of(100);
    for (int n = 0; n < 6000; ++n)
    {
        rates.accounts["account-" + std::to_string(n)] = {100, 1000, 0.4};
    }
    pair_of_holders w(rates);
    for (const auto& it : rates.accounts)
    {
        w.a.reserve(it.first, 500, w.now);
    }
    const auto request = w.a.build_request(w.now);
    CHECK_GT(request.accounts.size(), 1000);
    CHECK_LE(rate::encode(request).size(), rate::max_lease_message_bytes);
    const auto grant = w.grantor.handle(request, w.now);
    CHECK_LE(rate::encode(*grant).size(), rate::max_lease_message_bytes);
}

TEST_CASE("threads reserve while grants arrive")
{
    pair_of_holders w;
    std::thread traffic([&, now = w.now] {
        for (int n = 0; n < 2000; ++n)
        {
            const auto at = now + n * 1ms;
            const auto it = w.a.reserve(account, 3, at);
            if (it.granted)
            {
                w.a.settle(it.taken, 1, at);
            }
        }
    });
    for (int n = 0; n < 200; ++n)
    {
        w.now += 10ms;
        w.renew(w.a);
    }
    traffic.join();
    CHECK_LE(w.a.credit(account, w.now), 1000.0);
}

TEST_CASE("baselines keep within the rate")
{
    const core::time_point now{};
    rate::fixed_share_limiter fixed(rates_of(101), 0.25, now);
    CHECK_FALSE(fixed.reserve(account, 26, now + 1s).granted);
    CHECK(fixed.reserve(account, 25, now + 1s).granted);
    rate::central_counter central(
        std::make_shared<rate::fixed_share_limiter>(rates_of(101), 1.0, now),
        40ms);
    CHECK(central.reserve(account, 100, now + 1s).granted);
    central.set_reachable(false);
    CHECK_FALSE(central.reserve(account, 1, now + 9s).granted);
}
