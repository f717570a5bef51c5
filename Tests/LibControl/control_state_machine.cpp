// Guards against replicas that diverge after applying the same log, and against
// a malformed command or a long history that blocks the log.

#include <LibControl/control_state_machine.hpp>

#include <LibControl/control_messages.hpp>
#include <LibResource/samples.hpp>

#include <doctest.h>

namespace hyssoploft::tests {

namespace {

using control::command_kind;
using control::control_state_machine;

std::string command(command_kind kind, const std::string& body)
{
    return wire::encode(
        control::log_command{static_cast<std::uint8_t>(kind), body});
}

std::string replica(std::uint64_t id, const std::string& vm)
{
    return command(
        command_kind::replica, wire::encode(control::replica_entry{id, vm}));
}

std::string account(const std::string& name)
{
    return command(
        command_kind::resources,
        resource::encode_batch(
            make_batch("set-" + name, {set(make_account(name))})));
}

struct earlier_snapshot
{
    std::string resources;
    std::string ledger;
    std::map<std::uint64_t, std::string> replicas;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(resources, ledger, replicas);
    }
};

std::string begin(const std::string& key)
{
    ledger::begin_request it;
    it.id = {"shop", "slots", core::to_hex(core::sha256(key))};
    it.body_digest = core::to_hex(core::sha256("body"));
    it.attempt = "attempt-" + key;
    it.owner_vm = "v1";
    it.region = "east";
    it.deadline = std::chrono::seconds(10);
    it.record_lifetime = std::chrono::hours(1);
    return command(
        command_kind::ledger,
        ledger::stamp(ledger::encode_command(ledger::begin_command{it}), 1000));
}

std::string departure(
    const std::string& upstream, std::uint64_t incarnation, std::uint64_t time)
{
    return command(
        command_kind::departure, wire::encode(control::departure_command{
                                     {upstream, incarnation}, time}));
}

/// Advances log time.
std::string tick(std::uint64_t time)
{
    return command(
        command_kind::ledger,
        ledger::stamp(ledger::encode_command(ledger::tick_command{}), time));
}

bool has_departed(
    const control_state_machine& it, const std::string& upstream,
    std::uint64_t incarnation)
{
    return it.departures().items().contains(upstream, incarnation);
}

constexpr std::uint64_t minute_ms = 60'000;

} // namespace

TEST_CASE("a restored snapshot equals the state that it was taken from")
{
    control_state_machine first;
    std::uint64_t index = 0;
    for (const auto& it :
         {account("shop"), replica(7, "v1"), begin("a"), replica(3, "v2"),
          departure("u", 5, 2000), departure("v", 5, 3000),
          departure("u", 6, 4000)})
    {
        first.apply(++index, it);
    }
    control_state_machine second;
    second.apply(1, account("other"));
    second.apply(2, replica(9, "v9"));
    const auto snapshot = first.take_snapshot();
    REQUIRE(second.install_snapshot(snapshot).ok());
    CHECK(second.take_snapshot() == snapshot);
    CHECK(second.replicas() == first.replicas());
    CHECK(second.records().size() == 1);
    CHECK(has_departed(second, "u", 6));
    CHECK_FALSE(has_departed(second, "u", 7));
    CHECK(has_departed(second, "v", 5));
    CHECK(second.resources().version() == first.resources().version());

    // Both continue identically, including their answers to resent commands.
    for (const auto& it :
         {account("shop"), begin("a"), begin("b"), replica(8, "v1"),
          departure("w", 1, 4000), departure("u", 6, 4000),
          tick(2000 + 10 * minute_ms), departure("x", 1, 0)})
    {
        ++index;
        CHECK(first.apply(index, it) == second.apply(index, it));
    }
    CHECK(first.take_snapshot() == second.take_snapshot());
}

TEST_CASE("the snapshot of a new cluster is empty")
{
    control_state_machine it;
    CHECK(it.install_snapshot("").ok());
    CHECK(it.resources().version() == 0);
}

TEST_CASE("malformed commands change nothing and do not block the log")
{
    struct fault
    {
        const char* name;
        std::string bytes;
    };
    const auto good = account("shop");
    const std::vector<fault> table{
        {"empty", ""},
        {"not a command", "x"},
        {"truncated", good.substr(0, good.size() - 1)},
        {"trailing bytes", good + "x"},
        {"of an unknown kind", command(static_cast<command_kind>(9), "x")},
        {"malformed batch", command(command_kind::resources, "x")},
        {"malformed record", command(command_kind::ledger, "x")},
        {"malformed replica", command(command_kind::replica, "x")},
        {"malformed departure", command(command_kind::departure, "x")},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        control_state_machine machine;
        machine.apply(1, account("before"));
        const auto version = machine.resources().version();
        const auto replicas = machine.replicas();
        const auto records = machine.records().size();
        machine.apply(2, it.bytes);
        CHECK(machine.departures().is_new());
        CHECK(machine.resources().version() == version);
        CHECK(machine.replicas() == replicas);
        CHECK(machine.records().size() == records);
        machine.apply(3, good);
        CHECK(machine.resources().version() == version + 1);
    }
}

TEST_CASE("a damaged snapshot is rejected")
{
    control_state_machine from;
    from.apply(1, account("shop"));
    from.apply(2, replica(1, "v1"));
    const auto good = from.take_snapshot();
    for (const auto& it :
         {std::string("x"), good.substr(0, good.size() / 2), good + "x"})
    {
        control_state_machine to;
        CHECK_FALSE(to.install_snapshot(it).ok());
    }
}

// With more than 64 replicas new ones were not recorded, so that no control VM
// that lost its disk could be replaced.
TEST_CASE("any number of replicas can be replaced")
{
    control_state_machine machine;
    control_state_machine restored;
    std::uint64_t index = 0;
    for (std::uint64_t vm = 1; vm <= 5; ++vm)
    {
        machine.apply(++index, replica(vm, "v" + std::to_string(vm)));
    }
    for (std::uint64_t n = 0; n < 300; ++n)
    {
        // Identifiers are random: their order is not the order of creation.
        const std::uint64_t id = 1000 + (n * 7919) % 1009;
        machine.apply(++index, replica(id, "v5"));
        REQUIRE(machine.replicas().contains(id));
        CHECK(machine.replicas().size() <= 64);
        if (n == 150)
        {
            REQUIRE(restored.install_snapshot(machine.take_snapshot()).ok());
        }
        else if (n > 150)
        {
            restored.apply(index, replica(id, "v5"));
        }
    }
    for (std::uint64_t vm = 1; vm <= 4; ++vm)
    {
        CHECK(machine.replicas().at(vm) == "v" + std::to_string(vm));
    }
    CHECK(restored.take_snapshot() == machine.take_snapshot());
}

// Guards against an upgraded control VM that can't start from its data
// directory.
TEST_CASE("the snapshot of an earlier build, without replica order, is read")
{
    control_state_machine from;
    from.apply(1, account("shop"));
    from.apply(2, replica(7, "v1"));
    from.apply(3, replica(3, "v2"));
    const auto older = wire::encode(earlier_snapshot{
        from.resources().snapshot(), from.records().snapshot(),
        from.replicas()});
    control_state_machine to;
    REQUIRE(to.install_snapshot(older).ok());
    CHECK(to.resources().version() == 1);
    CHECK(to.replicas() == from.replicas());
    to.apply(4, replica(9, "v1"));
    CHECK(to.replicas().size() == 3);
    CHECK_FALSE(to.install_snapshot(older + "x").ok());
}

// Guards against control VMs of two builds that can't read each other's data.
TEST_CASE("snapshots before the first departure have the earlier format")
{
    control_state_machine from;
    from.apply(1, account("shop"));
    from.apply(2, replica(7, "v1"));
    const auto earlier = from.take_snapshot();
    from.apply(3, departure("u", 5, 1000));
    const auto later = from.take_snapshot();
    CHECK(later.substr(0, earlier.size()) == earlier);
    CHECK(later.size() > earlier.size());
    control_state_machine to;
    REQUIRE(to.install_snapshot(later).ok());
    CHECK(has_departed(to, "u", 5));
    // That of an earlier build, which skipped the departure.
    REQUIRE(to.install_snapshot(earlier).ok());
    CHECK_FALSE(has_departed(to, "u", 5));
    CHECK(to.take_snapshot() == earlier);
    CHECK_FALSE(to.install_snapshot(later + "x").ok());
    CHECK_FALSE(to.install_snapshot(later.substr(0, later.size() - 1)).ok());
}

TEST_CASE("a departure ends by the time of the log")
{
    control_state_machine machine;
    std::uint64_t index = 0;
    machine.apply(++index, departure("u", 5, 1000));
    machine.apply(++index, departure("v", 5, 1000 + minute_ms));
    CHECK(machine.has_expiries());
    CHECK(machine.time() == 1000 + minute_ms);
    machine.apply(++index, tick(1000 + 10 * minute_ms));
    CHECK(has_departed(machine, "u", 5));
    machine.apply(++index, tick(1001 + 10 * minute_ms));
    CHECK_FALSE(has_departed(machine, "u", 5));
    CHECK(has_departed(machine, "v", 5));
    // A leader of an earlier build sets no time, and none goes back.
    machine.apply(++index, departure("w", 5, 0));
    CHECK(machine.time() == 1001 + 10 * minute_ms);
    machine.apply(++index, tick(1001 + 11 * minute_ms));
    CHECK_FALSE(has_departed(machine, "v", 5));
    CHECK(has_departed(machine, "w", 5));
    machine.apply(++index, departure("x", 5, 1002 + 20 * minute_ms));
    CHECK_FALSE(has_departed(machine, "w", 5));
    CHECK(has_departed(machine, "x", 5));
}

TEST_CASE("a recorded replica can move to another VM")
{
    control_state_machine machine;
    machine.apply(1, replica(1, "v1"));
    machine.apply(2, replica(1, "v2"));
    CHECK(machine.replicas().at(1) == "v2");
    CHECK(machine.replicas().size() == 1);
}

} // namespace hyssoploft::tests
