#ifndef HYSSOPLOFT_LIBCONSENSUS_MESSAGES_HPP
#define HYSSOPLOFT_LIBCONSENSUS_MESSAGES_HPP

// Messages between replicas. Delivery may lose, repeat, reorder and delay
// them. The receiver must have checked that the sender belongs to the fleet.

#include <LibConsensus/membership.hpp>

#include <cereal/types/variant.hpp>

#include <variant>

namespace hyssoploft::consensus {

struct vote_request
{
    std::uint64_t term = 0; ///< For a pre-vote the term that would follow.
    log_position last;      ///< Last entry of the candidate.
    bool pre_vote = false;
    bool transfer = false; ///< The leader asked for this election.
};

template <typename Archive>
void serialize(Archive& ar, vote_request& it)
{
    ar(it.term, it.last, it.pre_vote, it.transfer);
}

struct vote_response
{
    std::uint64_t term = 0; ///< Of the request if granted, else the voter's.
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
    std::uint64_t read_round = 0; ///< Latest round of reads to confirm.
    std::vector<log_entry> entries;
    /// The declared voters of the cluster, if `previous` is index 0: a replica
    /// that was not given the declaration itself learns it so.
    membership founding = {};
};

template <typename Archive>
void serialize(Archive& ar, append_request& it)
{
    ar(it.term, it.previous, it.commit_index, it.read_round, it.entries,
       it.founding);
}

struct append_response
{
    std::uint64_t term = 0;
    bool accepted = false;
    std::uint64_t matched_index = 0;  ///< If accepted: equal up to here.
    std::uint64_t durable_index = 0;  ///< If accepted: equal and synced.
    std::uint64_t previous_index = 0; ///< Of the request.
    log_position hint; ///< If rejected: where the logs may match.
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
    std::uint64_t next_offset = 0; ///< First byte that the receiver lacks.
    std::uint64_t read_round = 0;
};

template <typename Archive>
void serialize(Archive& ar, snapshot_response& it)
{
    ar(it.term, it.last, it.next_offset, it.read_round);
}

/// The receiver starts an election at once.
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

/// The term that the sender of the message has reached or proposes.
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
