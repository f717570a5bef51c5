// Guards against an operator's order that grows old in a control VM and then
// undoes a newer one that was acknowledged.

#include <LibControl/evacuation_orders.hpp>

#include <LibControl/control_messages.hpp>
#include <LibControl/control_state_machine.hpp>
#include <Support/manual_clock.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hyssoploft::tests {

namespace {

using namespace std::chrono_literals;
using control::evacuation_result;

const std::string zone = "east-a";

/// A log of one replica, with a place to act before each of the two calls that
/// an order makes.
class scripted_log final : public control::evacuation_log
{
public:
    void read_evacuation_order(
        std::string data_center, revision_handler done) override
    {
        act(before_read);
        const auto& known = state.manifests().evacuation_orders();
        const auto found = known.find(data_center);
        const bool is_behind = lag > 0;
        done(found == known.end() || is_behind ? 0 : found->second);
        act(after_read);
    }

    void change_evacuation(
        control::evacuation_change change, change_handler done) override
    {
        ++changes;
        act(before_change);
        const auto result = apply(change);
        if (is_repeated)
        {
            // The proposer's answer was lost: it sends the same bytes again.
            act(before_repeat);
            done(apply(change));
            return;
        }
        done(result);
    }

    evacuation_result apply(const control::evacuation_change& change)
    {
        const auto bytes = state.apply(
            ++index, wire::encode(control::log_command{
                         static_cast<std::uint8_t>(
                             control::command_kind::evacuation_change),
                         wire::encode(change)}));
        return wire::decode<evacuation_result>(bytes).value();
    }

    /// An order that another VM takes and acknowledges.
    void order_elsewhere(bool active)
    {
        REQUIRE(apply({zone, active,
                       state.manifests().evacuation_order_revision(zone)})
                    .applied);
    }

    bool is_evacuated() const
    {
        return state.manifests().evacuated().contains(zone);
    }

    control::control_state_machine state;
    std::uint64_t index = 0;
    int lag = 0; ///< Not 0: this VM knows no order yet.
    int changes = 0;
    bool is_repeated = false;
    std::function<void()> before_read;
    std::function<void()> after_read;
    std::function<void()> before_change;
    std::function<void()> before_repeat;

private:
    static void act(std::function<void()>& it)
    {
        // Once: a later call of the same order finds nothing to wait for.
        if (const auto once = std::exchange(it, nullptr))
        {
            once();
        }
    }
};

struct operator_under_test
{
    operator_under_test()
    {
        log.order_elsewhere(true);
    }

    /// Sends an order to this VM and returns the outcome.
    absl::Status send(bool active)
    {
        boost::asio::io_context io;
        absl::Status out;
        boost::asio::co_spawn(
            io,
            orders.submit(
                io.get_executor(), {zone, active},
                [this] {
                    return waits;
                }),
            [&](std::exception_ptr, absl::Status it) {
                out = std::move(it);
            });
        io.run();
        return out;
    }

    /// What the operator does while this VM stands still: it gives the order
    /// up, has it acknowledged by another VM, and sends the opposite one.
    void give_up_and_go_on()
    {
        waits = false;
        log.order_elsewhere(false);
        log.order_elsewhere(true);
        clock->advance(7s);
    }

    bool waits = true;
    scripted_log log;
    std::shared_ptr<manual_clock> clock = std::make_shared<manual_clock>();
    control::evacuation_orders orders{log, clock};
};

} // namespace

// A frozen control VM took the zone back into use seconds after it had been
// evacuated again, because the caller that had closed its connection was not
// looked at and the log applied orders whatever came before them.
TEST_CASE("an order that grew old undoes no newer one, wherever it waited")
{
    struct place
    {
        std::string name;
        std::function<void(operator_under_test&)> prepare;
    };
    const auto stand_still = [](operator_under_test& t) {
        return [&t] {
            t.give_up_and_go_on();
        };
    };
    const std::vector<place> places{
        {"the socket, before the order is read",
         [&](operator_under_test& t) {
             t.give_up_and_go_on();
         }},
        {"the socket of a VM that has not caught up",
         [&](operator_under_test& t) {
             t.give_up_and_go_on();
             t.log.lag = 1;
         }},
        {"the queue to the control thread",
         [&](operator_under_test& t) {
             t.log.before_read = stand_still(t);
         }},
        {"between the revision and the proposal",
         [&](operator_under_test& t) {
             t.log.after_read = stand_still(t);
         }},
        {"the queue of the leader",
         [&](operator_under_test& t) {
             t.log.before_change = stand_still(t);
         }},
        {"the repeats of the proposer",
         [&](operator_under_test& t) {
             t.log.is_repeated = true;
             t.log.before_repeat = [&t] {
                 t.waits = false;
                 t.log.order_elsewhere(true);
             };
         }},
    };
    for (const auto& it : places)
    {
        CAPTURE(it.name);
        operator_under_test t;
        it.prepare(t);
        CHECK(t.send(false).code() == absl::StatusCode::kAborted);
        CHECK(t.log.is_evacuated());
    }
}

// The close of a caller can be lost with its packets: then the revision alone
// has to stop the order.
TEST_CASE("an order is not proposed anew once operators have given it up")
{
    operator_under_test t;
    t.log.before_change = [&t] {
        t.give_up_and_go_on();
        t.waits = true;
    };
    CHECK(t.send(false).code() == absl::StatusCode::kAborted);
    CHECK(t.log.is_evacuated());
    CHECK(t.log.changes == 1);
}

// Orders that alter nothing count too: without that, an order from before an
// acknowledged one that changed nothing would be applied after it.
TEST_CASE("an order that altered nothing makes earlier ones outdated")
{
    operator_under_test t;
    t.log.before_change = [&t] {
        t.waits = false;
        t.log.order_elsewhere(true);
    };
    CHECK_FALSE(t.send(false).ok());
    CHECK(t.log.is_evacuated());
}

TEST_CASE("an order of a waiting caller is applied by a VM that is behind")
{
    for (const bool active : {false, true})
    {
        CAPTURE(active);
        operator_under_test t;
        t.log.lag = 1;
        CHECK(t.send(active).ok());
        CHECK(t.log.is_evacuated() == active);
    }
}

TEST_CASE("an order that another VM has applied meanwhile is acknowledged")
{
    operator_under_test t;
    t.log.before_change = [&t] {
        t.log.order_elsewhere(false);
    };
    CHECK(t.send(false).ok());
    CHECK_FALSE(t.log.is_evacuated());
    t.log.is_repeated = true;
    CHECK(t.send(true).ok());
    CHECK(t.log.is_evacuated());
}

TEST_CASE("orders for other data centres make none outdated")
{
    operator_under_test t;
    t.log.before_change = [&t] {
        CHECK(t.log.apply({"east-b", true, 0}).applied);
    };
    CHECK(t.send(false).ok());
    CHECK_FALSE(t.log.is_evacuated());
    CHECK(t.log.changes == 1);
}

// Guards against decisions that take two readings of the clock for one moment.
TEST_CASE("a clock that advances at each reading refuses no order")
{
    for (const auto step : clock_steps)
    {
        for (const bool active : {false, true})
        {
            CAPTURE(step.count());
            CAPTURE(active);
            operator_under_test t;
            t.clock->set_step(step);
            CHECK(t.send(active).ok());
            CHECK(t.log.is_evacuated() == active);
        }
        operator_under_test outdated;
        outdated.clock->set_step(step);
        outdated.log.before_change = [&outdated] {
            outdated.give_up_and_go_on();
        };
        CHECK(outdated.send(false).code() == absl::StatusCode::kAborted);
        CHECK(outdated.log.is_evacuated());
    }
}

} // namespace hyssoploft::tests
