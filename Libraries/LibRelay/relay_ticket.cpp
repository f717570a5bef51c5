// Encodes, signs and verifies relay tickets.

#include <LibRelay/relay_ticket.hpp>

#include <LibCore/keyed_hash.hpp>
#include <LibWire/serialization.hpp>

#include <cereal/types/string.hpp>

namespace hyssoploft::relay {

namespace {

/// Hexadecimal digits of the truncated HMAC.
constexpr std::size_t signature_digits = 32;

struct ticket_fields
{
    std::string request_id;
    std::string role;
    std::string account;
    std::string last_event_id;
    std::int64_t time_left_ns = 0;
    std::int64_t latency_target_ns = 0;
    std::uint32_t urgency = 0;
    bool is_engine = false;
    bool is_idempotent = false;
    bool ignores_quarantine = false;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(
            request_id, role, account, last_event_id, time_left_ns,
            latency_target_ns, urgency, is_engine, is_idempotent,
            ignores_quarantine);
    }
};

std::string sign(std::string_view body, std::string_view fleet_key)
{
    return core::to_hex(core::hmac_sha256(fleet_key, body))
        .substr(0, signature_digits);
}

} // namespace

std::string encode(const relay_ticket& it, std::string_view fleet_key)
{
    const ticket_fields fields{it.request_id,        it.role,
                               it.account,           it.last_event_id,
                               it.time_left.count(), it.latency_target.count(),
                               it.urgency,           it.is_engine,
                               it.is_idempotent,     it.ignores_quarantine};
    const auto body = core::to_hex(std::string_view(wire::encode(fields)));
    return sign(body, fleet_key) + body;
}

absl::StatusOr<relay_ticket>
decode_ticket(std::string_view text, std::string_view fleet_key)
{
    if (text.size() < signature_digits)
    {
        return absl::InvalidArgumentError("the ticket is too short");
    }
    const auto body = text.substr(signature_digits);
    if (!core::equal_constant_time(
            text.substr(0, signature_digits), sign(body, fleet_key)))
    {
        return absl::PermissionDeniedError("the ticket's signature is wrong");
    }
    const auto bytes = core::from_hex(body);
    if (!bytes.ok())
    {
        return bytes.status();
    }
    const auto fields = wire::decode<ticket_fields>(*bytes);
    if (!fields.ok())
    {
        return fields.status();
    }
    relay_ticket out;
    out.request_id = fields->request_id;
    out.role = fields->role;
    out.account = fields->account;
    out.last_event_id = fields->last_event_id;
    out.time_left = core::duration(fields->time_left_ns);
    out.latency_target = core::duration(fields->latency_target_ns);
    out.urgency = fields->urgency;
    out.is_engine = fields->is_engine;
    out.is_idempotent = fields->is_idempotent;
    out.ignores_quarantine = fields->ignores_quarantine;
    return out;
}

} // namespace hyssoploft::relay
