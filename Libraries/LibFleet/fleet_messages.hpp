#ifndef HYSSOPLOFT_LIBFLEET_FLEET_MESSAGES_HPP
#define HYSSOPLOFT_LIBFLEET_FLEET_MESSAGES_HPP

// The exchange between each VM and each control VM: the VM reports itself and
// its load, the control VM answers with what changed since the last answer.

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

/// A VM as it describes itself, or as a control VM knows it.
struct vm_row
{
    std::string id;
    std::string region;
    std::string data_center;
    std::string entry_address; ///< "IP:port" for callers; empty: none.
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
    std::uint64_t incarnation = 0; ///< Unix milliseconds of its start.
    std::uint64_t sequence = 0;    ///< Of its announcements.
    std::uint8_t state = 0;        ///< membership::upstream_state
    std::uint32_t cold_ms = 0;     ///< Left when the row was sent.
    bool silent = false;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(
            id, address, role, region, data_center, version, capacity,
            incarnation, sequence, state, cold_ms, silent);
    }
};

/// An announcement that a control VM received itself a short time ago.
struct heard_row
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

/// Calls of one VM at one upstream, or of all VMs.
struct load_row
{
    std::string upstream;
    std::uint32_t running = 0;
    std::uint32_t waiting_tokens = 0; ///< Prompt tokens not read yet.

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
    std::uint64_t epoch = 0;  ///< Of the receiver's tables; 0: none yet.
    std::uint64_t cursor = 0; ///< Changes up to this one are known.
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

struct sync_answer
{
    std::uint64_t epoch = 0;  ///< Differs in each process.
    std::uint64_t cursor = 0; ///< Of the newest change.
    /// False for some time after a start: what is missing may exist.
    bool settled = false;
    bool whole = false; ///< Rows replace all earlier ones of this VM.
    std::vector<vm_row> vms;
    std::vector<upstream_row> upstreams;
    std::vector<std::string> forgotten; ///< Upstreams.
    std::vector<heard_row> heard;       ///< For control VMs only.
    std::uint64_t manifest_version = 0;
    std::string manifest; ///< Packed; empty if the receiver's is as new.
    std::uint64_t evacuation_revision = 0;
    std::set<std::string> evacuated; ///< Valid if the revision is newer.
    std::vector<load_row> loads;     ///< Sums over all VMs but the receiver.
    rate::share_grant shares;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(
            epoch, cursor, settled, whole, vms, upstreams, forgotten, heard,
            manifest_version, manifest, evacuation_revision, evacuated, loads,
            shares);
    }
};

} // namespace hyssoploft::fleet

#endif
