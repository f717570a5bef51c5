// Guards against forged calls that claim to come from a VM of the fleet.

#include <LibRelay/relay_ticket.hpp>

#include <doctest.h>

using namespace hyssoploft;

namespace {

constexpr std::string_view fleet_key = "sixteen bytes or more";

relay::relay_ticket ticket()
{
    relay::relay_ticket out;
    out.request_id = "r1";
    out.role = "engine";
    out.account = "shop";
    out.last_event_id = "7";
    out.time_left = std::chrono::milliseconds(1500);
    out.urgency = 2;
    out.is_engine = true;
    return out;
}

} // namespace

TEST_CASE("a decoded ticket equals the encoded one")
{
    const auto out =
        relay::decode_ticket(relay::encode(ticket(), fleet_key), fleet_key);
    REQUIRE(out.ok());
    CHECK(out->request_id == "r1");
    CHECK(out->role == "engine");
    CHECK(out->account == "shop");
    CHECK(out->last_event_id == "7");
    CHECK(out->time_left == std::chrono::milliseconds(1500));
    CHECK(out->urgency == 2);
    CHECK(out->is_engine);
    CHECK_FALSE(out->is_idempotent);
}

TEST_CASE("a modified ticket, or one signed with another key, is rejected")
{
    const auto text = relay::encode(ticket(), fleet_key);
    CHECK(
        relay::decode_ticket(text, "another key of the fleet")
            .status()
            .code() == absl::StatusCode::kPermissionDenied);
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        auto changed = text;
        changed[n] = changed[n] == '0' ? '1' : '0';
        CHECK_FALSE(relay::decode_ticket(changed, fleet_key).ok());
    }
    CHECK_FALSE(relay::decode_ticket("", fleet_key).ok());
    CHECK_FALSE(relay::decode_ticket(text.substr(0, 40), fleet_key).ok());
}
