// Guards against a log that takes more memory at a start than the process may
// use, because only its entries are counted.

#include <LibControl/compaction_rule.hpp>

#include <doctest.h>

#include <algorithm>
#include <cstdint>

namespace hyssoploft::tests {

using control::compaction_rule;

namespace {

struct log_size
{
    std::uint64_t entries = 0;
    std::uint64_t bytes = 0;
};

/// The largest log between two snapshots of `n` entries.
log_size largest_log(
    std::uint64_t n, std::uint64_t entry_bytes, std::uint64_t state_bytes)
{
    compaction_rule it;
    log_size now;
    log_size out;
    for (std::uint64_t i = 0; i < n; ++i)
    {
        it.add_entry(entry_bytes);
        now.entries += 1;
        now.bytes += entry_bytes;
        out.entries = std::max(out.entries, now.entries);
        out.bytes = std::max(out.bytes, now.bytes);
        if (it.is_due())
        {
            it.compacted(state_bytes);
            now = {};
        }
    }
    return out;
}

} // namespace

TEST_CASE("the log between two snapshots is bounded by entries and bytes")
{
    struct row
    {
        const char* name;
        std::uint64_t entry_bytes;
        std::uint64_t state_bytes;
        std::uint64_t max_bytes;
    };
    constexpr std::uint64_t mib = std::uint64_t{1} << 20;
    const row rows[] = {
        {"a day's changes at 3,000 accounts", 120'000, 120'000, 5 * mib},
        {"a large state", 120'000, 16 * mib, 33 * mib},
        {"small orders", 100, 4 * mib, 1 * mib},
        {"the largest documents", 512 * 1024, 1 * mib, 5 * mib},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        const auto out = largest_log(30'000, row.entry_bytes, row.state_bytes);
        CHECK(out.entries <= compaction_rule::max_entries);
        CHECK(out.bytes <= row.max_bytes);
    }
}

TEST_CASE("a snapshot is not taken for each entry of a large state")
{
    compaction_rule it;
    it.compacted(64 << 20);
    for (int n = 0; n < 100; ++n)
    {
        it.add_entry(1 << 20);
        CHECK_FALSE(it.is_due());
    }
}

} // namespace hyssoploft::tests
