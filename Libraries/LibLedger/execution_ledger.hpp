#ifndef HYSSOPLOFT_LIBLEDGER_EXECUTION_LEDGER_HPP
#define HYSSOPLOFT_LIBLEDGER_EXECUTION_LEDGER_HPP

// Deterministic state machine that ensures that a call runs at most once. It
// applies the commands of the replicated log on control VMs. Its time is the
// log time of the commands; it reads no clock. Not thread safe.
//
// Invariant: for one record identifier, until its record expires, no two
// attempts get the outcome `created` unless the owner VM of the first one has
// abandoned it.

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

/// 18 MB at 544 bytes per record, out of 64 MB for control on each node; see
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
    core::digest call_digest{};
    std::string attempt;
    std::string owner_vm;
    record_state state = record_state::begun;
    log_time deadline = 0;
    log_time expires = 0; ///< Not before the deadline.
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

    /// Replaces the state except the bound on records. Unchanged on an error.
    absl::Status restore(std::string_view bytes);

    log_time time() const
    {
        return time_;
    }

    std::size_t size() const
    {
        return records_.size();
    }

    /// Number of abandoned attempts whose begin is still rejected.
    std::size_t abandoned_size() const
    {
        return abandoned_.size();
    }

    /// The record, or nullptr.
    const execution_record* find(const record_id& id) const;

private:
    /// Hash of a record_id. Storing it in place of the identifier reduces a
    /// record from 896 to 544 bytes.
    using record_key = core::digest;
    using attempt_id = std::pair<record_key, std::string>;

    command_result execute(const begin_command& it);
    command_result execute(const finish_command& it);
    command_result execute(const abandon_command& it);
    command_result execute(const tick_command& it);
    begin_result repeat_result(
        const execution_record& record, const begin_request& it) const;
    void advance_time(log_time now);
    void add_record(const record_key& key, execution_record it);
    void remove_record(const record_key& key);
    void add_abandoned(attempt_id id, log_time expires);

    std::size_t max_records_;
    log_time time_ = 0;                              // Never decreases.
    std::map<record_key, execution_record> records_; // At most max_records_.
    std::set<std::pair<log_time, record_key>> expiries_; // One per record.
    // Attempts that must not be created: a begin can reach the log after the
    // abandon of the same attempt. At most max_records_; above that the one
    // that expires first is dropped. A late begin of a dropped one creates a
    // record that is never completed, but never causes a second run.
    std::set<attempt_id> abandoned_;
    std::set<std::pair<log_time, attempt_id>> abandoned_expiries_;
};

} // namespace hyssoploft::ledger

#endif
