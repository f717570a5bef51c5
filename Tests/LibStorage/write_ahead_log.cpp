// Guards against records that are lost after they were reported as synced,
// records that appear from nowhere, and damage taken for an empty log.

#include <LibCore/keyed_hash.hpp>
#include <LibStorage/write_ahead_log.hpp>
#include <Support/check_property.hpp>
#include <Support/fake_file_system.hpp>

#include <doctest.h>

using namespace hyssoploft;
using storage::recovered_log;
using storage::write_ahead_log;
using records = std::vector<std::string>;

namespace {

constexpr const char* path = "d/log";

auto create(tests::fake_file_system& files)
{
    return write_ahead_log::create(files, "d", "log", 77);
}

auto open(tests::fake_file_system& files, recovered_log& found)
{
    return write_ahead_log::open(files, "d", "log", found);
}

/// Creates a log with these records after its sealed part, and closes it.
void fill(tests::fake_file_system& files, const records& all)
{
    auto log = create(files);
    REQUIRE(log.ok());
    for (const auto& it : all)
    {
        REQUIRE((*log)->append(it).ok());
    }
}

} // namespace

// A disk may move to a VM of another kind: x86-64 and arm64 write the same
// bytes.
TEST_CASE("a log file has the same bytes on every kind of machine")
{
    tests::fake_file_system files(1);
    fill(files, {"a", "", "\xff\x80"});
    const std::string bytes =
        "484c5357414c30314d000000000000000000000000000000073f8fd756c7c4c5"
        "48574c52454330310100000000000000010000000000000087f720a95c80f615"
        "92bf3e65823f98646148574c5245433031020000000000000000000000000000"
        "006887e6bc0ab491d56ba5c56c97bd7b1148574c524543303103000000000000"
        "000200000000000000906924c3925397c70f78c99764d9aef5ff80";
    CHECK_EQ(core::to_hex(files.content(path)), bytes);
}

TEST_CASE("records come back in order after any number of restarts")
{
    tests::fake_file_system files(1);
    fill(files, {"a", "", std::string(10000, 'x')});
    for (int i = 0; i < 3; ++i)
    {
        files.restart();
        recovered_log found;
        REQUIRE(open(files, found).ok());
        CHECK_EQ(found.records, records{"a", "", std::string(10000, 'x')});
        CHECK_EQ(found.cut_bytes, 0);
    }
    CHECK(absl::IsAlreadyExists(create(files).status()));
    recovered_log found;
    CHECK(absl::IsNotFound(
        write_ahead_log::open(files, "d", "none", found).status()));
}

TEST_CASE("property: a crash at any operation keeps every synced record")
{
    tests::check_property(20, 1500, [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto crash_at = *rc::gen::inRange<std::uint64_t>(1, 40);
        const auto sizes =
            *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(0, 300));
        const auto rewrite_after = *rc::gen::inRange(0, 9);
        tests::fake_file_system files(seed);
        files.crash_at = crash_at;

        records synced;
        records in_doubt; // May be found after the restart, or not.
        auto log = create(files);
        const bool created = log.ok();
        for (int i = 0; created && i < 8; ++i)
        {
            in_doubt = synced;
            in_doubt.push_back(
                std::to_string(i) +
                std::string(static_cast<std::size_t>(sizes[i]), '#'));
            if (!(*log)->append(in_doubt.back()).ok())
            {
                break;
            }
            synced = in_doubt;
            if (i == rewrite_after)
            {
                in_doubt = {"rewritten"};
                if (!(*log)->rewrite(in_doubt, seed + 1).ok())
                {
                    break;
                }
                synced = in_doubt;
            }
        }
        files.restart();
        recovered_log found;
        auto again = open(files, found);
        if (!created && absl::IsNotFound(again.status()))
        {
            return;
        }
        RC_ASSERT(again.ok());
        RC_ASSERT(found.records == synced || found.records == in_doubt);
        // What was found is durable even if the machine stops again.
        RC_ASSERT((*again)->append("next").ok());
        files.restart();
        recovered_log last;
        RC_ASSERT(open(files, last).ok());
        found.records.push_back("next");
        RC_ASSERT(last.records == found.records);
    });
}

TEST_CASE("damage before the tail is an error, damage in the tail is cut")
{
    tests::fake_file_system files(1);
    const records all{"first", "second", "third"};
    fill(files, all);
    const std::size_t size = files.content(path).size();
    const std::size_t tail = 40 + all.back().size();
    for (std::size_t i = 0; i < size; ++i)
    {
        CAPTURE(i);
        tests::fake_file_system copy(i);
        fill(copy, all);
        copy.damage(path, i);
        recovered_log found;
        const auto log = open(copy, found);
        if (i < size - tail)
        {
            CHECK(absl::IsDataLoss(log.status()));
        }
        else
        {
            CHECK(log.ok());
            CHECK_EQ(found.records, records{"first", "second"});
            CHECK_EQ(found.cut_bytes, tail);
        }
    }
}

TEST_CASE("cut files: a torn tail is repaired, sealed records are not")
{
    const records all{"first", "second"};
    for (const bool is_sealed : {false, true})
    {
        tests::fake_file_system whole(1);
        fill(whole, all);
        const std::size_t size = whole.content(path).size();
        for (std::size_t i = 0; i < size; ++i)
        {
            CAPTURE(i);
            CAPTURE(is_sealed);
            tests::fake_file_system files(i);
            fill(files, all);
            if (is_sealed)
            {
                recovered_log found;
                REQUIRE(open(files, found).ok());
            }
            REQUIRE(files.truncate(path, i).ok());
            recovered_log found;
            const auto log = open(files, found);
            // An empty file or a cut header is damage, not an empty log.
            CHECK_EQ(log.ok(), !is_sealed && i >= 32);
            CHECK_LT(found.records.size(), 2);
        }
    }
}

TEST_CASE("bytes that imitate a record inside a torn record are not damage")
{
    tests::fake_file_system other(1);
    REQUIRE(write_ahead_log::create(other, "d", "log", 78).ok());
    recovered_log none;
    auto forged = open(other, none);
    REQUIRE((*forged)->append("forged").ok());

    tests::fake_file_system files(1);
    fill(files, {"first", other.content(path) + "end"});
    const std::size_t size = files.content(path).size();
    REQUIRE(files.truncate(path, size - 1).ok());
    recovered_log found;
    CHECK(open(files, found).ok());
    CHECK_EQ(found.records, records{"first"});
}

TEST_CASE("after a fault every later call fails and synced records stay")
{
    struct fault_case
    {
        const char* name;
        void (*start)(tests::fake_file_system&);
        bool rewrites;
    };
    const fault_case cases[] = {
        {"failed sync of an append",
         [](auto& files) {
             files.fail_sync_at = files.syncs + 1;
         },
         false},
        {"failed sync of a rewrite",
         [](auto& files) {
             files.fail_sync_at = files.syncs + 1;
         },
         true},
    };
    for (const auto& it : cases)
    {
        CAPTURE(it.name);
        tests::fake_file_system files(3);
        auto log = create(files);
        REQUIRE((*log)->append("synced").ok());
        it.start(files);
        const std::string large(100, 'l');
        CHECK_FALSE(
            (it.rewrites ? (*log)->rewrite({large}, 5) : (*log)->append(large))
                .ok());
        CHECK(absl::IsFailedPrecondition((*log)->append("later")));
        CHECK(absl::IsFailedPrecondition((*log)->rewrite({}, 6)));

        // The process starts again on the same machine: what it reads may be
        // in the page cache only, and must be durable before it is used.
        recovered_log found;
        REQUIRE(open(files, found).ok());
        CHECK_EQ(found.records.front(), "synced");
        files.restart();
        recovered_log last;
        REQUIRE(open(files, last).ok());
        CHECK_EQ(last.records, found.records);
    }
}

namespace {

using tests::full_disk_refuses;

constexpr full_disk_refuses all_refusals[] = {
    full_disk_refuses::writes, full_disk_refuses::names,
    full_disk_refuses::truncation};

/// Repeats the call after the first refusal, once there is space.
template <typename Call>
bool repeat_with_space(tests::fake_file_system& files, const Call& call)
{
    auto status = call();
    if (!status.ok())
    {
        CHECK(absl::IsResourceExhausted(status));
        CHECK(absl::IsResourceExhausted(call()));
        files.is_full = false;
        files.full_at = 0;
        status = call();
    }
    return status.ok();
}

} // namespace

// Guards against a torn record that later records follow, a log that stays
// closed after a full disk, and records that were refused but are found.
TEST_CASE("space runs out at any operation and comes back")
{
    for (const auto refuses : all_refusals)
    {
        for (std::uint64_t at = 1; at <= 30; ++at)
        {
            for (std::uint64_t seed = 1; seed <= 5; ++seed)
            {
                CAPTURE(static_cast<int>(refuses));
                CAPTURE(at);
                CAPTURE(seed);
                tests::fake_file_system files(seed);
                files.refuses = refuses;
                auto log = create(files);
                files.full_at = files.operations + at;
                const std::string large(200, 'l');
                records expected;
                for (const auto* it : {"a", "b", "c"})
                {
                    expected.push_back(it + large);
                    REQUIRE(repeat_with_space(files, [&] {
                        return (*log)->append(expected.back());
                    }));
                }
                expected = {"rewritten"};
                REQUIRE(repeat_with_space(files, [&] {
                    return (*log)->rewrite(expected, 5);
                }));
                expected.push_back("last");
                REQUIRE(repeat_with_space(files, [&] {
                    return (*log)->append(expected.back());
                }));
                files.full_at = 0;
                files.is_full = false;
                files.restart();
                recovered_log found;
                REQUIRE(open(files, found).ok());
                CHECK_EQ(found.records, expected);
                CHECK_EQ(found.cut_bytes, 0);
            }
        }
    }
}

// Guards against a refused record that is found after a loss of power.
TEST_CASE("power is lost while the disk is full")
{
    for (const auto refuses : all_refusals)
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed)
        {
            CAPTURE(static_cast<int>(refuses));
            CAPTURE(seed);
            tests::fake_file_system files(seed);
            files.refuses = refuses;
            fill(files, {"synced"});
            recovered_log found;
            auto log = open(files, found);
            REQUIRE((*log)->append("also synced").ok());
            files.is_full = true;
            const std::string large(200, 'l');
            CHECK(absl::IsResourceExhausted((*log)->append(large)));
            files.restart();
            files.is_full = false;
            recovered_log last;
            REQUIRE(open(files, last).ok());
            CHECK_EQ(last.records, records{"synced", "also synced"});
        }
    }
}

// Guards against a start that needs the space of a second log, and against
// records that are acknowledged from the page cache.
TEST_CASE("a log is loaded from a full disk and made durable with space")
{
    for (const auto refuses : all_refusals)
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            CAPTURE(static_cast<int>(refuses));
            CAPTURE(seed);
            tests::fake_file_system files(seed);
            files.refuses = refuses;
            const std::string large(200, 'l');
            fill(files, {large, "b"});
            {
                recovered_log found;
                auto log = open(files, found);
                files.fail_sync_at = files.syncs + 1;
                CHECK_FALSE((*log)->append("doubtful").ok());
            }
            // Another process starts; there is no room for a second log.
            files.is_full = true;
            records loaded;
            auto log = write_ahead_log::load(
                files, "d", "log", [&](std::string_view it) {
                    loaded.emplace_back(it);
                    return absl::OkStatus();
                });
            REQUIRE(log.ok());
            CHECK_EQ(loaded, records{large, "b", "doubtful"});
            CHECK(absl::IsResourceExhausted((*log)->make_durable()));
            CHECK(absl::IsResourceExhausted((*log)->make_durable()));
            files.is_full = false;
            files.capacity = files.content(path).size() + 60;
            REQUIRE((*log)->make_durable().ok());
            REQUIRE((*log)->append("next").ok());
            files.capacity = SIZE_MAX;
            files.restart();
            recovered_log last;
            REQUIRE(open(files, last).ok());
            CHECK_EQ(last.records, records{large, "b", "doubtful", "next"});
        }
    }
}

// Guards against a record that is taken for durable although its pages, which
// were in the page cache only, have been dropped since it was read.
TEST_CASE("the last record is written as it was read, not read again")
{
    for (const bool has_space : {true, false})
    {
        CAPTURE(has_space);
        tests::fake_file_system files(1);
        const std::string large(200, 'l');
        fill(files, {large, "doubtful"});
        records loaded;
        auto log =
            write_ahead_log::load(files, "d", "log", [&](std::string_view it) {
                loaded.emplace_back(it);
                return absl::OkStatus();
            });
        REQUIRE(log.ok());
        if (!has_space)
        {
            files.capacity = files.content(path).size() + 60;
        }
        files.damage(path, files.content(path).size() - 1);
        REQUIRE((*log)->make_durable().ok());
        files.capacity = SIZE_MAX;
        files.restart();
        recovered_log last;
        REQUIRE(open(files, last).ok());
        CHECK_EQ(last.records, loaded);
        CHECK_EQ(last.cut_bytes, 0);
    }
}

// Guards against memory at a start that grows with the history: the whole log
// beside what it decodes to.
TEST_CASE("a log is opened in parts")
{
    for (const bool has_space : {true, false})
    {
        CAPTURE(has_space);
        tests::fake_file_system files(1);
        const std::string record(100000, 'r');
        constexpr std::size_t count = 40;
        fill(files, records(count, record));
        files.largest_read = files.largest_write = 0;
        if (!has_space)
        {
            files.capacity = files.content(path).size() + record.size();
        }
        std::size_t visited = 0;
        auto log =
            write_ahead_log::load(files, "d", "log", [&](std::string_view it) {
                visited += it == record ? 1 : 0;
                return absl::OkStatus();
            });
        REQUIRE(log.ok());
        REQUIRE((*log)->make_durable().ok());
        CHECK_EQ(visited, count);
        // A tenth of the log.
        CHECK_LE(files.largest_read, 4 * record.size());
        CHECK_LE(files.largest_write, 4 * record.size());
    }
}
