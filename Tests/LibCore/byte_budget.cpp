// Guards against buffers that together take more memory than the process may
// use, and against one peer that takes what others need.

#include <LibCore/byte_budget.hpp>

#include <doctest.h>

#include <utility>
#include <vector>

namespace hyssoploft::tests {

namespace {

constexpr std::size_t free_bytes = core::byte_budget::free_bytes;

core::byte_reservation
reserve(const std::shared_ptr<core::byte_budget>& it, const char* owner)
{
    return core::byte_reservation(it, owner);
}

} // namespace

TEST_CASE("buffers are refused beyond the budget and beyond an owner's part")
{
    const auto budget = std::make_shared<core::byte_budget>(1000, 600);
    auto a = reserve(budget, "a");
    auto b = reserve(budget, "a");
    auto c = reserve(budget, "c");
    CHECK(a.resize(free_bytes + 400));
    CHECK_FALSE(b.resize(free_bytes + 201));
    CHECK(b.resize(free_bytes + 200));
    CHECK_FALSE(c.resize(free_bytes + 401));
    CHECK(c.resize(free_bytes + 400));
    CHECK(budget->used() == 1000);
    CHECK(budget->refused() == 2);
    // A refused reservation keeps what it has.
    CHECK_FALSE(c.resize(free_bytes + 500));
    CHECK(budget->used() == 1000);
}

TEST_CASE("small buffers have room when the budget is used up")
{
    const auto budget = std::make_shared<core::byte_budget>(1000, 1000);
    auto large = reserve(budget, "a");
    CHECK(large.resize(free_bytes + 1000));
    auto small = reserve(budget, "a");
    CHECK(small.resize(free_bytes));
    CHECK_FALSE(small.resize(free_bytes + 1));
    CHECK(budget->used() == 1000);
}

TEST_CASE("what buffers held is given back")
{
    const auto budget = std::make_shared<core::byte_budget>(1000, 1000);
    {
        auto a = reserve(budget, "a");
        CHECK(a.resize(free_bytes + 1000));
        CHECK(a.resize(free_bytes + 100));
        CHECK(budget->used() == 100);
        auto b = std::move(a);
        CHECK(budget->used() == 100);
        b = reserve(budget, "b");
        CHECK(budget->used() == 0);
        CHECK(b.resize(free_bytes + 700));
        std::vector<core::byte_reservation> all;
        all.push_back(std::move(b));
        CHECK(budget->used() == 700);
    }
    CHECK(budget->used() == 0);
    CHECK(core::byte_reservation().resize(std::size_t{1} << 40));
}

} // namespace hyssoploft::tests
