// Guards against a second run of an at-most-once call, and against records that
// are lost, expire at the wrong time or return a wrong outcome.

#include <LibLedger/digests.hpp>
#include <LibLedger/execution_ledger.hpp>
#include <LibLedger/log_clock.hpp>

#include <doctest.h>

#include <functional>

using namespace hyssoploft;
using namespace hyssoploft::ledger;
using std::chrono::seconds;

namespace {

record_id id_of(const std::string& key)
{
    return {"shop", "bookings", digest_of_key(key)};
}

command begin(
    const std::string& attempt, const std::string& vm,
    const std::string& key = "k1", const std::string& body = "b1")
{
    begin_request it;
    it.id = id_of(key);
    it.body_digest = digest_of_call("POST", "/bookings", body);
    it.attempt = attempt;
    it.owner_vm = vm;
    it.deadline = seconds(10);
    it.record_lifetime = seconds(100);
    return begin_command{it};
}

command finish(
    const std::string& attempt, const std::string& vm,
    finish_outcome outcome = finish_outcome::completed)
{
    return finish_command{
        id_of("k1"), attempt, vm, outcome, digest_of_key("answer"), {vm, "v9"}};
}

command abandon(const std::string& attempt, const std::string& vm)
{
    return abandon_command{id_of("k1"), attempt, vm, seconds(100)};
}

command_result run(execution_ledger& to, const command& it, log_time now = 1000)
{
    const auto bytes = to.apply(stamp(encode_command(it), now));
    return decode_command_result(bytes).value();
}

struct step
{
    command body;
    log_time now;
    command_status status;
    begin_outcome outcome = begin_outcome::unknown; // Of a begin.
};

struct command_sequence
{
    const char* name;
    std::vector<step> steps;
};

const std::vector<command_sequence> command_sequences{
    {"a resent begin gets the outcome created again",
     {{begin("a", "v1"), 0, command_status::ok, begin_outcome::created},
      {begin("a", "v1"), 1, command_status::ok, begin_outcome::created}}},
    {"a begin resent after its deadline gets unknown",
     {{begin("a", "v1"), 0, command_status::ok, begin_outcome::created},
      {begin("a", "v1"), 10'000, command_status::ok, begin_outcome::unknown}}},
    {"a repeat gets in_progress, and unknown from the deadline on",
     {{begin("a", "v1"), 0, command_status::ok, begin_outcome::created},
      {begin("b", "v2"), 9'999, command_status::ok, begin_outcome::in_progress},
      {begin("b", "v2"), 10'000, command_status::ok, begin_outcome::unknown},
      {begin("c", "v2"), 99'999, command_status::ok, begin_outcome::unknown}}},
    {"the same attempt name on another VM is another attempt",
     {{begin("a", "v1"), 0, command_status::ok, begin_outcome::created},
      {begin("a", "v2"), 1, command_status::ok, begin_outcome::in_progress}}},
    {"a repeat gets the stored answer, also after the deadline",
     {{begin("a", "v1"), 0, command_status::ok, begin_outcome::created},
      {finish("a", "v1"), 1, command_status::ok},
      {begin("b", "v2"), 50'000, command_status::ok, begin_outcome::finished}}},
    {"a late finish completes an unknown record",
     {{begin("a", "v1"), 0, command_status::ok, begin_outcome::created},
      {begin("b", "v2"), 20'000, command_status::ok, begin_outcome::unknown},
      {finish("a", "v1"), 20'001, command_status::ok},
      {begin("b", "v2"), 20'002, command_status::ok, begin_outcome::finished}}},
    {"a lost answer makes the record unknown, but it can be completed",
     {{begin("a", "v1"), 0, command_status::ok, begin_outcome::created},
      {finish("a", "v1", finish_outcome::unknown), 1, command_status::ok},
      {begin("b", "v2"), 2, command_status::ok, begin_outcome::unknown},
      {abandon("a", "v1"), 3, command_status::already_sent},
      {finish("a", "v1"), 4, command_status::ok},
      {finish("a", "v1", finish_outcome::unknown), 5, command_status::ok},
      {begin("b", "v2"), 6, command_status::ok, begin_outcome::finished}}},
    {"another body under the same key is an error in every state",
     {{begin("a", "v1"), 0, command_status::ok, begin_outcome::created},
      {begin("b", "v2", "k1", "b2"), 1, command_status::ok,
       begin_outcome::body_mismatch},
      {finish("a", "v1"), 2, command_status::ok},
      {begin("b", "v2", "k1", "b2"), 3, command_status::ok,
       begin_outcome::body_mismatch}}},
    {"after an abandon a repeat starts a new attempt",
     {{begin("a", "v1"), 0, command_status::ok, begin_outcome::created},
      {abandon("a", "v1"), 1, command_status::ok},
      {abandon("a", "v1"), 2, command_status::ok},
      {begin("b", "v2"), 3, command_status::ok, begin_outcome::created}}},
    {"another VM or attempt can't abandon the record",
     {{begin("a", "v1"), 0, command_status::ok, begin_outcome::created},
      {abandon("a", "v2"), 1, command_status::not_the_owner},
      {abandon("b", "v1"), 2, command_status::ok},
      {begin("c", "v2"), 3, command_status::ok, begin_outcome::in_progress}}},
    {"a finished call can't be abandoned",
     {{begin("a", "v1"), 0, command_status::ok, begin_outcome::created},
      {finish("a", "v1"), 1, command_status::ok},
      {abandon("a", "v1"), 2, command_status::already_sent},
      {begin("b", "v2"), 3, command_status::ok, begin_outcome::finished}}},
    {"a begin that arrives after its abandon creates nothing",
     {{abandon("a", "v1"), 0, command_status::ok},
      {begin("a", "v1"), 1, command_status::ok, begin_outcome::unknown},
      {begin("b", "v2"), 2, command_status::ok, begin_outcome::created}}},
    {"a begin resent after its abandon does not replace a new attempt",
     {{begin("a", "v1"), 0, command_status::ok, begin_outcome::created},
      {abandon("a", "v1"), 1, command_status::ok},
      {begin("b", "v2"), 2, command_status::ok, begin_outcome::created},
      {begin("a", "v1"), 3, command_status::ok, begin_outcome::in_progress},
      {finish("a", "v1"), 4, command_status::not_the_owner}}},
    {"a finish without a record is rejected",
     {{finish("a", "v1"), 0, command_status::no_record},
      {begin("a", "v1"), 1, command_status::ok, begin_outcome::created},
      {finish("a", "v2"), 2, command_status::not_the_owner}}},
    {"a record expires by log time, and a finish extends its lifetime",
     {{begin("a", "v1"), 0, command_status::ok, begin_outcome::created},
      {finish("a", "v1"), 60'000, command_status::ok},
      {begin("b", "v2"), 159'999, command_status::ok, begin_outcome::finished},
      {begin("b", "v2"), 160'000, command_status::ok, begin_outcome::created}}},
    {"log time never decreases",
     {{begin("a", "v1"), 0, command_status::ok, begin_outcome::created},
      {tick_command{}, 10'000, command_status::ok},
      {begin("b", "v2"), 1, command_status::ok, begin_outcome::unknown}}},
};

} // namespace

TEST_CASE("the ledger returns the right outcome for each order of commands")
{
    for (const auto& it : command_sequences)
    {
        CAPTURE(it.name);
        execution_ledger ledger;
        for (std::size_t n = 0; n < it.steps.size(); ++n)
        {
            CAPTURE(n);
            const auto& step = it.steps[n];
            const auto result = run(ledger, step.body, step.now);
            CHECK_EQ(
                core::name_of(command_status_names, result.status),
                core::name_of(command_status_names, step.status));
            if (std::holds_alternative<begin_command>(step.body))
            {
                CHECK_EQ(
                    core::name_of(begin_outcome_names, result.begin.outcome),
                    core::name_of(begin_outcome_names, step.outcome));
            }
        }
    }
}

TEST_CASE("a repeat gets the answer digest and the holders")
{
    execution_ledger ledger;
    run(ledger, begin("a", "v1"));
    run(ledger, finish("a", "v1"));
    const auto result = run(ledger, begin("b", "v2"));
    CHECK_EQ(result.begin.answer_digest, digest_of_key("answer"));
    CHECK_EQ(result.begin.holders, std::vector<std::string>{"v1", "v9"});
}

TEST_CASE("a full ledger rejects new calls but serves repeats")
{
    execution_ledger ledger(2);
    run(ledger, begin("a", "v1", "k1"));
    run(ledger, begin("b", "v1", "k2"));
    const auto full = run(ledger, begin("c", "v1", "k3"));
    CHECK(full.begin.outcome == begin_outcome::ledger_full);
    CHECK_EQ(ledger.size(), 2);
    const auto repeat = run(ledger, begin("d", "v2", "k1"));
    CHECK(repeat.begin.outcome == begin_outcome::in_progress);

    run(ledger, abandon("a", "v1"));
    const auto next = run(ledger, begin("c", "v1", "k3"));
    CHECK(next.begin.outcome == begin_outcome::created);
}

TEST_CASE("abandoned attempts are bounded and expire")
{
    execution_ledger ledger(2);
    for (const char* attempt : {"a", "b", "c", "d"})
    {
        CHECK(run(ledger, abandon(attempt, "v1")).status == command_status::ok);
    }
    CHECK_EQ(ledger.abandoned_size(), 2);
    run(ledger, tick_command{}, 101'000);
    CHECK_EQ(ledger.abandoned_size(), 0);
}

TEST_CASE("malformed commands are rejected and change nothing")
{
    const auto changed = [](const std::function<void(begin_request&)>& f) {
        auto it = begin("a", "v1");
        f(std::get<begin_command>(it).request);
        return encode_command(it);
    };
    const auto good = encode_command(begin("a", "v1"));
    std::vector<std::string> cases{
        "",
        "x",
        good + "x",
        std::string(100, '\xff'),
        changed([](auto& it) {
            it.attempt.clear();
        }),
        changed([](auto& it) {
            it.attempt.assign(129, 'a');
        }),
        changed([](auto& it) {
            it.id.key_digest = "12";
        }),
        changed([](auto& it) {
            it.body_digest.assign(64, 'z');
        }),
        changed([](auto& it) {
            it.deadline = seconds(0);
        }),
        changed([](auto& it) {
            it.record_lifetime = seconds(-1);
        }),
        changed([](auto& it) {
            it.deadline = core::duration::max();
        })};
    for (std::size_t n = 0; n < good.size(); ++n)
    {
        cases.push_back(good.substr(0, n));
    }
    execution_ledger ledger;
    const auto before = ledger.snapshot();
    for (const auto& it : cases)
    {
        const auto result = decode_command_result(ledger.apply(it));
        REQUIRE(result.ok());
        CHECK(result->status == command_status::malformed);
    }
    CHECK_EQ(ledger.snapshot(), before);
}

TEST_CASE("log time continues from the ledger's time under a new leader")
{
    const core::time_point start{seconds(5)};
    const log_clock clock(7000, start);
    CHECK_EQ(clock.at(start), 7000);
    CHECK_EQ(clock.at(start + seconds(3)), 10'000);
    CHECK_EQ(clock.at(start - seconds(3)), 7000);
}

TEST_CASE("digests depend on the boundaries between the parts")
{
    CHECK_NE(
        digest_of_call("POST", "/a", "b"), digest_of_call("POST", "/ab", ""));
    CHECK_NE(
        digest_of_answer({200, {{"a", "b"}}, ""}),
        digest_of_answer({200, {{"ab", ""}}, ""}));
    CHECK_NE(
        digest_of_answer({200, {}, "1"}), digest_of_answer({201, {}, "1"}));
}
