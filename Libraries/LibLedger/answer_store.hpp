#ifndef HYSSOPLOFT_LIBLEDGER_ANSWER_STORE_HPP
#define HYSSOPLOFT_LIBLEDGER_ANSWER_STORE_HPP

// In-memory store of answers of at-most-once calls, returned to repeated calls.
// Each answer is stored on two VMs of the region that it may be stored in.
// Bounded in bytes. Not thread safe.

#include <LibCore/time.hpp>
#include <LibLedger/ledger_client.hpp>

#include <absl/status/status.h>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace hyssoploft::ledger {

inline constexpr std::size_t default_max_answer_bytes =
    std::size_t{16} * 1024 * 1024;

class answer_store
{
public:
    explicit answer_store(std::size_t max_bytes = default_max_answer_bytes)
        : max_bytes_(max_bytes)
    {}

    /// Stores the answer until `expires`. INVALID_ARGUMENT if its body is
    /// longer than max_stored_answer_bytes. RESOURCE_EXHAUSTED if the store is
    /// full: ledger records refer to the stored answers, so none is evicted;
    /// the record of the new answer then states that it was not stored.
    absl::Status
    put(const record_id& id, stored_answer answer, core::time_point expires,
        core::time_point now);

    /// The answer if it is stored and has this digest, else nullptr. The
    /// pointer is valid until the next non-const call.
    const stored_answer* find(
        const record_id& id, const std::string& answer_digest,
        core::time_point now) const;

    /// Removes the expired answers.
    void expire(core::time_point now);

    std::size_t bytes() const
    {
        return bytes_;
    }

    std::size_t size() const
    {
        return answers_.size();
    }

private:
    struct answer_entry
    {
        stored_answer answer;
        std::string digest;
        core::time_point expires;
        std::size_t bytes = 0;
    };

    void remove(const record_id& id);

    std::size_t max_bytes_;
    std::size_t bytes_ = 0; // Sum over answers_; at most max_bytes_.
    std::map<record_id, answer_entry> answers_;
    std::set<std::pair<core::time_point, record_id>> expiries_;
};

} // namespace hyssoploft::ledger

#endif
