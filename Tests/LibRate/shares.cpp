// Guards against all VMs together exceeding a rate that several grantors lease,
// when messages are lost or late and VMs or grantors restart.

#include <LibRate/credit_split.hpp>
#include <LibRate/share_allocator.hpp>
#include <LibRate/share_holder.hpp>

#include <LibCore/random_source.hpp>

#include <doctest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace hyssoploft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(1000)};
const std::map<std::string, rate::account_rate> rates{
    {"shop", {1000.0, 1000.0, 0.0}}};

rate::share_request
make_request(std::uint64_t sequence, double demand, std::uint64_t applied = 0)
{
    rate::share_request out;
    out.sequence = sequence;
    out.applied = applied;
    out.demands.push_back({"shop", static_cast<float>(demand), 0.0F});
    return out;
}

double first_part(const rate::share_grant& it)
{
    return it.shares.empty() ? 0.0 : it.shares.front().part;
}

} // namespace

TEST_CASE("parts follow demand and never add up to more than one")
{
    rate::share_allocator allocator(start, true);
    CHECK(
        first_part(allocator.handle("a", 1, make_request(1, 500), 1, start)) ==
        doctest::Approx(1.0));
    // The whole rate is leased to the first VM until it applies a smaller
    // part.
    CHECK(
        first_part(allocator.handle("b", 1, make_request(1, 500), 1, start)) ==
        0.0);
    const auto smaller =
        first_part(allocator.handle("a", 1, make_request(2, 500), 1, start));
    CHECK(smaller == doctest::Approx(0.5));
    CHECK(
        first_part(allocator.handle("b", 1, make_request(2, 500), 1, start)) ==
        0.0);
    allocator.handle("a", 1, make_request(3, 500, 2), 1, start);
    CHECK(
        first_part(allocator.handle("b", 1, make_request(3, 500), 1, start)) ==
        doctest::Approx(0.5));
    CHECK(allocator.outstanding("shop", start) <= 1.0 + 1e-6);
}

TEST_CASE("the lease of a silent VM expires")
{
    rate::share_allocator allocator(start, true);
    allocator.handle("a", 1, make_request(1, 500), 1, start);
    const auto later =
        start + rate::share_lease_time_at_grantor + milliseconds(1);
    CHECK(
        first_part(allocator.handle("b", 1, make_request(1, 500), 1, later)) ==
        doctest::Approx(1.0));
}

TEST_CASE("a restarted process does not get the part leased to the earlier one")
{
    rate::share_allocator allocator(start, true);
    allocator.handle("a", 1, make_request(1, 500), 1, start);
    CHECK(
        first_part(allocator.handle("a", 2, make_request(1, 500), 1, start)) ==
        0.0);
}

TEST_CASE("a restarted grantor grants only a fraction of its rate")
{
    rate::share_allocator allocator(start, false);
    CHECK(
        first_part(allocator.handle("a", 1, make_request(1, 500), 1, start)) <
        0.4);
    // A VM keeps what it holds from the earlier process.
    auto holder = make_request(2, 500);
    holder.demands[0].held = 0.5F;
    CHECK(
        first_part(allocator.handle("a", 1, holder, 1, start)) ==
        doctest::Approx(0.5));
    const auto later = start + rate::share_lease_time_at_grantor;
    CHECK(
        first_part(allocator.handle("a", 1, make_request(3, 500), 1, later)) ==
        doctest::Approx(1.0));
}

TEST_CASE("an old request and a repeated one get no grant")
{
    rate::share_allocator allocator(start, true);
    allocator.handle("a", 1, make_request(2, 500), 1, start);
    CHECK(
        allocator.handle("a", 1, make_request(2, 500), 1, start).sequence == 0);
    CHECK(
        allocator.handle("a", 1, make_request(1, 500), 1, start).sequence == 0);
}

TEST_CASE("a lease lasts at the holder from its request until it expires")
{
    rate::share_holder holder;
    holder.install(rates, 0, 1, start);
    const auto asked = holder.build_request("g", start);
    rate::share_grant grant;
    grant.sequence = asked.sequence;
    grant.grantors = 2;
    grant.shares = {{"shop", 1.0F}};
    CHECK(holder.apply("g", grant, start + milliseconds(500)));
    CHECK(
        holder.share("shop", start + milliseconds(500)) ==
        doctest::Approx(0.5));
    CHECK(holder.share("shop", start + rate::share_lease_time) == 0.0);
    // The same grant again, and one for a request that was never sent.
    CHECK_FALSE(holder.apply("g", grant, start + milliseconds(600)));
    grant.sequence += 5;
    CHECK_FALSE(holder.apply("g", grant, start + milliseconds(600)));
}

TEST_CASE("a large prompt of a small account fits into the extra burst")
{
    rate::share_holder holder;
    holder.install(rates, 9000, 2, start);
    const auto asked = holder.build_request("g", start);
    rate::share_grant grant;
    grant.sequence = asked.sequence;
    grant.grantors = 1;
    grant.shares = {{"shop", 1.0F}};
    REQUIRE(holder.apply("g", grant, start));
    CHECK_FALSE(holder.reserve("shop", 4000, start + seconds(1)).granted);
    // With renewed leases the credit grows to this VM's half of the burst that
    // the pools don't hold; a loan covers the rest of the prompt.
    auto now = start;
    for (int n = 0; n < 10; ++n)
    {
        now += seconds(1);
        grant.sequence = holder.build_request("g", now).sequence;
        REQUIRE(holder.apply("g", grant, now));
    }
    const double own = (1.0 - rate::pool_burst_share) * 10'000 / 2;
    const auto alone = holder.reserve("shop", 4000, now);
    CHECK_FALSE(alone.granted);
    CHECK(alone.credit == doctest::Approx(own));
    CHECK(holder.reserve_with_loan("shop", 4000, 4000 - own, now).granted);
    CHECK_FALSE(holder.reserve_with_loan("shop", 4000, 3000, now).granted);
}

// Three grantors and four VMs. Messages are lost or late and grantors restart,
// while all VMs reserve as much as they can.
TEST_CASE("all VMs together stay within rate and burst over any window")
{
    constexpr int vm_count = 4;
    constexpr int grantor_count = 3;
    constexpr int steps = 600;
    constexpr milliseconds step{100};
    constexpr int window = 80; // Steps of 8 s.
    // A restart adds the initial credit of a VM and the fraction that a
    // restarted grantor grants; both are within the 10% by which rates may be
    // exceeded.
    constexpr double bound = 1.1 * (1000.0 * 8 + 1000.0);
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        core::seeded_random random(seed);
        std::vector<std::unique_ptr<rate::share_allocator>> grantors;
        for (int n = 0; n < grantor_count; ++n)
        {
            grantors.push_back(
                std::make_unique<rate::share_allocator>(start, true));
        }
        std::vector<std::unique_ptr<rate::share_holder>> vms;
        for (int n = 0; n < vm_count; ++n)
        {
            vms.push_back(std::make_unique<rate::share_holder>());
            vms.back()->install(rates, 0, vm_count, start);
        }
        std::vector<double> taken(steps, 0.0);
        auto now = start;
        for (int n = 0; n < steps; ++n)
        {
            now += step;
            for (int v = 0; v < vm_count; ++v)
            {
                const auto g = random.below(grantor_count);
                const auto name = std::to_string(g);
                const auto asked = vms[v]->build_request(name, now);
                if (random.below(10) < 7)
                {
                    const auto grant = grantors[g]->handle(
                        std::to_string(v), 1, asked, grantor_count, now);
                    if (random.below(10) < 8)
                    {
                        vms[v]->apply(name, grant, now + milliseconds(50));
                    }
                }
                const double wanted = 20.0 + random.uniform() * 200.0;
                while (vms[v]->reserve("shop", wanted, now).granted)
                {
                    taken[n] += wanted;
                }
            }
            if (n % 200 == 150)
            {
                const auto g = random.below(grantor_count);
                grantors[g] =
                    std::make_unique<rate::share_allocator>(now, false);
            }
        }
        for (int first = 0; first + window < steps; ++first)
        {
            double sum = 0;
            for (int n = first; n < first + window; ++n)
            {
                sum += taken[n];
            }
            REQUIRE(sum <= bound);
        }
    }
}

// Guards against sums over all VMs that differ from what the VMs hold.
TEST_CASE("parts of a large fleet add up to one, and are free once it is gone")
{
    rate::share_allocator allocator(start, true);
    core::seeded_random random(7);
    auto now = start;
    constexpr std::uint64_t rounds = 40;
    constexpr std::uint64_t vms = 120;
    for (std::uint64_t round = 1; round <= rounds; ++round)
    {
        for (std::uint64_t vm = 0; vm < vms; ++vm)
        {
            now += milliseconds(4);
            if (random.below(10) == 0)
            {
                continue; // Its request is lost.
            }
            const auto demand = static_cast<double>(random.below(100));
            (void)allocator.handle(
                "vm-" + std::to_string(vm), 1,
                make_request(round, demand, round > 1 ? round - 1 : 0), 1, now);
        }
        CHECK(allocator.outstanding("shop", now) <= 1.0 + 1e-9);
    }
    CHECK(allocator.outstanding("shop", now) > 0.8);
    now += rate::share_lease_time_at_grantor;
    CHECK(
        first_part(allocator.handle("last", 1, make_request(1, 5), 1, now)) ==
        doctest::Approx(1.0));
}
