// Guards against upstreams that stay usable after their lease expired or they
// left, and against renewals applied to the wrong upstream.

#include <LibMembership/upstream_registry.hpp>

#include <LibMembership/fake_fleet.hpp>
#include <LibMembership/load_code.hpp>

#include <doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>

using namespace hyssoploft;
using namespace std::chrono_literals;
using membership::upstream_registry;
using membership::upstream_state;

namespace {

const core::time_point start{1h};

membership::upstream_record record(
    std::uint64_t incarnation, std::uint64_t sequence, const char* model = "m")
{
    auto it = tests::make_upstream(1, 0, sequence);
    it.incarnation = incarnation;
    it.models = {model};
    return it;
}

upstream_state state_of(const upstream_registry& it)
{
    return it.find("upstream1")->record.state;
}

} // namespace

TEST_CASE("announcements are accepted or rejected by incarnation and sequence")
{
    struct row
    {
        const char* what;
        membership::upstream_record announced;
        absl::StatusCode expected;
    };
    auto without_address = record(2, 9);
    without_address.address.clear();
    auto long_field = record(2, 9);
    long_field.role.assign(500, 'x');
    const row rows[] = {
        {"newer sequence", record(2, 6), absl::StatusCode::kOk},
        {"same sequence", record(2, 5), absl::StatusCode::kAlreadyExists},
        {"older sequence", record(2, 4), absl::StatusCode::kAlreadyExists},
        {"new incarnation", record(3, 1), absl::StatusCode::kOk},
        {"old incarnation", record(1, 9),
         absl::StatusCode::kFailedPrecondition},
        {"no address", without_address, absl::StatusCode::kInvalidArgument},
        {"long field", long_field, absl::StatusCode::kInvalidArgument},
    };
    for (const auto& it : rows)
    {
        CAPTURE(it.what);
        upstream_registry registry("region0");
        REQUIRE(registry.announce(record(2, 5), start).ok());
        CHECK(registry.announce(it.announced, start).code() == it.expected);
    }
}

TEST_CASE("a lease expires after 6 s without renewal and a new one restores it")
{
    upstream_registry registry("region0");
    REQUIRE(registry.announce(record(1, 1), start).ok());
    registry.tick(start + 5999ms);
    CHECK(state_of(registry) == upstream_state::serving);
    CHECK(registry.tick(start + 6s));
    CHECK(state_of(registry) == upstream_state::expired);
    // An outdated update of a peer doesn't restore it.
    auto old = registry.update_of(*registry.find("upstream1"), false);
    old.state = upstream_state::serving;
    registry.apply(old, start + 7s);
    CHECK(state_of(registry) == upstream_state::expired);
    CHECK(registry.announce(record(1, 2), start + 8s).ok());
    CHECK(state_of(registry) == upstream_state::serving);
    registry.tick(start + 20s);
    registry.tick(start + 12min);
    CHECK(registry.find("upstream1") == nullptr);
}

TEST_CASE("leaving is final for the incarnation")
{
    upstream_registry registry("region0");
    REQUIRE(registry.announce(record(1, 5), start).ok());
    CHECK(absl::IsNotFound(registry.leave("upstream1", 0, start)));
    REQUIRE(registry.leave("upstream1", 1, start).ok());
    CHECK(state_of(registry) == upstream_state::leaving);
    CHECK_FALSE(registry.announce(record(1, 6), start).ok());
    auto peer = registry.update_of(*registry.find("upstream1"), false);
    peer.state = upstream_state::serving;
    peer.sequence = 50;
    registry.apply(peer, start);
    CHECK(state_of(registry) == upstream_state::leaving);
    registry.tick(start + 10s);
    peer.sequence = 60;
    registry.apply(peer, start + 11s);
    CHECK(state_of(registry) == upstream_state::leaving);
    CHECK(registry.announce(record(2, 1), start + 12s).ok());
    CHECK(state_of(registry) == upstream_state::serving);
}

TEST_CASE("a leave that arrives before the announcement is kept")
{
    upstream_registry registry("region0");
    membership::upstream_update leave;
    leave.id = "upstream1";
    leave.incarnation = 1;
    leave.sequence = 3;
    leave.state = upstream_state::leaving;
    registry.apply(leave, start);
    CHECK(state_of(registry) == upstream_state::leaving);
    CHECK_FALSE(registry.announce(record(1, 4), start).ok());
}

TEST_CASE("a leave at a VM that lacks the announcement is not lost")
{
    upstream_registry registry("region0");
    REQUIRE(registry.leave("upstream1", 1, start).ok());
    CHECK(state_of(registry) == upstream_state::leaving);
    upstream_registry announced("region0");
    REQUIRE(announced.announce(record(1, 4), start).ok());
    const auto update = announced.update_of(*announced.find("upstream1"), true);
    registry.apply(update, start + 1s);
    CHECK(state_of(registry) == upstream_state::leaving);
    const auto leave = registry.update_of(*registry.find("upstream1"), true);
    announced.apply(leave, start + 1s);
    CHECK(state_of(announced) == upstream_state::leaving);
}

// Guards against a departure that is dropped because its start was not heard of
// while an earlier one is known.
TEST_CASE("a leave of a later incarnation than the known one is kept")
{
    upstream_registry registry("region0");
    REQUIRE(registry.announce(record(1, 5), start).ok());
    REQUIRE(registry.leave("upstream1", 2, start).ok());
    CHECK(state_of(registry) != upstream_state::serving);
    CHECK(registry.find("upstream1")->record.incarnation == 2);
    // Late announcements of either start, and a peer's late update.
    CHECK_FALSE(registry.announce(record(1, 6), start + 1s).ok());
    CHECK_FALSE(registry.announce(record(2, 1), start + 1s).ok());
    upstream_registry peer("region0");
    REQUIRE(peer.announce(record(2, 1), start + 1s).ok());
    registry.apply(peer.update_of(*peer.find("upstream1"), false), start + 1s);
    CHECK(state_of(registry) != upstream_state::serving);
    // The peer learns of it as of any other departure.
    peer.apply(
        registry.update_of(*registry.find("upstream1"), true), start + 1s);
    CHECK(state_of(peer) == upstream_state::leaving);
    CHECK(registry.announce(record(3, 1), start + 2s).ok());
    CHECK(state_of(registry) == upstream_state::serving);
}

TEST_CASE("renewals apply to exactly the upstreams that they were sent for")
{
    upstream_registry a("region0");
    upstream_registry b("region0");
    for (std::size_t n = 0; n < 40; ++n)
    {
        const auto it = tests::make_upstream(n, 0, 250);
        REQUIRE(a.announce(it, start).ok());
        REQUIRE(b.announce(it, start).ok());
    }
    for (std::size_t n = 0; n < 20; ++n)
    {
        REQUIRE(a.announce(tests::make_upstream(n, 0, 260), start + 5s).ok());
    }
    for (std::size_t bucket = 0; bucket < membership::bucket_count; ++bucket)
    {
        CHECK(b.apply_renewals(a.renewals_of(bucket), start + 5s));
    }
    b.tick(start + 8s);
    for (std::size_t n = 0; n < 40; ++n)
    {
        const auto* it = b.find(core::concat("upstream", n));
        CHECK_EQ(it->record.sequence, n < 20 ? 260 : 250);
        CHECK_EQ(it->record.state == upstream_state::serving, n < 20);
    }
}

TEST_CASE("renewals for a different set of upstreams are rejected")
{
    upstream_registry a("region0");
    upstream_registry b("region0");
    REQUIRE(a.announce(record(1, 9), start).ok());
    REQUIRE(b.announce(record(1, 5, "other"), start).ok());
    const auto bucket = [&] {
        for (std::size_t n = 0; n < membership::bucket_count; ++n)
        {
            if (!a.renewals_of(n).renewals.empty())
            {
                return n;
            }
        }
        return membership::bucket_count;
    }();
    REQUIRE(bucket < membership::bucket_count);
    CHECK_FALSE(b.apply_renewals(a.renewals_of(bucket), start));
    CHECK_EQ(b.find("upstream1")->record.sequence, 5);
    // The newer description makes the digests equal.
    b.apply(a.update_of(*a.find("upstream1"), false), start);
    CHECK_EQ(b.find("upstream1")->record.models.front(), "m");
    CHECK(b.apply_renewals(a.renewals_of(bucket), start));
}

TEST_CASE("a renewal byte never sets a sequence back, nor far ahead")
{
    CHECK(rc::check("gap", [](std::uint16_t known, std::uint16_t ahead) {
        upstream_registry a("region0");
        upstream_registry b("region0");
        const std::uint64_t from = 1 + known;
        const std::uint64_t to = from + ahead % 600;
        RC_ASSERT(a.announce(record(1, from), start).ok());
        RC_ASSERT(b.announce(record(1, from), start).ok());
        (void)a.announce(record(1, to), start);
        for (std::size_t n = 0; n < membership::bucket_count; ++n)
        {
            b.apply_renewals(a.renewals_of(n), start);
            a.apply_renewals(b.renewals_of(n), start);
        }
        const auto at = b.find("upstream1")->record.sequence;
        RC_ASSERT(at >= from);
        RC_ASSERT(at <= from + upstream_registry::max_renewal_gap);
        RC_ASSERT(to - from > upstream_registry::max_renewal_gap || at == to);
    }));
}

TEST_CASE("loads are forwarded inside a region only, with their age")
{
    upstream_registry a("region0");
    upstream_registry b("region0");
    upstream_registry c("region1");
    membership::load_report load;
    load.running = 300;
    load.queued = 3;
    load.tokens_per_second = 1234;
    load.lag = 500ms;
    for (auto* it : {&a, &b, &c})
    {
        REQUIRE(it->announce(record(1, 1), start).ok());
    }
    REQUIRE(a.report_load("upstream1", load, start).ok());
    bool passed = false;
    for (std::size_t n = 0; n < membership::bucket_count; ++n)
    {
        const auto sent = a.loads_of(n, start + 1s);
        passed =
            (!sent.loads.empty() && b.apply_loads(sent, start + 1s)) || passed;
        CHECK(c.loads_of(n, start + 1s).loads.empty());
        // A report that returns to its sender is not newer.
        CHECK_FALSE(a.apply_loads(b.loads_of(n, start + 2s), start + 2s));
    }
    REQUIRE(passed);
    const auto& got = b.find("upstream1")->record.load;
    CHECK_EQ(got.queued, 3);
    CHECK(std::abs(got.running - 300.0) < 9);
    CHECK(std::abs(got.tokens_per_second - 1234) < 37);
    CHECK(got.lag >= 1500ms);
    CHECK(got.lag <= 1700ms);
    const auto summary = a.own_region_summary();
    CHECK_EQ(summary.upstreams, 1);
    CHECK_EQ(summary.running, 300);
}

TEST_CASE("load codes stay within the error bound")
{
    for (double n = 0; n < 500000; n = n * 1.01 + 1)
    {
        const double back =
            membership::from_load_code(membership::to_load_code(n));
        CHECK(std::abs(back - n) <= std::max(0.5, 0.03 * n));
    }
    CHECK_EQ(membership::to_load_code(-1), 0);
    CHECK_EQ(membership::to_load_code(std::nan("")), 0);
    CHECK_EQ(membership::to_load_code(1e300), 255);
}

TEST_CASE("the registry is bounded and evicts expired upstreams only")
{
    upstream_registry registry("region0");
    for (std::size_t n = 0; n < upstream_registry::max_upstreams; ++n)
    {
        REQUIRE(registry.announce(tests::make_upstream(n, 0, 1), start).ok());
    }
    const auto one_more =
        tests::make_upstream(upstream_registry::max_upstreams, 0, 1);
    CHECK(absl::IsResourceExhausted(registry.announce(one_more, start)));
    registry.tick(start + 6s);
    CHECK(registry.announce(one_more, start + 6s).ok());
    CHECK_EQ(registry.entries().size(), upstream_registry::max_upstreams);
}

TEST_CASE("the order and repetition of updates make no difference")
{
    CHECK(rc::check("merge", [](std::vector<std::uint8_t> codes) {
        std::vector<membership::upstream_update> updates;
        for (const auto code : codes)
        {
            membership::upstream_update it;
            it.id = core::concat("u", code % 3);
            it.incarnation = 1 + code / 3 % 3;
            it.sequence = 1 + code / 9 % 4;
            it.description_sequence = it.sequence;
            it.state = code / 36 % 4 == 0 ? upstream_state::leaving
                                          : upstream_state::serving;
            it.address = core::concat("a", it.sequence);
            updates.push_back(it);
        }
        const auto run = [&](const auto& list) {
            upstream_registry registry("region0");
            for (const auto& it : list)
            {
                registry.apply(it, start);
            }
            return registry.digests();
        };
        auto other = updates;
        std::reverse(other.begin(), other.end());
        other.insert(other.end(), updates.begin(), updates.end());
        RC_ASSERT(run(updates) == run(other));
    }));
}
