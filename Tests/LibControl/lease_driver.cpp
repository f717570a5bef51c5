// Guards against leases granted to another VM than the sender of the request,
// and against requests that are still sent to a former leader.

#include <LibControl/lease_driver.hpp>

#include <LibControl/fake_transport.hpp>
#include <LibRate/lease_messages.hpp>
#include <LibResource/samples.hpp>
#include <Support/manual_clock.hpp>

#include <doctest.h>

#include <chrono>

namespace hyssoploft::tests {

namespace {

using namespace std::chrono_literals;
using control::propose_status;
using wire::message_type;

std::shared_ptr<rate::lease_holder> make_holder()
{
    rate::holder_settings it;
    it.vm = "n1";
    it.incarnation = 1;
    return std::make_shared<rate::lease_holder>(it);
}

struct driver_under_test
{
    explicit driver_under_test(control::local_replica* replica = nullptr)
        : client(transport, fleet, replica, clock),
          driver(transport, client, holder, clock)
    {
        fleet.add("c1", true);
        fleet.add("c2", true);
        clock.advance(1000s);
        const auto store = make_store();
        driver.install(store.view());
    }

    std::string pending_address() const
    {
        return transport.requests.empty() ? ""
                                          : transport.requests.front().address;
    }

    rate::lease_request request(const std::string& vm, std::uint64_t sequence)
    {
        rate::lease_request it;
        it.vm = vm;
        it.incarnation = 5;
        it.sequence = sequence;
        it.config_version = 1;
        it.accounts = {{"shop", 50, 0}};
        return it;
    }

    manual_clock clock;
    fake_transport transport;
    fake_fleet_source fleet;
    std::shared_ptr<rate::lease_holder> holder = make_holder();
    control::proposal_client client;
    control::lease_driver driver;
};

} // namespace

TEST_CASE("the leader grants only to the VM that sent the request")
{
    driver_under_test t;
    t.driver.role_changed(true, 1);
    t.clock.advance(10s);
    struct fault
    {
        const char* name;
        std::string sender;
        std::string payload;
        std::optional<message_type> answer;
    };
    const auto good = rate::encode(t.request("n2", 1));
    for (const auto& it :
         {fault{"names another VM", "s1", good, std::nullopt},
          fault{"malformed", "n2", "x", std::nullopt},
          fault{"truncated", "n2", good.substr(0, good.size() - 1), {}},
          fault{"valid", "n2", good, message_type::lease_grant},
          // An old sequence gets no grant, only the name of the leader.
          fault{"sent twice", "n2", good, message_type::propose_result},
          fault{
              "from an undeclared VM", "x9", rate::encode(t.request("x9", 1)),
              message_type::propose_result}})
    {
        CAPTURE(it.name);
        t.transport.responses.clear();
        t.driver.serve(
            incoming(it.sender, message_type::lease_request, it.payload));
        REQUIRE(t.transport.responses.size() == (it.answer ? 1U : 0U));
        if (it.answer)
        {
            CHECK(t.transport.responses[0].type == *it.answer);
        }
    }
}

TEST_CASE("a VM that is not the leader names the leader and grants nothing")
{
    driver_under_test t;
    t.client.set_leader("c2");
    const auto ask = [&](std::uint64_t sequence) {
        t.transport.responses.clear();
        t.driver.serve(incoming(
            "n2", message_type::lease_request,
            rate::encode(t.request("n2", sequence))));
        return t.transport.responses.at(0);
    };
    auto it = ask(1);
    CHECK(it.type == message_type::propose_result);
    const auto hint = wire::decode<control::propose_result>(it.payload).value();
    CHECK(hint.leader_vm == "c2");
    CHECK(hint.status == static_cast<std::uint8_t>(propose_status::not_leader));
    t.driver.role_changed(true, 1);
    CHECK(
        ask(2).type ==
        message_type::propose_result); // Leases of the previous leader may
                                       // still be valid.
    t.clock.advance(10s);
    CHECK(ask(3).type == message_type::lease_grant);
    t.driver.role_changed(false, 2);
    CHECK(ask(4).type == message_type::propose_result);
}

TEST_CASE("requests follow the redirect to the leader")
{
    driver_under_test t;
    t.driver.tick();
    REQUIRE_FALSE(t.pending_address().empty());
    t.transport.answer(
        message_type::propose_result,
        encoded_result(propose_status::not_leader, "c2"));
    t.driver.tick();
    CHECK(t.pending_address().empty()); // One request per interval.
    t.clock.advance(1s);
    t.driver.tick();
    CHECK(t.pending_address() == "c2:1");
}

// Requests were sent to a partitioned leader until the failure detector
// declared it dead, 5 to 10 s later.
TEST_CASE("a leader that does not answer gets no further requests")
{
    driver_under_test t;
    t.client.set_leader("c2");
    std::set<std::string> addresses;
    for (int n = 0; n < 3; ++n)
    {
        t.driver.tick();
        addresses.insert(t.pending_address());
        t.transport.lose();
        t.clock.advance(1s);
    }
    CHECK(addresses == std::set<std::string>{"c1:1", "c2:1"});
}

TEST_CASE("a valid grant of the leader is applied, a malformed one is not")
{
    driver_under_test leader;
    leader.driver.role_changed(true, 1);
    leader.clock.advance(10s);
    driver_under_test t;
    const auto floor = t.holder->share("shop", t.clock.now());
    (void)t.holder->reserve("shop", 100, t.clock.now());
    t.clock.advance(1s);
    t.driver.tick();
    SUBCASE("malformed")
    {
        t.transport.answer(message_type::lease_grant, "x");
        CHECK(t.holder->share("shop", t.clock.now()) == floor);
    }
    SUBCASE("valid")
    {
        leader.driver.serve(incoming(
            "n1", message_type::lease_request,
            t.transport.requests.front().payload));
        const auto grant = leader.transport.responses.at(0);
        REQUIRE(grant.type == message_type::lease_grant);
        t.transport.answer(grant.type, grant.payload);
        CHECK(t.holder->share("shop", t.clock.now()) > floor);
    }
}

TEST_CASE("after release no request is sent")
{
    driver_under_test t;
    t.client.set_leader("c1");
    t.driver.release();
    REQUIRE(t.transport.requests.size() == 1);
    CHECK(rate::decode_lease_request(t.transport.requests[0].payload)
              .value()
              .release);
    t.driver.release();
    t.clock.advance(5s);
    t.driver.tick();
    CHECK(t.transport.requests.size() == 1);
}

// Guards against decisions that take two readings of the clock for one moment.
TEST_CASE("a clock that advances at each reading changes no grant")
{
    for (const auto step : clock_steps)
    {
        CAPTURE(step.count());
        driver_under_test leader;
        leader.clock.set_step(step);
        leader.driver.role_changed(true, 1);
        leader.clock.advance(10s);
        driver_under_test t;
        t.clock.set_step(step);
        const auto floor = t.holder->share("shop", t.clock.now());
        (void)t.holder->reserve("shop", 100, t.clock.now());
        t.clock.advance(1s);
        t.driver.tick();
        REQUIRE_FALSE(t.transport.requests.empty());
        leader.driver.serve(incoming(
            "n1", message_type::lease_request,
            t.transport.requests.front().payload));
        const auto grant = leader.transport.responses.at(0);
        REQUIRE(grant.type == message_type::lease_grant);
        t.transport.answer(grant.type, grant.payload);
        CHECK(t.holder->share("shop", t.clock.now()) > floor);
        // One request per interval, also where time passes within a decision.
        t.driver.tick();
        CHECK(t.pending_address().empty());
    }
}

} // namespace hyssoploft::tests
