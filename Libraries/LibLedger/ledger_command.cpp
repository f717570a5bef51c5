// Encoding of ledger commands: a format byte, 8 bytes of log time, the body.

#include <LibLedger/ledger_command.hpp>

#include <LibCore/bounded_archive.hpp>

#include <cereal/types/chrono.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <cstring>

namespace hyssoploft::ledger {

namespace {

constexpr std::uint8_t format_version = 1;
constexpr std::size_t log_time_offset = 1;

} // namespace

template <typename Archive>
void serialize(Archive& ar, record_id& it)
{
    ar(it.account, it.route, it.key_digest);
}

template <typename Archive>
void serialize(Archive& ar, begin_command& it)
{
    auto& request = it.request;
    ar(request.id, request.body_digest, request.attempt, request.owner_vm,
       request.region, request.deadline, request.record_lifetime);
}

template <typename Archive>
void serialize(Archive& ar, finish_command& it)
{
    ar(it.id, it.attempt, it.owner_vm, it.outcome, it.answer_digest,
       it.holders);
}

template <typename Archive>
void serialize(Archive& ar, abandon_command& it)
{
    ar(it.id, it.attempt, it.owner_vm, it.record_lifetime);
}

template <typename Archive>
void serialize(Archive& /*ar*/, tick_command& /*it*/)
{}

template <typename Archive>
void serialize(Archive& ar, begin_result& it)
{
    ar(it.outcome, it.answer_digest, it.holders);
}

template <typename Archive>
void serialize(Archive& ar, command_result& it)
{
    ar(it.status, it.begin);
}

std::string encode_command(const command& it)
{
    return core::encode(format_version, log_time{0}, it);
}

std::string stamp(std::string encoded, log_time now)
{
    if (encoded.size() >= log_time_offset + sizeof now)
    {
        // The archive is little endian, as are the supported machines.
        std::memcpy(encoded.data() + log_time_offset, &now, sizeof now);
    }
    return encoded;
}

absl::StatusOr<stamped_command> decode_command(std::string_view bytes)
{
    std::uint8_t format = 0;
    stamped_command it;
    if (const auto status = core::decode(bytes, format, it.time, it.body);
        !status.ok())
    {
        return status;
    }
    if (format != format_version)
    {
        return absl::InvalidArgumentError("unknown format version");
    }
    return it;
}

std::string encode_command_result(const command_result& it)
{
    return core::encode(it);
}

absl::StatusOr<command_result> decode_command_result(std::string_view bytes)
{
    command_result it;
    if (const auto status = core::decode(bytes, it); !status.ok())
    {
        return status;
    }
    return it;
}

} // namespace hyssoploft::ledger
