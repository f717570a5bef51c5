// Guards against calls to upstreams that said in an answer that they leave, and
// against taking a new incarnation for the old one.

#include <LibFleet/leaving_upstreams.hpp>
#include <LibFleet/upstream_table.hpp>

#include <doctest.h>

using namespace hyssoploft;
using fleet::leaving_upstreams;
using fleet::upstream_table;
using membership::upstream_state;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(100)};

membership::fleet_view listing(std::uint64_t incarnation, upstream_state state)
{
    membership::fleet_view out;
    auto& it = out.upstreams["u"];
    it.id = "u";
    it.incarnation = incarnation;
    it.state = state;
    return out;
}

fleet::upstream_row row(std::uint64_t incarnation, std::uint64_t sequence)
{
    fleet::upstream_row out;
    out.id = "u";
    out.address = "10.0.0.1:80";
    out.incarnation = incarnation;
    out.sequence = sequence;
    return out;
}

} // namespace

TEST_CASE("leaving is final for an incarnation and older ones")
{
    leaving_upstreams it;
    CHECK_FALSE(it.contains("u", 5));
    CHECK(it.add("u", 5, start));
    CHECK_FALSE(it.add("u", 5, start + seconds(1)));
    CHECK_FALSE(it.add("u", 4, start + seconds(1)));
    CHECK(it.contains("u", 5));
    CHECK(it.contains("u", 4));
    CHECK_FALSE(it.contains("u", 6));
    CHECK_FALSE(it.contains("v", 5));
    CHECK(it.add("u", 6, start + seconds(1)));
    CHECK(it.contains("u", 6));
}

TEST_CASE("a leaving upstream is reported until the view says so")
{
    leaving_upstreams it;
    it.add("u", 5, start);
    const auto now = start + milliseconds(1500);
    const std::vector<fleet::leave_row> reported{{"u", 5, 1500}};
    CHECK(it.unconfirmed(listing(5, upstream_state::serving), now) == reported);
    // An older incarnation may be all that the control VMs know.
    CHECK(it.unconfirmed(listing(4, upstream_state::serving), now) == reported);
    CHECK(it.unconfirmed(listing(5, upstream_state::leaving), now).empty());
    CHECK(it.unconfirmed(listing(6, upstream_state::serving), now).empty());
    CHECK(it.unconfirmed({}, now).empty());
    // The row was lost and announced again.
    CHECK(it.unconfirmed(listing(5, upstream_state::serving), now) == reported);
}

TEST_CASE("a leaving upstream is forgotten long after it was last listed")
{
    leaving_upstreams it;
    it.add("u", 5, start);
    auto now = start + minutes(9);
    SUBCASE("not listed at all")
    {
        it.remove_stale({}, now);
        CHECK(it.contains("u", 5));
        it.remove_stale({}, now + minutes(2));
        CHECK(it.size() == 0);
    }
    SUBCASE("listed in a newer incarnation")
    {
        const auto view = listing(6, upstream_state::serving);
        it.remove_stale(view, now);
        CHECK(it.contains("u", 5));
        it.remove_stale(view, now + minutes(2));
        CHECK(it.size() == 0);
    }
    SUBCASE("still listed")
    {
        const auto view = listing(5, upstream_state::serving);
        it.remove_stale(view, now);
        it.remove_stale(view, now + minutes(9));
        CHECK(it.contains("u", 5));
    }
}

TEST_CASE("a reported leave concerns the incarnation that answered")
{
    std::uint64_t change_counter = 0;
    upstream_table table(change_counter);
    table.announce(row(5, 1), start);
    CHECK(table.leave({"u", 4}, start) == upstream_table::change::none);
    CHECK(table.leave({"u", 5}, start) == upstream_table::change::leaving);
    CHECK(table.leave({"u", 5}, start) == upstream_table::change::none);
    const auto state = [&] {
        return static_cast<upstream_state>(table.entries().at("u").row.state);
    };
    table.announce(row(5, 2), start + seconds(1));
    CHECK(state() == upstream_state::leaving);
    table.announce(row(6, 1), start + seconds(2));
    CHECK(state() == upstream_state::serving);
    CHECK(table.leave({"u", 5}, start) == upstream_table::change::none);
    CHECK(state() == upstream_state::serving);
}
