// The set of withdrawn digests that gossip distributes.

#include <LibResource/withdrawal_set.hpp>

#include <LibCore/keyed_hash.hpp>
#include <LibCore/text.hpp>
#include <LibResource/validation.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::resource {

absl::Status withdrawal_set::add(const std::string& digest)
{
    if (!is_valid_digest(digest))
    {
        return absl::InvalidArgumentError(
            "a key digest must be 64 lower case hexadecimal digits");
    }
    if (digests_.size() >= max_withdrawals && !digests_.contains(digest))
    {
        return absl::ResourceExhaustedError(
            "the set of uncommitted withdrawals is full");
    }
    digests_.insert(digest);
    return absl::OkStatus();
}

std::vector<std::string>
withdrawal_set::merge(const std::vector<std::string>& digests)
{
    std::vector<std::string> added;
    for (const auto& it : digests)
    {
        if (!contains(it) && add(it).ok())
        {
            added.push_back(it);
        }
    }
    return added;
}

std::vector<std::string> withdrawal_set::uncommitted(
    const configuration& committed, std::size_t max_count) const
{
    std::vector<std::string> found;
    for (const auto& it : digests_)
    {
        if (found.size() == max_count)
        {
            break;
        }
        if (!committed.withdrawn_digests.contains(it))
        {
            found.push_back(it);
        }
    }
    return found;
}

std::size_t withdrawal_set::drop_committed(const configuration& committed)
{
    return std::erase_if(digests_, [&](const std::string& it) {
        return committed.withdrawn_digests.contains(it);
    });
}

change_batch make_withdrawal_batch(
    std::vector<std::string> digests, const std::string& author)
{
    std::sort(digests.begin(), digests.end());
    std::string joined;
    for (const auto& it : digests)
    {
        joined += it;
    }
    change_batch it;
    it.request_id =
        core::concat("withdraw-", core::to_hex(core::sha256(joined)));
    it.author = author;
    it.withdrawn_digests = std::move(digests);
    return it;
}

bool is_withdrawn(
    const configuration& committed, const withdrawal_set& received,
    const std::string& digest)
{
    return committed.withdrawn_digests.contains(digest) ||
           received.contains(digest);
}

} // namespace hyssoploft::resource
