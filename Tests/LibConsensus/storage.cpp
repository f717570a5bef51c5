// Guards against state lost in a crash: two votes in one term, entries that are
// acknowledged but not durable, and a damaged directory treated as empty.

#include <LibConsensus/cluster.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace std::chrono_literals;
using consensus::file_log_storage;
using consensus::persisted_state;
using tests::cluster;

namespace {

consensus::log_entry entry(std::uint64_t index, std::uint64_t term)
{
    return {
        {index, term},
        consensus::entry_kind::command,
        std::to_string(index) + "/" + std::to_string(term)};
}

consensus::persist_batch
batch(std::uint64_t term, std::vector<consensus::log_entry> entries)
{
    consensus::persist_batch it;
    it.state = {term, 42};
    it.entries = std::move(entries);
    return it;
}

consensus::persist_batch replacement(std::uint64_t index, std::uint64_t term)
{
    auto it = batch(term, {entry(index + 1, term)});
    it.replacement = {
        {index, term},
        {{1, 2, 3}, {4}},
        std::make_shared<const std::string>("state")};
    return it;
}

} // namespace

TEST_CASE("a crash at any operation leaves the state before or after a batch")
{
    const std::vector<consensus::persist_batch> batches{
        batch(1, {entry(1, 1), entry(2, 1), entry(3, 1)}),
        batch(2, {entry(2, 2)}), replacement(2, 2), batch(3, {entry(4, 3)}),
        replacement(4, 3)};
    for (std::uint64_t at = 1; at <= 60; ++at)
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed)
        {
            CAPTURE(at);
            CAPTURE(seed);
            tests::fake_file_system files(seed);
            core::seeded_random random(seed);
            persisted_state found;
            files.crash_at = at;
            auto storage = file_log_storage::open(files, "d", random, found);
            const auto self = found.self;
            const bool opened = storage.ok();
            std::size_t persisted_count = 0;
            while (opened && persisted_count < batches.size() &&
                   (*storage)->persist(batches[persisted_count]).ok())
            {
                ++persisted_count;
            }
            files.restart();
            persisted_state recovered;
            REQUIRE(file_log_storage::open(files, "d", random, recovered).ok());
            if (!opened)
            {
                CHECK(recovered.entries.empty());
                continue;
            }
            CHECK_EQ(recovered.self, self);
            // The term and the base identify the last batch in the state.
            const std::size_t n = recovered.state.term == 0   ? 0
                                  : recovered.state.term == 1 ? 1
                                  : recovered.state.term == 2
                                      ? (recovered.base ? 3 : 2)
                                  : recovered.base->last.index == 2 ? 4
                                                                    : 5;
            CHECK((n == persisted_count || n == persisted_count + 1));
            const std::vector<std::vector<consensus::log_entry>> expected{
                {},
                batches[0].entries,
                {entry(1, 1), entry(2, 2)},
                {entry(3, 2)},
                {entry(3, 2), entry(4, 3)},
                {entry(5, 3)}};
            CHECK(recovered.entries == expected[n]);
            if (recovered.base)
            {
                CHECK_EQ(*recovered.base->bytes, "state");
                CHECK(
                    recovered.base->members == batches[2].replacement->members);
            }
        }
    }
}

TEST_CASE("an incomplete or damaged directory is not treated as empty")
{
    struct damage_case
    {
        const char* name;
        void (*apply)(tests::fake_file_system&);
    };
    const std::string snapshot = "d/snapshot-0000000000000002";
    const damage_case cases[] = {
        {"the log is missing",
         [](auto& files) {
             (void)files.remove("d/replica.log");
         }},
        {"the log is empty",
         [](auto& files) {
             (void)files.truncate("d/replica.log", 0);
         }},
        {"the log is cut inside its sealed part",
         [](auto& files) {
             (void)files.truncate("d/replica.log", 90);
         }},
        {"the log is damaged inside its sealed part",
         [](auto& files) {
             files.damage("d/replica.log", 90);
         }},
        {"the snapshot is missing",
         [](auto& files) {
             (void)files.remove("d/snapshot-0000000000000002");
         }},
        {"the snapshot is damaged",
         [](auto& files) {
             files.damage("d/snapshot-0000000000000002", 34);
         }},
    };
    for (const auto& row : cases)
    {
        CAPTURE(row.name);
        tests::fake_file_system files(1);
        core::seeded_random random(1);
        persisted_state found;
        auto storage = file_log_storage::open(files, "d", random, found);
        REQUIRE((*storage)->persist(replacement(2, 2)).ok());
        row.apply(files);
        persisted_state recovered;
        CHECK(absl::IsDataLoss(
            file_log_storage::open(files, "d", random, recovered).status()));
    }
}

TEST_CASE("a failed sync stops the replica but not the cluster")
{
    cluster it(1, 3);
    const std::size_t leader = it.wait_for_leader();
    REQUIRE(it.commit("a", 5s));
    auto& disk = *it.replicas[leader].disk;
    disk.fail_sync_at = disk.syncs + 1;
    it.propose("doubtful");
    REQUIRE(it.run_until(
        [&] {
            return !it.replicas[leader].node;
        },
        1s));
    REQUIRE(it.commit("b", 20s));
    REQUIRE(it.restart(leader));
    CHECK(it.run_until(
        [&] {
            return it.is_converged();
        },
        20s));
}

// Guards against a batch that is lost or half applied when space runs out, and
// against a directory that can't be opened after that.
TEST_CASE("space runs out at any operation of a start or a batch")
{
    const std::vector<consensus::persist_batch> batches{
        batch(1, {entry(1, 1), entry(2, 1), entry(3, 1)}),
        batch(2, {entry(2, 2)}), replacement(2, 2), batch(3, {entry(4, 3)}),
        replacement(4, 3)};
    for (const auto refuses :
         {tests::full_disk_refuses::writes, tests::full_disk_refuses::names,
          tests::full_disk_refuses::truncation})
    {
        for (std::uint64_t at = 1; at <= 60; ++at)
        {
            CAPTURE(static_cast<int>(refuses));
            CAPTURE(at);
            tests::fake_file_system files(at);
            core::seeded_random random(at);
            files.refuses = refuses;
            files.full_at = at;
            const auto complete = [&](const auto& call) {
                auto status = call();
                if (!status.ok())
                {
                    CHECK(absl::IsResourceExhausted(status));
                    CHECK(absl::IsResourceExhausted(call()));
                    files.is_full = false;
                    files.full_at = 0;
                    status = call();
                }
                REQUIRE(status.ok());
            };
            persisted_state found;
            auto storage = file_log_storage::load(files, "d", random, found);
            REQUIRE(storage.ok());
            complete([&] {
                return (*storage)->make_durable();
            });
            for (const auto& it : batches)
            {
                complete([&] {
                    return (*storage)->persist(it);
                });
            }
            files.is_full = false;
            files.full_at = 0;
            files.restart();
            persisted_state recovered;
            REQUIRE(file_log_storage::open(files, "d", random, recovered).ok());
            CHECK_EQ(recovered.self, found.self);
            CHECK_EQ(recovered.state.term, 3);
            CHECK_EQ(recovered.base->last.index, 4);
            CHECK(
                recovered.entries ==
                std::vector<consensus::log_entry>{entry(5, 3)});
        }
    }
}

// Guards against an identity that other replicas hear of and a power failure
// takes back, and against a start that fails on a full disk.
TEST_CASE("a directory is loaded while its disk is full")
{
    tests::fake_file_system files(1);
    core::seeded_random random(1);
    files.refuses = tests::full_disk_refuses::truncation;
    files.is_full = true;
    persisted_state found;
    auto storage = file_log_storage::load(files, "d", random, found);
    REQUIRE(storage.ok());
    CHECK(absl::IsResourceExhausted((*storage)->make_durable()));
    files.is_full = false;
    REQUIRE((*storage)->make_durable().ok());
    REQUIRE((*storage)->persist(replacement(2, 2)).ok());

    files.is_full = true;
    persisted_state again;
    auto second = file_log_storage::load(files, "d", random, again);
    REQUIRE(second.ok());
    CHECK_EQ(again.self, found.self);
    CHECK_EQ(again.base->last.index, 2);
    CHECK(again.entries == std::vector<consensus::log_entry>{entry(3, 2)});
    CHECK(absl::IsResourceExhausted((*second)->make_durable()));
    files.is_full = false;
    CHECK((*second)->make_durable().ok());
}
