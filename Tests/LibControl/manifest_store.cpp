// Guards against a manifest that goes back to an older version, and against
// replicas that diverge after a snapshot.

#include <LibControl/control_messages.hpp>
#include <LibControl/control_state_machine.hpp>

#include <doctest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace hyssoploft::tests {

namespace {

using control::command_kind;

std::string command(command_kind kind, const std::string& body)
{
    return wire::encode(
        control::log_command{static_cast<std::uint8_t>(kind), body});
}

std::string put(std::uint64_t version, const std::string& packed)
{
    return command(
        command_kind::manifest,
        wire::encode(control::manifest_command{version, packed}));
}

std::string evacuate(const std::string& data_center, bool active)
{
    return command(
        command_kind::evacuation,
        wire::encode(control::evacuation_command{data_center, active}));
}

std::string
change(const std::string& data_center, bool active, std::uint64_t based_on)
{
    return command(
        command_kind::evacuation_change,
        wire::encode(
            control::evacuation_change{data_center, active, based_on}));
}

/// The innermost part of a snapshot, as all builds write it.
struct earlier_replicas
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

control::manifest_status status_of(const std::string& result)
{
    return wire::decode<control::manifest_status>(result).value();
}

} // namespace

TEST_CASE("the highest version wins, in any order of the commands")
{
    control::control_state_machine state;
    CHECK(status_of(state.apply(1, put(7, "seven"))).version == 7);
    // An older version, and other content under the current version.
    CHECK(status_of(state.apply(2, put(5, "five"))).version == 7);
    CHECK(status_of(state.apply(3, put(7, "other"))).version == 7);
    CHECK(state.manifests().packed() == "seven");
    CHECK(status_of(state.apply(4, put(9, "nine"))).version == 9);
    CHECK(state.manifests().packed() == "nine");
}

TEST_CASE("the evacuation revision counts only changes")
{
    control::control_state_machine state;
    state.apply(1, evacuate("a", true));
    CHECK(
        status_of(state.apply(2, evacuate("a", true))).evacuation_revision ==
        1);
    CHECK(state.manifests().evacuated().contains("a"));
    CHECK(
        status_of(state.apply(3, evacuate("a", false))).evacuation_revision ==
        2);
    CHECK(state.manifests().evacuated().empty());
}

TEST_CASE("a barrier returns the state of all commands before it")
{
    control::control_state_machine state;
    state.apply(1, put(4, "four"));
    CHECK(
        status_of(state.apply(2, command(command_kind::barrier, ""))).version ==
        4);
}

TEST_CASE("snapshots contain the manifest")
{
    control::control_state_machine from;
    from.apply(1, put(4, "four"));
    from.apply(2, evacuate("a", true));
    control::control_state_machine to;
    REQUIRE(to.install_snapshot(from.take_snapshot()).ok());
    CHECK(to.manifests().status() == from.manifests().status());
    CHECK(to.manifests().packed() == "four");
    CHECK(to.manifests().evacuated() == from.manifests().evacuated());
}

TEST_CASE("documents survive packing, damaged ones are rejected")
{
    std::string document;
    for (int n = 0; n < 5000; ++n)
    {
        document += "{\"name\":\"route-" + std::to_string(n) + "\"},";
    }
    const auto packed = control::pack_document(document);
    REQUIRE(packed.ok());
    CHECK(packed->size() < document.size() / 3);
    const auto back = control::unpack_document(*packed);
    REQUIRE(back.ok());
    CHECK(*back == document);
    CHECK_FALSE(
        control::unpack_document(packed->substr(0, packed->size() / 2)).ok());
    CHECK_FALSE(control::unpack_document("no document").ok());
    CHECK_FALSE(control::pack_document(
                    std::string(control::max_document_bytes + 1, 'x'))
                    .ok());
}

// Replicas that took a snapshot and replicas that replayed the log must agree
// on which orders are outdated.
TEST_CASE("snapshots contain the order revisions of data centres")
{
    control::control_state_machine from;
    from.apply(1, evacuate("a", true));
    from.apply(2, change("a", false, 0));
    from.apply(3, change("a", false, 1));
    control::control_state_machine to;
    REQUIRE(to.install_snapshot(from.take_snapshot()).ok());
    CHECK(to.manifests().evacuation_order_revision("a") == 2);
    CHECK(to.manifests().evacuation_order_revision("b") == 0);
    CHECK(to.take_snapshot() == from.take_snapshot());
}

// Guards against replicas that diverge after an upgrade: snapshots of earlier
// builds have no order revisions, so entries of earlier builds count none.
TEST_CASE("evacuations that an earlier build logged have no order revision")
{
    control::control_state_machine replayed;
    replayed.apply(1, evacuate("a", true));
    CHECK(replayed.manifests().evacuation_order_revision("a") == 0);
    const auto before = wire::encode(std::pair(
        std::pair(
            earlier_replicas{
                replayed.resources().snapshot(), replayed.records().snapshot(),
                replayed.replicas()},
            std::vector<std::uint64_t>{}),
        replayed.manifests()));
    control::control_state_machine restored;
    REQUIRE(restored.install_snapshot(before).ok());
    CHECK(restored.manifests().evacuated().contains("a"));
    CHECK(restored.take_snapshot() == replayed.take_snapshot());
}

} // namespace hyssoploft::tests
