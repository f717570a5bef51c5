// Storage, lookup and expiry of answers.

#include <LibLedger/answer_store.hpp>

#include <LibLedger/digests.hpp>

namespace hyssoploft::ledger {

namespace {

// Tree nodes, allocator overhead of the strings and the second copy of the
// identifier, per answer.
constexpr std::size_t entry_overhead_bytes = 512;

std::size_t memory_bytes(const record_id& id, const stored_answer& answer)
{
    std::size_t n =
        entry_overhead_bytes + answer.body.size() +
        2 * (id.account.size() + id.route.size() + id.key_digest.size());
    for (const auto& [name, value] : answer.headers)
    {
        n += 2 * sizeof(std::string) + name.size() + value.size();
    }
    return n;
}

} // namespace

absl::Status answer_store::put(
    const record_id& id, stored_answer answer, core::time_point expires,
    core::time_point now)
{
    if (answer.body.size() > max_stored_answer_bytes)
    {
        return absl::InvalidArgumentError(
            "the answer body is too long to store");
    }
    expire(now);
    auto digest = digest_of_answer(answer);
    if (const auto at = answers_.find(id);
        at != answers_.end() && at->second.digest == digest)
    {
        expiries_.erase({at->second.expires, id});
        at->second.expires = std::max(at->second.expires, expires);
        expiries_.emplace(at->second.expires, id);
        return absl::OkStatus();
    }
    const auto entry_bytes = memory_bytes(id, answer);
    const auto at = answers_.find(id);
    const auto freed_bytes = at == answers_.end() ? 0 : at->second.bytes;
    if (bytes_ - freed_bytes + entry_bytes > max_bytes_)
    {
        return absl::ResourceExhaustedError("the answer store is full");
    }
    remove(id);
    bytes_ += entry_bytes;
    expiries_.emplace(expires, id);
    answers_.emplace(
        id, answer_entry{
                std::move(answer), std::move(digest), expires, entry_bytes});
    return absl::OkStatus();
}

const stored_answer* answer_store::find(
    const record_id& id, const std::string& answer_digest,
    core::time_point now) const
{
    const auto at = answers_.find(id);
    if (at == answers_.end() || at->second.expires <= now ||
        at->second.digest != answer_digest)
    {
        return nullptr;
    }
    return &at->second.answer;
}

void answer_store::expire(core::time_point now)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now)
    {
        const auto id = expiries_.begin()->second;
        remove(id);
    }
}

void answer_store::remove(const record_id& id)
{
    const auto at = answers_.find(id);
    if (at == answers_.end())
    {
        return;
    }
    bytes_ -= at->second.bytes;
    expiries_.erase({at->second.expires, id});
    answers_.erase(at);
}

} // namespace hyssoploft::ledger
