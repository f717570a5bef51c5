// The contract of file_system, checked on the real one and on the fake, so
// that tests on the fake hold for the real one.

#include <LibStorage/posix_file_system.hpp>
#include <Support/fake_file_system.hpp>

#include <doctest.h>

using namespace hyssoploft;

namespace {

void check_contract(storage::file_system& files)
{
    const std::string directory = "file_system_contract";
    REQUIRE(files.create_directory(directory).ok());
    REQUIRE(files.create_directory(directory).ok());
    const auto stale = files.list(directory);
    REQUIRE(stale.ok());
    for (const auto& it : *stale)
    {
        REQUIRE(files.remove(directory + "/" + it).ok());
    }
    const std::string a = directory + "/a";
    const std::string b = directory + "/b";
    CHECK(absl::IsNotFound(files.read(a).status()));
    CHECK(absl::IsNotFound(files.remove(a)));
    CHECK(absl::IsNotFound(files.rename(a, b)));

    auto file = files.open(a);
    REQUIRE(file.ok());
    CHECK((*file)->append("one").ok());
    CHECK((*file)->append("two").ok());
    CHECK((*file)->sync().ok());
    CHECK_EQ(*files.read(a), "onetwo");
    CHECK(files.truncate(a, 4).ok());
    CHECK((*file)->append("!").ok());
    CHECK_EQ(*files.read(a), "onet!");

    auto other = files.open(b);
    REQUIRE(other.ok());
    CHECK((*other)->append("old").ok());
    CHECK_EQ(*files.list(directory), std::vector<std::string>{"a", "b"});
    CHECK(files.rename(a, b).ok());
    CHECK_EQ(*files.read(b), "onet!");
    CHECK((*file)->append("?").ok());
    CHECK_EQ(*files.read(b), "onet!?");
    CHECK(files.sync_directory(directory).ok());
    CHECK_EQ(*files.list(directory), std::vector<std::string>{"b"});
    const auto size = files.read(b)->size();
    REQUIRE_GE(size, 2);
    CHECK(files.overwrite(b, size - 2, "zz").ok());
    CHECK_EQ(files.read(b)->size(), size);
    CHECK_EQ(*files.read_part(b, size - 2, 1), "z");
    CHECK_EQ(*files.read_part(b, size - 2, 9), "zz");
    CHECK_EQ(*files.read_part(b, size + 9, 1), "");
    CHECK(absl::IsNotFound(files.read_part(a, 0, 1).status()));
    CHECK(files.read(b)->ends_with("zz"));
    CHECK(files.remove(b).ok());
    CHECK(files.list(directory)->empty());
}

} // namespace

TEST_CASE("the real file system keeps the contract")
{
    storage::posix_file_system files;
    check_contract(files);
    CHECK(absl::IsNotFound(files.open("missing/a").status()));
    CHECK(absl::IsNotFound(files.list("missing").status()));
    CHECK_FALSE(files.sync_directory("missing").ok());
}

TEST_CASE("the fake file system keeps the contract")
{
    tests::fake_file_system files(1);
    check_contract(files);
}
