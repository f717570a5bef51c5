#ifndef HYSSOPLOFT_LIBLEDGER_EXECUTION_LEDGER_HPP
#define HYSSOPLOFT_LIBLEDGER_EXECUTION_LEDGER_HPP

// The state machine that makes a call run at most once: fed by the log on
// control VMs. Equal commands in equal order give equal states and results.
// Time is the log time of the commands; no clock is read. Not thread safe.
//
// For one record identifier, and until its record expires, no two attempts
// are told `created` unless the owner VM of the first one abandoned it.

#include <LibCore/keyed_hash.hpp>
#include <LibLedger/ledger_command.hpp>

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hyssoploft::ledger {

/// At 544 bytes a record 18 MB of a node's 64 MB for control; see
/// docs/measurements/resources.md.
inline constexpr std::size_t default_max_records = 32'768;

enum class record_state : std::uint8_t
{
    begun,
    finished,
    unknown
};

struct execution_record
{
    core::digest body{};
    std::string attempt;
    std::string owner_vm;
    record_state state = record_state::begun;
    log_time deadline = 0;
    log_time expires = 0; ///< Never before the deadline.
    log_time lifetime = 0;
    std::string answer_digest;
    std::vector<std::string> holders;
};

class execution_ledger
{
public:
    explicit execution_ledger(std::size_t max_records = default_max_records)
        : max_records_(max_records)
    {}

    /// Applies an encoded command and returns the encoded result.
    std::string apply(std::string_view encoded);

    std::string snapshot() const;

    /// Replaces the state, but not the bound. On an error it stays as it was.
    absl::Status restore(std::string_view bytes);

    log_time time() const
    {
        return time_;
    }

    std::size_t size() const
    {
        return records_.size();
    }

    /// Abandoned attempts that are still refused.
    std::size_t abandoned_size() const
    {
        return abandoned_.size();
    }

    /// The record, or nullptr.
    const execution_record* find(const record_id& id) const;

private:
    /// Hash of a record_id. The identifier itself is not kept: a record has
    /// 544 bytes in place of 896.
    using record_key = core::digest;
    using attempt_id = std::pair<record_key, std::string>;

    command_result run(const begin_command& it);
    command_result run(const finish_command& it);
    command_result run(const abandon_command& it);
    command_result run(const tick_command& it);
    begin_result
    repeat(const execution_record& at, const begin_request& it) const;
    void advance(log_time to);
    void add_record(const record_key& id, execution_record it);
    void remove_record(const record_key& id);
    void add_abandoned(attempt_id id, log_time expires);

    std::size_t max_records_;
    log_time time_ = 0;                              // Never goes back.
    std::map<record_key, execution_record> records_; // At most max_records_.
    std::set<std::pair<log_time, record_key>> expiries_; // One for each record.
    // Attempts that may never be created any more: a begin can reach the log
    // after the abandon that gave up on it. At most max_records_; the one that
    // expires first is dropped, which costs a late begin a record that nobody
    // completes, but never a second run.
    std::set<attempt_id> abandoned_;
    std::set<std::pair<log_time, attempt_id>> abandoned_expiries_;
};

} // namespace hyssoploft::ledger

#endif
