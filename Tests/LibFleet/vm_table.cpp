// Guards against stopped VMs that stay listed as alive, and against replies
// that repeat unchanged rows.

#include <LibFleet/vm_table.hpp>

#include <doctest.h>

using namespace hyssoploft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::time_point start{seconds(100)};

fleet::vm_row vm(const char* id)
{
    fleet::vm_row out;
    out.id = id;
    out.entry_address = "10.0.0.1:80";
    out.ready = true;
    return out;
}

} // namespace

TEST_CASE("a VM that stops reporting is dead and not ready")
{
    std::uint64_t change_counter = 0;
    fleet::vm_table table(change_counter);
    CHECK(table.apply_report(vm("a"), start));
    CHECK_FALSE(table.apply_report(vm("a"), start + seconds(1)));
    CHECK_FALSE(
        table.tick(start + seconds(1) + fleet::vm_table::silence_timeout));
    CHECK(table.tick(
        start + seconds(1) + fleet::vm_table::silence_timeout +
        milliseconds(1)));
    const auto& row = table.entries().at("a").row;
    CHECK(row.state == static_cast<std::uint8_t>(membership::vm_state::dead));
    CHECK_FALSE(row.ready);
    // The next report revives it.
    CHECK(table.apply_report(vm("a"), start + seconds(9)));
    table.tick(
        start + seconds(9) + fleet::vm_table::removal_timeout + seconds(1));
    CHECK(table.entries().empty());
}

TEST_CASE("replies contain only changed rows")
{
    std::uint64_t change_counter = 0;
    fleet::vm_table table(change_counter);
    table.apply_report(vm("a"), start);
    const auto cursor = change_counter;
    table.apply_report(vm("b"), start);
    table.apply_report(vm("a"), start);
    const auto rows = table.changed_since(cursor);
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].id == "b");
}
