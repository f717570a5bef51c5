// Guards against VMs that ended and are still named, and against answers that
// repeat what is known.

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
    std::uint64_t changes = 0;
    fleet::vm_table table(changes);
    CHECK(table.hear(vm("a"), start));
    CHECK_FALSE(table.hear(vm("a"), start + seconds(1)));
    CHECK_FALSE(table.tick(start + seconds(1) + fleet::vm_table::silence));
    CHECK(table.tick(
        start + seconds(1) + fleet::vm_table::silence + milliseconds(1)));
    const auto& row = table.entries().at("a").row;
    CHECK(row.state == static_cast<std::uint8_t>(membership::vm_state::dead));
    CHECK_FALSE(row.ready);
    // It comes back with its next report.
    CHECK(table.hear(vm("a"), start + seconds(9)));
    table.tick(start + seconds(9) + fleet::vm_table::forget_after + seconds(1));
    CHECK(table.entries().empty());
}

TEST_CASE("answers carry changes only")
{
    std::uint64_t changes = 0;
    fleet::vm_table table(changes);
    table.hear(vm("a"), start);
    const auto cursor = changes;
    table.hear(vm("b"), start);
    table.hear(vm("a"), start);
    const auto rows = table.changed_since(cursor);
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].id == "b");
}
