// Guards against credit above the cap, and against refunds of reservations that
// are settled together and let their tokens exceed the burst.

#include <LibRate/seeded_property.hpp>
#include <LibRate/token_bucket.hpp>

#include <doctest.h>

#include <vector>

using namespace hyssoploft;
using namespace std::chrono_literals;

TEST_CASE("a bucket starts empty, accrues and is capped")
{
    core::time_point now{};
    rate::token_bucket bucket(now);
    bucket.configure(10, 50);
    CHECK_FALSE(bucket.take(1));
    CHECK_EQ(bucket.time_until_available(5) / 1ms, 500);
    bucket.advance(now + 3s);
    CHECK_EQ(bucket.credit(), doctest::Approx(30));
    bucket.advance(now + 1s); // An earlier time has no effect.
    bucket.advance(now + 100s);
    CHECK_EQ(bucket.credit(), doctest::Approx(50));
    CHECK_FALSE(bucket.take(51));
    CHECK_EQ(bucket.time_until_available(51), core::duration::max());
    CHECK_FALSE(bucket.take(-1));
    CHECK_FALSE(bucket.take(std::numeric_limits<double>::quiet_NaN()));
    CHECK_EQ(bucket.configure(10, 20), doctest::Approx(30));
    CHECK_EQ(bucket.credit(), doctest::Approx(20));
}

TEST_CASE("credit that would have overflowed in the meantime is not refunded")
{
    core::time_point now{};
    rate::token_bucket bucket(now);
    bucket.configure(10, 100);
    bucket.advance(now + 10s);
    REQUIRE(bucket.take(100));
    const auto first = bucket.epoch();
    bucket.advance(now + 19s);
    REQUIRE(bucket.take(90)); // Only 10 below the cap before this.
    CHECK_EQ(bucket.refund(first, 100), doctest::Approx(10));
    CHECK_EQ(bucket.refund(first, 100), doctest::Approx(0));
    CHECK_EQ(bucket.refund(bucket.epoch() + 1, 5), 0);
}

TEST_CASE("property: tokens used in any window stay within burst and rate")
{
    const bool ok = tests::holds(
        11, 300, 200,
        [](const std::vector<std::array<std::uint8_t, 3>>& actions) {
            struct usage
            {
                double at;
                double tokens;
                std::uint64_t epoch;
                double refundable;
            };
            rate::token_bucket bucket({});
            bucket.configure(10, 100);
            std::vector<usage> usages;
            core::time_point now{};
            for (const auto& action : actions)
            {
                now += std::chrono::milliseconds(action[0] * 20);
                bucket.advance(now);
                const double tokens = action[1] % 110;
                if (action[2] % 2 == 0 && bucket.take(tokens))
                {
                    usages.push_back(
                        {core::to_seconds(now.time_since_epoch()), tokens,
                         bucket.epoch(), tokens});
                }
                else if (!usages.empty())
                {
                    usage& it = usages[action[2] % usages.size()];
                    const double unused = std::min(tokens, it.refundable);
                    bucket.refund(it.epoch, unused);
                    it.tokens -= unused;
                    it.refundable = 0;
                }
            }
            double level = 0;
            double last = 0;
            for (const auto& it : usages)
            {
                level = std::max(0.0, level - 10 * (it.at - last)) + it.tokens;
                last = it.at;
                RC_ASSERT(level <= 100 + 1e-6);
            }
        });
    CHECK(ok);
}
