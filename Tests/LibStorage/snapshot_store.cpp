// Guards against a snapshot that is half written, damaged or removed too
// early.

#include <LibStorage/snapshot_store.hpp>
#include <Support/fake_file_system.hpp>

#include <doctest.h>

using namespace hyssoploft;

TEST_CASE("a crash at any write leaves a whole snapshot or none")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        for (std::uint64_t at = 1; at <= 12; ++at)
        {
            tests::fake_file_system files(seed);
            storage::snapshot_store store(files, "d");
            REQUIRE(store.write(7, "seven").ok());
            files.crash_at = files.operations + at;
            const bool written =
                store.write(9, "nine").ok() && store.remove_except(9).ok();
            files.restart();
            const auto nine = store.read(9);
            CAPTURE(seed);
            CAPTURE(at);
            if (nine.ok())
            {
                CHECK_EQ(*nine, "nine");
            }
            else
            {
                CHECK_FALSE(written);
                CHECK(absl::IsNotFound(nine.status()));
                CHECK_EQ(*store.read(7), "seven");
            }
            CHECK(*store.any());
        }
    }
}

TEST_CASE("each damaged byte of a snapshot is noticed")
{
    tests::fake_file_system files(1);
    storage::snapshot_store store(files, "d");
    REQUIRE(store.write(255, "payload").ok());
    const std::string path = "d/snapshot-00000000000000ff";
    for (std::size_t i = 0; i < files.content(path).size(); ++i)
    {
        files.damage(path, i);
        CHECK(absl::IsDataLoss(store.read(255).status()));
        files.damage(path, i);
    }
    CHECK_EQ(*store.read(255), "payload");
    REQUIRE(files.truncate(path, 5).ok());
    CHECK(absl::IsDataLoss(store.read(255).status()));
}

TEST_CASE("old snapshots and temporary files are removed")
{
    tests::fake_file_system files(1);
    storage::snapshot_store store(files, "d");
    REQUIRE(store.write(1, "a").ok());
    REQUIRE(store.write(2, "b").ok());
    REQUIRE(files.open("d/snapshot-0000000000000003.tmp").ok());
    REQUIRE(files.open("d/other").ok());
    REQUIRE(store.remove_except(2).ok());
    CHECK_EQ(
        *files.list("d"),
        std::vector<std::string>{"other", "snapshot-0000000000000002"});
}
