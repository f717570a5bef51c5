// Membership changes, their encoding and the membership history.

#include <LibConsensus/membership.hpp>

#include <LibCore/text.hpp>

#include <cereal/archives/portable_binary.hpp>

#include <algorithm>
#include <sstream>

namespace hyssoploft::consensus {

namespace {

bool contains(const std::vector<replica_id>& ids, replica_id id)
{
    return std::binary_search(ids.begin(), ids.end(), id);
}

void insert(std::vector<replica_id>& ids, replica_id id)
{
    ids.insert(std::lower_bound(ids.begin(), ids.end(), id), id);
}

} // namespace

bool membership::is_voter(replica_id id) const
{
    return contains(voters, id);
}

bool membership::is_learner(replica_id id) const
{
    return contains(learners, id);
}

absl::StatusOr<membership>
membership::with(const membership_change& change) const
{
    membership next = *this;
    const bool known = is_voter(change.replica) || is_learner(change.replica);
    switch (change.kind)
    {
    case membership_change_kind::add_learner:
        if (change.replica == 0 || known)
        {
            return absl::InvalidArgumentError(
                "the replica identifier is 0 or already a member");
        }
        if (voters.size() + learners.size() >= max_replicas)
        {
            return absl::InvalidArgumentError(
                "the cluster has the maximum number of replicas");
        }
        insert(next.learners, change.replica);
        return next;
    case membership_change_kind::promote:
        if (!is_learner(change.replica))
        {
            return absl::InvalidArgumentError("the replica is not a learner");
        }
        std::erase(next.learners, change.replica);
        insert(next.voters, change.replica);
        return next;
    case membership_change_kind::remove:
        if (!known)
        {
            return absl::InvalidArgumentError("the replica is not a member");
        }
        std::erase(next.learners, change.replica);
        std::erase(next.voters, change.replica);
        if (next.voters.empty())
        {
            return absl::InvalidArgumentError(
                "the last voter can't be removed");
        }
        return next;
    }
    return absl::InvalidArgumentError("unknown kind of membership change");
}

std::string encode(const membership& it)
{
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive ar(out);
    ar(it);
    return out.str();
}

absl::StatusOr<membership> decode_membership(const std::string& bytes)
{
    try
    {
        std::istringstream in(bytes);
        cereal::PortableBinaryInputArchive ar(in);
        membership it;
        ar(it);
        return it;
    }
    catch (const std::exception& error)
    {
        return absl::DataLossError(
            core::concat("can't decode membership entry: ", error.what()));
    }
}

void membership_history::reset(std::uint64_t index, membership it)
{
    items_.assign(1, {index, std::move(it)});
}

void membership_history::append(std::uint64_t index, membership it)
{
    items_.emplace_back(index, std::move(it));
}

void membership_history::truncate(std::uint64_t index)
{
    while (items_.size() > 1 && items_.back().first >= index)
    {
        items_.pop_back();
    }
}

void membership_history::compact(std::uint64_t index)
{
    while (items_.size() > 1 && items_[1].first <= index)
    {
        items_.erase(items_.begin());
    }
}

const membership& membership_history::at(std::uint64_t index) const
{
    std::size_t n = items_.size() - 1;
    while (n > 0 && items_[n].first > index)
    {
        --n;
    }
    return items_[n].second;
}

} // namespace hyssoploft::consensus
