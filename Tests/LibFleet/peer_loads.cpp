// Guards against loads that are counted twice, never expire or get lost when
// notices are reordered or lost, or when the sending VM restarts.

#include <LibFleet/peer_loads.hpp>

#include <doctest.h>

using namespace hyssoploft;
using fleet::load_notice;
using fleet::load_notice_builder;
using fleet::load_row;
using fleet::peer_load_table;
using std::chrono::milliseconds;

namespace {

const core::time_point start{std::chrono::seconds(50)};

std::uint32_t
waiting_tokens_at(const peer_load_table& received, const char* upstream, int ms)
{
    const auto sums = received.sums(start + milliseconds(ms));
    const auto found = sums.find(upstream);
    return found == sums.end() ? 0 : found->second.waiting_tokens;
}

} // namespace

TEST_CASE("only changed rows are sent, and each row again after a second")
{
    load_notice_builder announcer(1);
    const std::vector<load_row> loads = {{"a", 1, 500}, {"b", 2, 0}};
    const auto first = announcer.next_notices(loads, start);
    REQUIRE(first.size() == 1);
    CHECK(first[0].rows.size() == 2);
    CHECK(announcer.next_notices(loads, start + milliseconds(500)).empty());
    const auto changed = announcer.next_notices(
        {{"a", 1, 0}, {"b", 2, 0}}, start + milliseconds(600));
    REQUIRE(changed.size() == 1);
    CHECK(changed[0].rows == std::vector<load_row>{{"a", 1, 0}});
    const auto repeated = announcer.next_notices(
        {{"a", 1, 0}, {"b", 2, 0}}, start + milliseconds(1100));
    REQUIRE(repeated.size() == 1);
    CHECK(repeated[0].rows == std::vector<load_row>{{"b", 2, 0}});
    const auto ended =
        announcer.next_notices({{"b", 2, 0}}, start + milliseconds(1200));
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].rows == std::vector<load_row>{{"a", 0, 0}});
}

TEST_CASE("many rows are split into notices that fit into a datagram")
{
    load_notice_builder announcer(1);
    std::vector<load_row> loads;
    for (int n = 0; n < 300; ++n)
    {
        loads.push_back({"i-upstream-" + std::to_string(n), 1, 100});
    }
    peer_load_table received;
    for (const auto& it : announcer.next_notices(loads, start))
    {
        CHECK(it.rows.size() <= load_notice_builder::max_row_bytes / 16);
        received.apply("vm", it, start);
    }
    CHECK(received.sums(start).size() == 300);
}

TEST_CASE("sums follow the newest row of each VM")
{
    peer_load_table received;
    received.apply("one", {1, 1, {{"a", 1, 100}}}, start);
    received.apply("two", {9, 1, {{"a", 1, 40}}}, start);
    CHECK(waiting_tokens_at(received, "a", 0) == 140);
    // A reordered older notice is ignored.
    received.apply("one", {1, 3, {{"a", 1, 10}}}, start);
    received.apply("one", {1, 2, {{"a", 5, 900}}}, start);
    CHECK(waiting_tokens_at(received, "a", 0) == 50);
    // A restart of the VM discards the rows of its earlier incarnation.
    received.apply("one", {2, 1, {{"b", 1, 7}}}, start);
    CHECK(waiting_tokens_at(received, "a", 0) == 40);
    CHECK(waiting_tokens_at(received, "b", 0) == 7);
}

TEST_CASE("rows of a silent VM, and rows whose last change was lost, expire")
{
    peer_load_table received;
    received.apply("one", {1, 1, {{"a", 1, 100}, {"b", 1, 5}}}, start);
    received.apply("one", {1, 2, {{"b", 1, 5}}}, start + milliseconds(2000));
    CHECK(waiting_tokens_at(received, "a", 2400) == 100);
    CHECK(waiting_tokens_at(received, "a", 2600) == 0);
    CHECK(waiting_tokens_at(received, "b", 2600) == 5);
    CHECK(received.live_peer_count(start + milliseconds(2600)) == 1);
    CHECK(received.live_peer_count(start + milliseconds(5000)) == 0);
}

TEST_CASE("a VM's own calls are subtracted from the sums")
{
    std::map<std::string, load_row> sums = {
        {"a", {"a", 3, 900}}, {"b", {"b", 1, 100}}, {"c", {"c", 2, 50}}};
    // The load on "b" grew after the sum was computed.
    fleet::subtract_loads(sums, {{"a", 1, 400}, {"b", 2, 700}, {"d", 1, 9}});
    CHECK(sums["a"] == load_row{"a", 2, 500});
    CHECK(sums["b"] == load_row{"b", 0, 0});
    CHECK(sums["c"] == load_row{"c", 2, 50});
    CHECK(sums.size() == 3);
}
