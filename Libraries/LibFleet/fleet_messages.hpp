#ifndef HYSSOPLOFT_LIBFLEET_FLEET_MESSAGES_HPP
#define HYSSOPLOFT_LIBFLEET_FLEET_MESSAGES_HPP

// Messages of the state exchange: each VM reports its state and load to each
// control VM, which replies with the changes since its previous reply.

#include <LibMembership/fleet_view.hpp>
#include <LibRate/share_messages.hpp>

#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace hyssoploft::fleet {

/// State of a VM, as reported by itself or as stored by a control VM.
struct vm_row
{
    std::string id;
    std::string region;
    std::string data_center;
    std::string entry_address; ///< "IP:port" for callers; may be empty.
    std::string relay_address;
    std::string control_address;
    std::string peer_address;
    std::uint64_t incarnation = 0;
    std::uint8_t state = 0; ///< membership::vm_state
    bool control = false;
    bool ready = false;

    bool operator==(const vm_row&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(
            id, region, data_center, entry_address, relay_address,
            control_address, peer_address, incarnation, state, control, ready);
    }
};

struct upstream_row
{
    std::string id;
    std::string address;
    std::string role;
    std::string region;
    std::string data_center;
    std::string version;
    std::uint32_t capacity = 1;
    std::uint64_t incarnation = 0; ///< Start time, Unix milliseconds.
    std::uint64_t sequence = 0;    ///< Of the announcement.
    std::uint8_t state = 0;        ///< membership::upstream_state
    std::uint32_t cold_ms = 0;     ///< Warm-up left at the time of sending.
    bool silent = false;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(
            id, address, role, region, data_center, version, capacity,
            incarnation, sequence, state, cold_ms, silent);
    }
};

/// An announcement that the sending control VM recently received directly.
struct announcement_row
{
    std::string id;
    std::uint64_t incarnation = 0;
    std::uint32_t age_ms = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(id, incarnation, age_ms);
    }
};

/// An upstream whose answer to the sending VM said that it leaves.
struct leave_row
{
    std::string upstream;
    std::uint64_t incarnation = 0;
    std::uint32_t age_ms = 0; ///< Of the answer.

    bool operator==(const leave_row&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(upstream, incarnation, age_ms);
    }
};

struct leave_notice
{
    std::vector<leave_row> rows;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(rows);
    }
};

/// Load on one upstream, caused by one VM or summed over several VMs.
struct load_row
{
    std::string upstream;
    std::uint32_t running = 0;
    std::uint32_t waiting_tokens = 0; ///< Prompt tokens not yet processed.

    bool operator==(const load_row&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(upstream, running, waiting_tokens);
    }
};

struct sync_request
{
    vm_row self;
    std::uint64_t epoch = 0;  ///< Of the control VM; 0: not yet known.
    std::uint64_t cursor = 0; ///< Newest change already received.
    std::uint64_t manifest_version = 0;
    std::uint64_t evacuation_revision = 0;
    std::vector<load_row> loads;
    rate::share_request shares;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(
            self, epoch, cursor, manifest_version, evacuation_revision, loads,
            shares);
    }
};

struct sync_reply
{
    std::uint64_t epoch = 0;  ///< Unique to the control process.
    std::uint64_t cursor = 0; ///< Number of the newest change.
    /// False for some time after a start, while the tables are incomplete: a
    /// missing row does not mean that the VM or upstream is gone.
    bool settled = false;
    bool is_snapshot = false; ///< A full snapshot, not a delta.
    std::vector<vm_row> vms;
    std::vector<upstream_row> upstreams;
    std::vector<std::string> removed_upstreams;  ///< IDs of removed upstreams.
    std::vector<announcement_row> announcements; ///< Sent to control VMs only.
    std::uint64_t manifest_version = 0;
    std::string manifest; ///< Serialized; empty if the receiver is up to date.
    std::uint64_t evacuation_revision = 0;
    /// Data centres; valid if evacuation_revision is newer than the receiver's.
    std::set<std::string> evacuated;
    std::vector<load_row> loads; ///< Sums over all VMs except the receiver.
    rate::share_grant shares;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(
            epoch, cursor, settled, is_snapshot, vms, upstreams,
            removed_upstreams, announcements, manifest_version, manifest,
            evacuation_revision, evacuated, loads, shares);
    }
};

} // namespace hyssoploft::fleet

#endif
