// Guards against commands that are lost, reported wrongly after a lost answer,
// or sent to a former leader.

#include <LibControl/proposal_client.hpp>

#include <LibControl/fake_transport.hpp>
#include <Support/manual_clock.hpp>

#include <absl/strings/match.h>
#include <doctest.h>

#include <chrono>
#include <optional>

namespace hyssoploft::tests {

namespace {

using namespace std::chrono_literals;
using control::propose_status;
using wire::message_type;

struct client_under_test
{
    explicit client_under_test(control::local_replica* replica = nullptr)
        : client(transport, fleet, replica, clock)
    {
        fleet.add("c1", true);
        fleet.add("c2", true);
        fleet.add("c3", true);
    }

    void propose()
    {
        client.propose(
            control::command_kind::resources, "body", 5s,
            [this](absl::StatusOr<std::string> it) {
                ++calls;
                result = std::move(it);
            });
    }

    void pass(core::duration d)
    {
        clock.advance(d);
        client.tick();
    }

    /// Address of the pending request, "" if there is none.
    std::string pending_address() const
    {
        return transport.requests.empty() ? ""
                                          : transport.requests.front().address;
    }

    void answer(propose_status status, const std::string& leader)
    {
        transport.answer(
            message_type::propose_result,
            encoded_result(status, leader, "result"));
    }

    manual_clock clock;
    fake_transport transport;
    fake_fleet_source fleet;
    control::proposal_client client;
    int calls = 0;
    absl::StatusOr<std::string> result;
};

} // namespace

TEST_CASE("a command is sent again until it is committed")
{
    struct fault
    {
        const char* name;
        std::optional<propose_status> status; // None: the answer is lost.
    };
    for (const auto& it :
         {fault{"lost answer", std::nullopt},
          fault{"no leader yet", propose_status::not_leader},
          fault{"leader overloaded", propose_status::overloaded},
          fault{"leader stepped down", propose_status::lost},
          fault{"leader without space", propose_status::disk_full}})
    {
        CAPTURE(it.name);
        client_under_test t;
        t.propose();
        const auto first = t.transport.requests.front().payload;
        if (it.status)
        {
            t.answer(*it.status, "");
        }
        else
        {
            t.transport.lose();
        }
        CHECK(t.calls == 0);
        t.pass(50ms);
        CHECK(t.pending_address().empty());
        t.pass(50ms);
        REQUIRE_FALSE(t.pending_address().empty());
        CHECK(t.transport.requests.front().payload == first);
        t.answer(propose_status::committed, "c2");
        CHECK(t.calls == 1);
        CHECK(t.result.value() == "result");
        CHECK(t.client.leader_vm() == "c2");
        t.pass(10s);
        CHECK(t.pending_address().empty());
        CHECK(t.calls == 1);
    }
}

TEST_CASE("the timeout error tells whether the command may be in the log")
{
    struct fault
    {
        const char* name;
        std::optional<propose_status> first;
        absl::StatusCode expected;
    };
    for (const auto& it :
         {fault{
              "lost answer", std::nullopt, absl::StatusCode::kDeadlineExceeded},
          fault{
              "stepped down", propose_status::lost,
              absl::StatusCode::kDeadlineExceeded},
          fault{
              "never a leader", propose_status::not_leader,
              absl::StatusCode::kUnavailable},
          fault{
              "always overloaded", propose_status::overloaded,
              absl::StatusCode::kUnavailable},
          fault{
              "leader without space", propose_status::disk_full,
              absl::StatusCode::kUnavailable}})
    {
        CAPTURE(it.name);
        client_under_test t;
        t.propose();
        if (it.first)
        {
            t.answer(*it.first, "");
        }
        else
        {
            t.transport.lose();
        }
        // A later rejection does not make the first attempt's outcome certain.
        t.pass(100ms);
        t.answer(propose_status::not_leader, "");
        t.pass(5s);
        CHECK(t.calls == 1);
        CHECK(t.result.status().code() == it.expected);
        // An operator must learn why no leader took the command.
        CHECK_EQ(
            absl::StartsWith(t.result.status().message(), "disk_full"),
            it.first == propose_status::disk_full);
        CHECK(t.pending_address().empty());
    }
}

TEST_CASE("no attempt lasts beyond the timeout of the command")
{
    client_under_test t;
    t.propose();
    CHECK(t.transport.requests.front().timeout == 1s);
    t.clock.advance(4800ms);
    t.transport.lose();
    t.pass(100ms);
    CHECK(t.transport.requests.front().timeout == 100ms);
}

// Guards against callers that wait for an attempt that is never made.
TEST_CASE("a command fails as soon as its next attempt would be too late")
{
    client_under_test t;
    t.propose();
    for (int n = 0; n < 49; ++n)
    {
        t.answer(propose_status::not_leader, "");
        t.pass(100ms);
    }
    CHECK(t.calls == 0);
    t.clock.advance(1ms);
    t.answer(propose_status::not_leader, "");
    CHECK(t.calls == 1);
    CHECK(t.result.status().code() == absl::StatusCode::kUnavailable);
    t.pass(10s);
    CHECK(t.calls == 1);
}

TEST_CASE("a hint is followed, a failed or dead leader gets no more requests")
{
    client_under_test t;
    t.propose();
    t.answer(propose_status::not_leader, "c3");
    t.pass(100ms);
    CHECK(t.pending_address() == "c3:1");
    t.transport.lose();
    // Without a hint every control VM is tried in turn.
    std::set<std::string> addresses;
    for (int n = 0; n < 3; ++n)
    {
        t.pass(100ms);
        addresses.insert(t.pending_address());
        t.answer(propose_status::not_leader, "");
    }
    CHECK(addresses.size() == 3);
    t.fleet.vm("c1").state = membership::vm_state::dead;
    t.pass(100ms);
    t.answer(propose_status::not_leader, "c1");
    for (int n = 0; n < 4; ++n)
    {
        t.pass(100ms);
        CHECK(t.pending_address() != "c1:1");
        t.answer(propose_status::not_leader, "c1");
    }
}

TEST_CASE("a command waits until there is a control VM")
{
    manual_clock clock;
    fake_transport transport;
    fake_fleet_source fleet;
    control::proposal_client client(transport, fleet, nullptr, clock);
    int calls = 0;
    client.propose(
        control::command_kind::ledger, "x", 1s,
        [&](absl::StatusOr<std::string> it) {
            ++calls;
            CHECK(it.ok());
        });
    CHECK(transport.requests.empty());
    fleet.add("c1", true);
    clock.advance(100ms);
    client.tick();
    transport.answer(
        message_type::propose_result,
        encoded_result(propose_status::committed, "c1"));
    CHECK(calls == 1);
}

// A learner that the current leader can't reach keeps naming the former one, so
// its VM sent every request to the former leader.
TEST_CASE("a hint overrides a former leader named by the local replica")
{
    fake_replica replica;
    replica.leader = "c1";
    client_under_test t(&replica);
    t.propose();
    CHECK(t.pending_address() == "c1:1");
    t.answer(propose_status::not_leader, "c2");
    t.pass(100ms);
    CHECK(t.pending_address() == "c2:1");
    t.answer(propose_status::committed, "c2");
    CHECK(t.calls == 1);
}

TEST_CASE("a silent leader is avoided although the local replica names it")
{
    fake_replica replica;
    replica.leader = "c1";
    client_under_test t(&replica);
    t.propose();
    t.transport.lose();
    std::set<std::string> addresses;
    for (int n = 0; n < 3; ++n)
    {
        t.pass(100ms);
        addresses.insert(t.pending_address());
        t.transport.lose();
    }
    CHECK(addresses.size() == 3);
    // Used again once another VM names it as the leader.
    t.pass(100ms);
    t.answer(propose_status::not_leader, "c1");
    t.pass(100ms);
    CHECK(t.pending_address() == "c1:1");
}

TEST_CASE("a leader proposes to its local replica")
{
    fake_replica replica;
    replica.leads = true;
    replica.leader = "self";
    client_under_test t(&replica);
    t.propose();
    CHECK(t.pending_address().empty());
    CHECK(t.client.leader_address().empty());
    REQUIRE(replica.proposals.size() == 1);
    replica.proposals[0](
        {static_cast<std::uint8_t>(propose_status::lost), "", ""});
    replica.leads = false;
    replica.leader = "c2";
    t.pass(100ms);
    CHECK(t.pending_address() == "c2:1");
}

// Guards against decisions that take two readings of the clock for one moment.
TEST_CASE("a clock that advances at each reading fails no command")
{
    const std::optional<propose_status> faults[] = {
        std::nullopt, propose_status::not_leader, propose_status::overloaded,
        propose_status::lost};
    for (const auto step : clock_steps)
    {
        for (const auto& fault : faults)
        {
            CAPTURE(step.count());
            client_under_test t;
            t.clock.set_step(step);
            t.propose();
            REQUIRE_FALSE(t.pending_address().empty());
            CHECK(t.transport.requests.front().timeout > 0s);
            CHECK(t.transport.requests.front().timeout <= 1s);
            if (fault)
            {
                t.answer(*fault, "");
            }
            else
            {
                t.transport.lose();
            }
            CHECK(t.calls == 0);
            t.pass(100ms);
            REQUIRE_FALSE(t.pending_address().empty());
            t.answer(propose_status::committed, "c2");
            CHECK(t.calls == 1);
            CHECK(t.result.value() == "result");
        }
    }
}

} // namespace hyssoploft::tests
