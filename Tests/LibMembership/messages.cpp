// Guards against datagrams that are too large because their size was computed
// wrongly, and against invalid fields in received messages.

#include <LibMembership/fake_fleet.hpp>

#include <doctest.h>
#include <rapidcheck.h>

using namespace hyssoploft;
namespace m = hyssoploft::membership;

namespace {

m::member_update self_update()
{
    m::member_update it;
    it.id = "vm1";
    it.region = "region0";
    it.peer_address = "10.0.0.1:7000";
    return it;
}

} // namespace

TEST_CASE("computed sizes equal the encoded sizes")
{
    CHECK(rc::check(
        "sizes", [](std::string text, std::uint64_t a, std::uint32_t b) {
            m::member_update vm = self_update();
            vm.region = text;
            vm.incarnation = a;
            RC_ASSERT(m::encoded_size(vm) == wire::encode(vm).size());
            auto upstream = m::upstream_update{};
            upstream.id = text;
            upstream.models = {text, "x"};
            upstream.sequence = a;
            upstream.capacity = b;
            RC_ASSERT(
                m::encoded_size(upstream) == wire::encode(upstream).size());
            const m::summary_update summary{text, b, b, a, a, a, a};
            RC_ASSERT(m::encoded_size(summary) == wire::encode(summary).size());
        }));
}

TEST_CASE("messages with invalid fields are dropped and counted")
{
    struct fault
    {
        const char* what;
        std::function<void(m::ping&)> apply;
    };
    const fault faults[] = {
        {"other sender",
         [](auto& p) {
             p.self.id = "vm2";
         }},
        {"no identifier",
         [](auto& p) {
             p.self.id.clear();
         }},
        {"no region",
         [](auto& p) {
             p.self.region.clear();
         }},
        {"no address",
         [](auto& p) {
             p.self.peer_address.clear();
         }},
        {"long address",
         [](auto& p) {
             p.self.peer_address.assign(65, 'x');
         }},
        {"unknown state",
         [](auto& p) {
             p.self.state = static_cast<m::vm_state>(9);
         }},
        {"long target",
         [](auto& p) {
             p.target.assign(65, 'x');
         }},
        {"unknown upstream state",
         [](auto& p) {
             p.updates.upstreams.resize(1);
             p.updates.upstreams[0].id = "u";
             p.updates.upstreams[0].state = static_cast<m::upstream_state>(7);
         }},
        {"bucket out of range",
         [](auto& p) {
             p.updates.renewals.resize(1);
             p.updates.renewals[0].bucket = m::bucket_count;
         }},
        {"too many updates",
         [](auto& p) {
             p.updates.members.assign(65, self_update());
         }},
    };
    for (const auto& it : faults)
    {
        CAPTURE(it.what);
        tests::fake_fleet fleet({});
        m::ping ping;
        ping.probe_number = 1;
        ping.self = self_update();
        it.apply(ping);
        auto& member = fleet.member(0);
        (void)member.take_outgoing();
        member.on_message("vm1", ping, fleet.now());
        CHECK_EQ(member.counters().invalid_messages, 1);
        CHECK(member.take_outgoing().empty());
        CHECK(member.table().members().empty());
    }
}

TEST_CASE("random bytes don't crash a member")
{
    tests::fake_fleet fleet({});
    auto& member = fleet.member(0);
    CHECK(rc::check("bytes", [&](std::string text) {
        const auto handle_if_decoded = [&](const auto& decoded) {
            if (decoded.ok())
            {
                member.on_message("vm1", *decoded, fleet.now());
            }
        };
        handle_if_decoded(wire::decode<m::ping>(text));
        handle_if_decoded(wire::decode<m::ack>(text));
        handle_if_decoded(wire::decode<m::ping_request>(text));
        handle_if_decoded(wire::decode<m::state_sync>(text));
    }));
}
