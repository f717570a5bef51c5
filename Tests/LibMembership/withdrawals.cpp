// Guards against a withdrawn key that stays valid on a VM which missed the
// update.

#include <LibMembership/fake_fleet.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace std::chrono_literals;
using tests::fake_fleet;

namespace {

membership::key_digest key(std::uint16_t n)
{
    membership::key_digest it{};
    it[0] = static_cast<std::uint8_t>(n);
    it[1] = static_cast<std::uint8_t>(n >> 8);
    return it;
}

bool has_withdrawal(fake_fleet& fleet, std::size_t vm, std::uint16_t n)
{
    return fleet.member(vm).withdrawals().items().count(key(n)) != 0;
}

} // namespace

TEST_CASE("a withdrawn key reaches all VMs within seconds")
{
    struct row
    {
        std::size_t vms;
        double loss;
        core::duration max_time;
    };
    const row rows[] = {{9, 0.0, 5s}, {9, 0.2, 6s}, {60, 0.05, 10s}};
    for (const auto& it : rows)
    {
        for (const std::uint64_t seed : {1, 2, 3})
        {
            CAPTURE(it.vms);
            CAPTURE(seed);
            tests::fake_options options;
            options.vms = it.vms;
            options.seed = seed;
            fake_fleet fleet(options);
            REQUIRE(
                fleet.run_until(
                    [&] {
                        return fleet.all_joined();
                    },
                    60s) < 60s);
            fleet.set_loss(it.loss);
            REQUIRE(fleet.member(3).withdraw(key(1)).ok());
            CHECK(
                fleet.run_until(
                    [&] {
                        return fleet.all([&](std::size_t n) {
                            return has_withdrawal(fleet, n, 1) &&
                                   (n == 3 ||
                                    fleet.at(n).withdrawn.count(key(1)) != 0);
                        });
                    },
                    60s) <= it.max_time);
        }
    }
}

TEST_CASE("a VM that missed the news gets it before its isolation ends")
{
    fake_fleet fleet({});
    REQUIRE(
        fleet.run_until(
            [&] {
                return fleet.all_joined();
            },
            60s) < 60s);
    fleet.set_filter([](const auto& from, const auto& to, bool) {
        return from.id == "vm3" || to.id == "vm3";
    });
    fleet.run(10s);
    REQUIRE(fleet.member(0).withdraw(key(1)).ok());
    fleet.run(300s);
    CHECK(fleet.member(3).isolated());
    CHECK_FALSE(has_withdrawal(fleet, 3, 1));
    fleet.set_filter(nullptr);
    CHECK(
        fleet.run_until(
            [&] {
                return !fleet.member(3).isolated();
            },
            60s) <= 12s);
    CHECK(has_withdrawal(fleet, 3, 1));
}

TEST_CASE("many simultaneous withdrawals all arrive, also at a restarted VM")
{
    fake_fleet fleet({});
    REQUIRE(
        fleet.run_until(
            [&] {
                return fleet.all_joined();
            },
            60s) < 60s);
    for (std::uint16_t n = 0; n < 1000; ++n)
    {
        REQUIRE(fleet.member(n % 9).withdraw(key(n)).ok());
    }
    const auto everywhere = [&] {
        return fleet.all([&](std::size_t n) {
            return fleet.member(n).withdrawals().items().size() == 1000;
        });
    };
    CHECK(fleet.run_until(everywhere, 60s) <= 20s);
    fleet.restart(4);
    CHECK(fleet.run_until(everywhere, 60s) <= 12s);
}

TEST_CASE("the set is bounded and drops committed withdrawals")
{
    bool committed = false;
    membership::withdrawal_set set([&](const auto& it) {
        return committed && it == key(1);
    });
    for (std::uint16_t n = 0; n < membership::withdrawal_set::max_withdrawals;
         ++n)
    {
        REQUIRE(set.add(key(n)).ok());
    }
    CHECK(absl::IsResourceExhausted(set.add(key(5000)).status()));
    CHECK_FALSE(*set.add(key(7)));
    committed = true;
    set.drop_committed();
    CHECK_EQ(
        set.items().size(), membership::withdrawal_set::max_withdrawals - 1);
    // A peer that lags behind doesn't bring it back.
    CHECK_FALSE(*set.add(key(1)));
    CHECK(*set.add(key(5000)));

    membership::withdrawal_set other(nullptr);
    for (const auto& it : set.items())
    {
        REQUIRE(other.add(it).ok());
    }
    CHECK_EQ(other.digest(), set.digest());
}
