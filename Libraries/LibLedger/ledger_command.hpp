#ifndef HYSSOPLOFT_LIBLEDGER_LEDGER_COMMAND_HPP
#define HYSSOPLOFT_LIBLEDGER_LEDGER_COMMAND_HPP

// Commands of the execution ledger as the log carries them, and their
// results.

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

/// Milliseconds of log time: the sum of the times during which there was a
/// leader. It comes from the leader's monotonic clock and never goes back.
using log_time = std::uint64_t;

struct begin_command
{
    begin_request request;
};

enum class finish_outcome : std::uint8_t
{
    completed, ///< The upstream answered.
    unknown    ///< Sent, but the answer was lost; it is never sent again.
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

/// Only from the VM that owns the attempt, and only if it will never send.
struct abandon_command
{
    record_id id;
    std::string attempt;
    std::string owner_vm;
    core::duration record_lifetime{}; ///< How long a late begin is refused.
};

/// Advances log time, so that records expire while no call comes.
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
    malformed      ///< Not a command, or a field out of its bound.
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

/// Encodes a command. Its log time is 0 until the leader stamps it.
std::string encode_command(const command& it);

/// Sets the log time of an encoded command; the leader does so when it
/// appends it to the log. Bytes that are no command stay as they are.
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
