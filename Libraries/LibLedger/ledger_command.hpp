#ifndef HYSSOPLOFT_LIBLEDGER_LEDGER_COMMAND_HPP
#define HYSSOPLOFT_LIBLEDGER_LEDGER_COMMAND_HPP

// Commands of the execution ledger, their results, and the encoding of both in
// the log.

#include <LibCore/enum_table.hpp>
#include <LibLedger/ledger_client.hpp>

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hyssoploft::ledger {

/// Milliseconds during which the log has had a leader, as measured by the
/// monotonic clocks of the leaders. Never decreases.
using log_time = std::uint64_t;

struct begin_command
{
    begin_request request;
};

enum class finish_outcome : std::uint8_t
{
    completed, ///< The upstream answered.
    unknown    ///< Sent, but the answer was lost. Never sent again.
};

inline constexpr core::enum_table<finish_outcome, 2> finish_outcome_names{
    {{finish_outcome::completed, "completed"},
     {finish_outcome::unknown, "unknown"}}};

struct finish_command
{
    record_id id;
    std::string attempt;
    std::string owner_vm;
    finish_outcome outcome = finish_outcome::completed;
    std::string answer_digest;        ///< Empty: the answer was not stored.
    std::vector<std::string> holders; ///< At most max_holders.
};

/// Proposed only by the owner VM, and only if it will never send the call.
struct abandon_command
{
    record_id id;
    std::string attempt;
    std::string owner_vm;
    core::duration record_lifetime{}; ///< Time to reject a late begin.
};

/// Advances log time, so that records expire without other commands.
struct tick_command
{};

using command =
    std::variant<begin_command, finish_command, abandon_command, tick_command>;

enum class command_status : std::uint8_t
{
    ok,
    no_record,     ///< Finish: expired, abandoned or never begun.
    not_the_owner, ///< Finish or abandon of another attempt or VM.
    already_sent,  ///< Abandon of a finished attempt.
    malformed      ///< Not decodable, or a field is out of range.
};

inline constexpr core::enum_table<command_status, 5> command_status_names{
    {{command_status::ok, "ok"},
     {command_status::no_record, "no_record"},
     {command_status::not_the_owner, "not_the_owner"},
     {command_status::already_sent, "already_sent"},
     {command_status::malformed, "malformed"}}};

struct command_result
{
    command_status status = command_status::malformed;
    begin_result begin; ///< For a begin with status ok.
};

inline constexpr std::size_t max_field_bytes = 128;
inline constexpr std::size_t max_holders = 8;

/// Encodes a command with log time 0. The leader sets the log time.
std::string encode_command(const command& it);

/// Sets the log time of an encoded command, before the leader appends it to
/// the log. Bytes too short for a command are returned unchanged.
std::string stamp(std::string encoded, log_time now);

struct stamped_command
{
    log_time time = 0;
    command body;
};

absl::StatusOr<stamped_command> decode_command(std::string_view bytes);

std::string encode_command_result(const command_result& it);
absl::StatusOr<command_result> decode_command_result(std::string_view bytes);

} // namespace hyssoploft::ledger

#endif
