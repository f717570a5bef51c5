// Guards against a call that is sent without a committed record, against
// records that are never finished, and against answers stored outside their
// region.

#include <LibControl/ledger_service.hpp>

#include <LibControl/fake_transport.hpp>
#include <LibLedger/digests.hpp>
#include <Support/manual_clock.hpp>

#include <doctest.h>

#include <chrono>

namespace hyssoploft::tests {

namespace {

using namespace std::chrono_literals;
using control::propose_status;
using ledger::begin_outcome;
using wire::message_type;

ledger::begin_request make_request()
{
    ledger::begin_request it;
    it.id = {"shop", "slots", std::string(64, 'a')};
    it.body_digest = std::string(64, 'b');
    it.attempt = "attempt-1";
    it.owner_vm = "self";
    it.region = "east";
    it.deadline = 10s;
    it.record_lifetime = 1h;
    return it;
}

ledger::stored_answer make_answer(const std::string& body = "booked")
{
    return {200, {{"content-type", "text/plain"}}, body};
}

struct service_under_test
{
    service_under_test()
        : client(transport, fleet, nullptr, clock),
          service(io, transport, client, fleet, clock)
    {
        fleet.add("c1", true, "west", "west-a");
    }

    /// Runs handlers posted to the control thread; there are no timers.
    void run_posted()
    {
        io.restart();
        io.poll();
    }

    void advance_and_run(core::duration d)
    {
        clock.advance(d);
        client.tick();
        run_posted();
    }

    void answer_committed(
        ledger::command_status status = ledger::command_status::ok,
        const ledger::begin_result& begin = {})
    {
        transport.answer(
            message_type::propose_result,
            encoded_result(
                propose_status::committed, "c1",
                ledger::encode_command_result({status, begin})));
        run_posted();
    }

    /// The ledger command of the oldest request.
    ledger::command pending_command()
    {
        const auto& it = transport.requests.at(0);
        REQUIRE(it.type == message_type::propose);
        const auto command = wire::decode<control::log_command>(it.payload);
        return ledger::decode_command(command.value().body).value().body;
    }

    manual_clock clock;
    boost::asio::io_context io;
    fake_transport transport;
    fake_fleet_source fleet;
    control::proposal_client client;
    control::ledger_service service;
};

} // namespace

TEST_CASE("begin succeeds only if its record is committed")
{
    struct fault
    {
        const char* name;
        std::function<void(service_under_test&)> answer;
        bool ok;
    };
    const std::vector<fault> table{
        {"answers are lost until the timeout",
         [](service_under_test& t) {
             t.transport.lose();
             t.advance_and_run(5s);
         },
         false},
        {"no leader until the timeout",
         [](service_under_test& t) {
             t.transport.answer(
                 message_type::propose_result,
                 encoded_result(propose_status::not_leader, ""));
             t.advance_and_run(5s);
         },
         false},
        {"rejected by the ledger",
         [](service_under_test& t) {
             t.answer_committed(ledger::command_status::malformed);
         },
         false},
        {"malformed result",
         [](service_under_test& t) {
             t.transport.answer(
                 message_type::propose_result,
                 encoded_result(propose_status::committed, "c1", "x"));
             t.run_posted();
         },
         false},
        {"created",
         [](service_under_test& t) {
             t.answer_committed(
                 ledger::command_status::ok, {begin_outcome::created, "", {}});
         },
         true},
        {"created in the second attempt",
         [](service_under_test& t) {
             t.transport.lose();
             t.advance_and_run(100ms);
             t.answer_committed(
                 ledger::command_status::ok, {begin_outcome::created, "", {}});
         },
         true},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        service_under_test t;
        int calls = 0;
        t.service.begin(
            make_request(),
            [&](const absl::Status& status, const ledger::begin_result& out) {
                ++calls;
                CHECK(status.ok() == it.ok);
                CHECK((out.outcome == begin_outcome::created) == it.ok);
            });
        t.run_posted();
        it.answer(t);
        CHECK(calls == 1);
    }
}

TEST_CASE("begin waits no longer than the deadline of its call")
{
    service_under_test t;
    auto request = make_request();
    request.deadline = 300ms;
    int calls = 0;
    t.service.begin(request, [&](const absl::Status& status, const auto&) {
        ++calls;
        CHECK(absl::IsDeadlineExceeded(status));
    });
    t.run_posted();
    t.transport.lose();
    t.advance_and_run(300ms);
    CHECK(calls == 1);
}

TEST_CASE("abandon is retried until it is committed")
{
    service_under_test t;
    t.service.abandon(make_request());
    CHECK(t.service.unsettled() == 1);
    t.run_posted();
    // An hour without a quorum.
    for (int n = 0; n < 700; ++n)
    {
        REQUIRE(t.transport.requests.size() == 1);
        const auto command =
            std::get<ledger::abandon_command>(t.pending_command());
        REQUIRE(command.attempt == "attempt-1");
        t.transport.lose();
        t.advance_and_run(5s);
        t.advance_and_run(100ms);
    }
    CHECK(t.service.unsettled() == 1);
    t.answer_committed();
    CHECK(t.service.unsettled() == 0);
    t.advance_and_run(1h);
    CHECK(t.transport.requests.empty());
}

TEST_CASE("abandon is retried for at most two hours")
{
    service_under_test t;
    t.service.abandon(make_request());
    t.run_posted();
    t.clock.advance(3h);
    t.transport.lose();
    t.advance_and_run(100ms);
    CHECK(t.service.unsettled() == 0);
    CHECK(t.transport.requests.empty());
}

TEST_CASE("finish is retried after it reported a failure to the caller")
{
    service_under_test t;
    int calls = 0;
    t.service.finish(make_request(), make_answer(), [&](const auto& status) {
        ++calls;
        CHECK_FALSE(status.ok());
    });
    t.run_posted();
    t.transport.lose();
    t.advance_and_run(5s);
    CHECK(calls == 1);
    CHECK(t.service.unsettled() == 1);
    for (int n = 0; n < 20; ++n)
    {
        REQUIRE(t.transport.requests.size() == 1);
        const auto command =
            std::get<ledger::finish_command>(t.pending_command());
        CHECK(command.answer_digest == ledger::digest_of_answer(make_answer()));
        CHECK(command.holders == std::vector<std::string>{"self"});
        t.transport.lose();
        t.advance_and_run(5s);
        t.advance_and_run(100ms);
    }
    t.answer_committed();
    CHECK(calls == 1);
    CHECK(t.service.unsettled() == 0);
}

TEST_CASE("a copy is stored in the region, preferably in another data centre")
{
    struct sample
    {
        const char* name;
        std::function<void(fake_fleet_source&)> build;
        std::string expected; // Empty: no copy.
    };
    using fleet = fake_fleet_source;
    const std::vector<sample> table{
        {"no other VM in the region", [](fleet&) {}, ""},
        {"one in the same data centre",
         [](fleet& it) {
             it.add("e1", false);
         },
         "e1"},
        {"another data centre is preferred",
         [](fleet& it) {
             it.add("e1", true);
             it.add("e2", false, "east", "east-b");
             it.add("e3", true);
         },
         "e2"},
        {"then a VM with a disk is preferred",
         [](fleet& it) {
             it.add("e1", false, "east", "east-b");
             it.add("e2", true, "east", "east-b");
             it.add("e3", false, "east", "east-b");
         },
         "e2"},
        {"only alive VMs are used",
         [](fleet& it) {
             it.add("e1", false).state = membership::vm_state::suspect;
             it.add("e2", false).state = membership::vm_state::dead;
             it.add("e3", false).state = membership::vm_state::leaving;
         },
         ""},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        service_under_test t;
        it.build(t.fleet);
        t.service.finish(make_request(), make_answer(), [](const auto&) {});
        t.run_posted();
        REQUIRE(t.transport.requests.size() == 1);
        const auto& request = t.transport.requests[0];
        if (it.expected.empty())
        {
            CHECK(request.type == message_type::propose);
            continue;
        }
        CHECK(request.type == message_type::answer_store);
        CHECK(request.address == it.expected + ":1");
    }
}

TEST_CASE("only a VM that confirmed the copy becomes a holder")
{
    struct fault
    {
        const char* name;
        std::optional<std::string> answer;
        std::vector<std::string> holders;
    };
    control::answer_message stored;
    stored.status = 200;
    for (const auto& it :
         {fault{"lost", std::nullopt, {"self"}},
          fault{"malformed", "x", {"self"}},
          fault{"refused", wire::encode(control::answer_message{}), {"self"}},
          fault{"stored", wire::encode(stored), {"self", "e1"}}})
    {
        CAPTURE(it.name);
        service_under_test t;
        t.fleet.add("e1", false);
        t.service.finish(make_request(), make_answer(), [](const auto&) {});
        t.run_posted();
        if (it.answer)
        {
            t.transport.answer(message_type::answer_result, *it.answer);
        }
        else
        {
            t.transport.lose();
        }
        CHECK(
            std::get<ledger::finish_command>(t.pending_command()).holders ==
            it.holders);
    }
}

TEST_CASE("an answer of another region is not stored")
{
    for (const auto* region : {"east", "west", ""})
    {
        CAPTURE(region);
        service_under_test t;
        control::answer_message message;
        message.account = "shop";
        message.route = "slots";
        message.key_digest = std::string(64, 'a');
        message.region = region;
        message.lifetime_ms = 60'000;
        message.status = 200;
        message.body = "booked";
        message.answer_digest = ledger::digest_of_answer({200, {}, "booked"});
        t.service.serve(
            incoming("c1", message_type::answer_store, wire::encode(message)));
        t.service.serve(
            incoming("c1", message_type::answer_fetch, wire::encode(message)));
        REQUIRE(t.transport.responses.size() == 2);
        const bool own = std::string(region) == "east";
        for (const auto& it : t.transport.responses)
        {
            const auto out =
                wire::decode<control::answer_message>(it.payload).value();
            CHECK((out.status != 0) == own);
        }
    }
}

TEST_CASE("an answer is fetched from the holders in turn and checked")
{
    service_under_test t;
    t.fleet.add("e1", false);
    t.fleet.add("e2", false);
    t.fleet.add("e3", false);
    ledger::begin_result record;
    record.outcome = begin_outcome::finished;
    record.answer_digest = ledger::digest_of_answer(make_answer());
    record.holders = {"gone", "self", "e1", "e2", "e3"};
    int calls = 0;
    t.service.fetch_answer(
        make_request().id, record,
        [&](const absl::Status& status, const ledger::stored_answer& it) {
            ++calls;
            CHECK(status.ok());
            CHECK(it.body == "booked");
        });
    t.run_posted();
    CHECK(t.transport.requests.at(0).address == "e1:1");
    t.transport.lose();
    CHECK(t.transport.requests.at(0).address == "e2:1");
    control::answer_message message;
    message.status = 200;
    message.body = "another answer";
    t.transport.answer(message_type::answer_result, wire::encode(message));
    CHECK(t.transport.requests.at(0).address == "e3:1");
    CHECK(calls == 0);
    message.headers = make_answer().headers;
    message.body = "booked";
    t.transport.answer(message_type::answer_result, wire::encode(message));
    CHECK(calls == 1);
}

TEST_CASE("the answer is not found if no holder has it")
{
    service_under_test t;
    ledger::begin_result record;
    record.answer_digest = std::string(64, 'c');
    record.holders = {"gone"};
    int calls = 0;
    t.service.fetch_answer(
        make_request().id, record, [&](const absl::Status& it, const auto&) {
            ++calls;
            CHECK(absl::IsNotFound(it));
        });
    t.run_posted();
    CHECK(calls == 1);
}

// Guards against decisions that take two readings of the clock for one moment.
TEST_CASE("a clock that advances at each reading loses no record")
{
    for (const auto step : clock_steps)
    {
        CAPTURE(step.count());
        service_under_test t;
        t.clock.set_step(step);
        int calls = 0;
        t.service.begin(
            make_request(),
            [&](const absl::Status& status, const ledger::begin_result& out) {
                ++calls;
                CHECK(status.ok());
                CHECK(out.outcome == begin_outcome::created);
            });
        t.run_posted();
        t.transport.lose();
        t.advance_and_run(100ms);
        t.answer_committed(
            ledger::command_status::ok, {begin_outcome::created, "", {}});
        CHECK(calls == 1);
        t.service.abandon(make_request());
        t.run_posted();
        t.transport.lose();
        t.advance_and_run(5s);
        t.advance_and_run(100ms);
        REQUIRE(t.transport.requests.size() == 1);
        t.answer_committed();
        CHECK(t.service.unsettled() == 0);
    }
}

} // namespace hyssoploft::tests
