// Guards against an answer store that grows without bound, evicts an answer
// that a ledger record refers to, or returns an answer other than the recorded
// one.

#include <LibLedger/answer_store.hpp>
#include <LibLedger/digests.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::ledger;
using std::chrono::seconds;

namespace {

record_id id_of(int n)
{
    return {"shop", "bookings", digest_of_key(std::to_string(n))};
}

const core::time_point start{seconds(100)};

} // namespace

TEST_CASE("answers are found by record and digest until they expire")
{
    answer_store store;
    const stored_answer answer{201, {{"content-type", "text/plain"}}, "done"};
    REQUIRE(store.put(id_of(1), answer, start + seconds(10), start).ok());
    const auto digest = digest_of_answer(answer);
    const auto* found = store.find(id_of(1), digest, start + seconds(9));
    REQUIRE(found != nullptr);
    CHECK_EQ(found->body, "done");
    CHECK(store.find(id_of(1), digest_of_key("x"), start) == nullptr);
    CHECK(store.find(id_of(2), digest, start) == nullptr);
    CHECK(store.find(id_of(1), digest, start + seconds(10)) == nullptr);
    store.expire(start + seconds(10));
    CHECK_EQ(store.bytes(), 0);
    CHECK_EQ(store.size(), 0);
}

TEST_CASE("a full store rejects a new answer and keeps the old ones")
{
    answer_store store(10'000);
    const stored_answer answer{200, {}, std::string(4'000, 'a')};
    const auto digest = digest_of_answer(answer);
    CHECK(store.put(id_of(1), answer, start + seconds(10), start).ok());
    CHECK(store.put(id_of(2), answer, start + seconds(20), start).ok());
    const auto status = store.put(id_of(3), answer, start + seconds(20), start);
    CHECK(status.code() == absl::StatusCode::kResourceExhausted);
    CHECK(store.find(id_of(1), digest, start) != nullptr);
    CHECK(store.bytes() <= 10'000);
    // The space of an expired answer is reused.
    const auto later = start + seconds(10);
    CHECK(store.put(id_of(3), answer, later + seconds(10), later).ok());
    CHECK_EQ(store.size(), 2);
}

TEST_CASE("an equal answer extends the lifetime, another one replaces it")
{
    answer_store store;
    const stored_answer first{200, {}, "first"};
    const stored_answer second{200, {}, "second"};
    CHECK(store.put(id_of(1), first, start + seconds(10), start).ok());
    const auto bytes = store.bytes();
    CHECK(store.put(id_of(1), first, start + seconds(20), start).ok());
    CHECK_EQ(store.bytes(), bytes);
    const auto later = start + seconds(15);
    CHECK(store.find(id_of(1), digest_of_answer(first), later) != nullptr);
    CHECK(store.put(id_of(1), second, start + seconds(20), start).ok());
    CHECK(store.find(id_of(1), digest_of_answer(first), start) == nullptr);
    CHECK(store.find(id_of(1), digest_of_answer(second), start) != nullptr);
    CHECK_EQ(store.size(), 1);
}

TEST_CASE("an answer longer than the bound is not stored")
{
    answer_store store;
    const stored_answer answer{
        200, {}, std::string(max_stored_answer_bytes + 1, 'a')};
    const auto status = store.put(id_of(1), answer, start + seconds(1), start);
    CHECK(status.code() == absl::StatusCode::kInvalidArgument);
}
