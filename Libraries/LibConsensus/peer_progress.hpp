#ifndef HYSSOPLOFT_LIBCONSENSUS_PEER_PROGRESS_HPP
#define HYSSOPLOFT_LIBCONSENSUS_PEER_PROGRESS_HPP

// Replication state that the leader keeps for each other member.

#include <LibConsensus/log_storage.hpp>

#include <LibCore/time.hpp>

#include <deque>

namespace hyssoploft::consensus {

enum class peer_mode : std::uint8_t
{
    probe,    ///< Searches the last matching entry, one request at a time.
    pipeline, ///< Sends without waiting, up to the limit in flight.
    snapshot  ///< Sends a snapshot in parts.
};

inline constexpr core::enum_table<peer_mode, 3> peer_mode_names{
    {{peer_mode::probe, "probe"},
     {peer_mode::pipeline, "pipeline"},
     {peer_mode::snapshot, "snapshot"}}};

struct peer_progress
{
    struct sent_batch
    {
        std::uint64_t last_index = 0;
        std::size_t bytes = 0;
    };

    peer_mode mode = peer_mode::probe;
    std::uint64_t next_index = 1;    // First entry to send.
    std::uint64_t durable_index = 0; // Matching and synced; never decreases.
    std::uint64_t read_round = 0;    // Latest round confirmed by the peer.
    core::time_point last_contact;   // Last response in this term.

    bool probe_sent = false;
    std::deque<sent_batch> in_flight; // Ascending by index.
    std::size_t in_flight_bytes = 0;  // Sum over `in_flight`.

    snapshot sent_snapshot;            // In mode snapshot.
    std::uint64_t snapshot_offset = 0; // Of the next part, in bytes.
    core::time_point last_part_sent_at;

    void start_probe(std::uint64_t next)
    {
        mode = peer_mode::probe;
        next_index = next;
        probe_sent = false;
        in_flight.clear();
        in_flight_bytes = 0;
        sent_snapshot = {};
    }

    /// Raises durable_index and removes the batches that it covers from the
    /// bytes in flight.
    void advance_durable_index(std::uint64_t index)
    {
        durable_index = std::max(durable_index, index);
        while (!in_flight.empty() &&
               in_flight.front().last_index <= durable_index)
        {
            in_flight_bytes -= in_flight.front().bytes;
            in_flight.pop_front();
        }
    }
};

} // namespace hyssoploft::consensus

#endif
