#ifndef HYSSOPLOFT_LIBCONSENSUS_MESSAGES_HPP
#define HYSSOPLOFT_LIBCONSENSUS_MESSAGES_HPP

// Messages between replicas. The transport may lose, duplicate, reorder and
// delay them. It must authenticate the sender as a member of the fleet.

#include <LibConsensus/membership.hpp>

#include <cereal/types/variant.hpp>

#include <variant>

namespace hyssoploft::consensus {

struct vote_request
{
    std::uint64_t term = 0; ///< For a pre-vote: the current term plus one.
    log_position last;      ///< Last entry of the candidate.
    bool pre_vote = false;
    bool transfer = false; ///< Part of a leadership transfer.
};

template <typename Archive>
void serialize(Archive& ar, vote_request& it)
{
    ar(it.term, it.last, it.pre_vote, it.transfer);
}

struct vote_response
{
    std::uint64_t term = 0; ///< The request's if granted, else the voter's.
    bool pre_vote = false;
    bool granted = false;
};

template <typename Archive>
void serialize(Archive& ar, vote_response& it)
{
    ar(it.term, it.pre_vote, it.granted);
}

struct append_request
{
    std::uint64_t term = 0;
    log_position previous; ///< Entry before `entries`.
    std::uint64_t commit_index = 0;
    std::uint64_t read_round = 0; ///< Latest round of read-index checks.
    std::vector<log_entry> entries;
    /// The initial voters of the cluster, if `previous` is index 0. Replicas
    /// that were not bootstrapped with them adopt them from here.
    membership initial_members = {};
};

template <typename Archive>
void serialize(Archive& ar, append_request& it)
{
    ar(it.term, it.previous, it.commit_index, it.read_round, it.entries,
       it.initial_members);
}

struct append_response
{
    std::uint64_t term = 0;
    bool accepted = false;
    std::uint64_t matched_index = 0;  ///< If accepted: logs match up to here.
    std::uint64_t durable_index = 0;  ///< If accepted: matching and synced.
    std::uint64_t previous_index = 0; ///< previous.index of the request.
    log_position hint; ///< If rejected: last position that may match.
    std::uint64_t read_round = 0;
};

template <typename Archive>
void serialize(Archive& ar, append_response& it)
{
    ar(it.term, it.accepted, it.matched_index, it.durable_index,
       it.previous_index, it.hint, it.read_round);
}

struct snapshot_part
{
    std::uint64_t term = 0;
    log_position last; ///< Last entry that the snapshot covers.
    membership members;
    std::uint64_t read_round = 0;
    std::uint64_t total_bytes = 0;
    std::uint64_t offset = 0;
    std::string bytes;
};

template <typename Archive>
void serialize(Archive& ar, snapshot_part& it)
{
    ar(it.term, it.last, it.members, it.read_round, it.total_bytes, it.offset,
       it.bytes);
}

struct snapshot_response
{
    std::uint64_t term = 0;
    log_position last;
    std::uint64_t next_offset = 0; ///< Number of bytes received so far.
    std::uint64_t read_round = 0;
};

template <typename Archive>
void serialize(Archive& ar, snapshot_response& it)
{
    ar(it.term, it.last, it.next_offset, it.read_round);
}

/// Tells the target of a leadership transfer to start an election.
struct transfer_request
{
    std::uint64_t term = 0;
};

template <typename Archive>
void serialize(Archive& ar, transfer_request& it)
{
    ar(it.term);
}

using message_body = std::variant<
    vote_request, vote_response, append_request, append_response, snapshot_part,
    snapshot_response, transfer_request>;

struct message
{
    replica_id from = 0;
    replica_id to = 0;
    message_body body;
};

template <typename Archive>
void serialize(Archive& ar, message& it)
{
    ar(it.from, it.to, it.body);
}

/// The sender's current term, or the term that it proposes.
inline std::uint64_t term_of(const message_body& body)
{
    return std::visit(
        [](const auto& it) {
            return it.term;
        },
        body);
}

} // namespace hyssoploft::consensus

#endif
