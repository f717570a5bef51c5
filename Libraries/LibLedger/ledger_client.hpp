#ifndef HYSSOPLOFT_LIBLEDGER_LEDGER_CLIENT_HPP
#define HYSSOPLOFT_LIBLEDGER_LEDGER_CLIENT_HPP

// Interface that the gateway uses to run a call at most once. Completion
// handlers run on a thread of the implementation; callers must post back to
// their own.

#include <LibCore/enum_table.hpp>
#include <LibCore/time.hpp>

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace hyssoploft::ledger {

/// Identifies a call; equal for all repeats with the same key.
struct record_id
{
    std::string account;
    std::string route;
    std::string key_digest; ///< SHA-256 of the Idempotency-Key, hexadecimal.

    bool operator<(const record_id& other) const
    {
        return std::tie(account, route, key_digest) <
               std::tie(other.account, other.route, other.key_digest);
    }
    bool operator==(const record_id&) const = default;
};

struct begin_request
{
    record_id id;
    std::string body_digest; ///< SHA-256 of method, path and body.
    std::string attempt;     ///< Unique per attempt across all VMs.
    std::string owner_vm;
    std::string region; ///< The answer may be stored only here.
    core::duration deadline{};
    core::duration record_lifetime{};
};

enum class begin_outcome : std::uint8_t
{
    created,       ///< This attempt, and no other, may send the call.
    in_progress,   ///< Another attempt is running; retry later.
    finished,      ///< The answer is stored; fetch it from the holders.
    unknown,       ///< An attempt began; its result is not known.
    body_mismatch, ///< The key was used with another body.
    ledger_full
};

inline constexpr core::enum_table<begin_outcome, 6> begin_outcome_names{
    {{begin_outcome::created, "created"},
     {begin_outcome::in_progress, "in_progress"},
     {begin_outcome::finished, "finished"},
     {begin_outcome::unknown, "unknown"},
     {begin_outcome::body_mismatch, "body_mismatch"},
     {begin_outcome::ledger_full, "ledger_full"}}};

struct begin_result
{
    begin_outcome outcome = begin_outcome::unknown;
    std::string answer_digest;        ///< If finished.
    std::vector<std::string> holders; ///< VMs that hold the answer.
};

struct stored_answer
{
    std::uint32_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body; ///< At most max_stored_answer_bytes.
};

inline constexpr std::size_t max_stored_answer_bytes = std::size_t{768} * 1024;

class ledger_client
{
public:
    virtual ~ledger_client() = default;

    using begin_handler = std::function<void(absl::Status, begin_result)>;
    using done_handler = std::function<void(absl::Status)>;
    using answer_handler = std::function<void(absl::Status, stored_answer)>;

    /// Commits the record on a quorum. UNAVAILABLE without a quorum,
    /// DEADLINE_EXCEEDED if it may or may not be committed. In both cases the
    /// caller must not send the call and must call abandon().
    virtual void begin(const begin_request& request, begin_handler done) = 0;

    /// Stores the answer in the region, then commits its digest.
    virtual void finish(
        const begin_request& request, const stored_answer& answer,
        done_handler done) = 0;

    /// Records that the call will never be sent. Retried until committed.
    virtual void abandon(const begin_request& request) = 0;

    /// Fetches a stored answer. NOT_FOUND if no holder has it.
    virtual void fetch_answer(
        const record_id& id, const begin_result& record,
        answer_handler done) = 0;
};

} // namespace hyssoploft::ledger

#endif
