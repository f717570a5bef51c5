#ifndef HYSSOPLOFT_LIBMEMBERSHIP_MESSAGES_HPP
#define HYSSOPLOFT_LIBMEMBERSHIP_MESSAGES_HPP

// Messages of the membership protocol. The owner encodes them with LibWire:
// ping, ack and ping_request as datagrams, state_sync as a TCP frame.

#include <LibMembership/fleet_view.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hyssoploft::membership {

using key_digest = std::array<std::uint8_t, 32>;

/// Number of buckets into which tables are divided. Each bucket has a digest,
/// so that one change costs the transfer of one bucket.
inline constexpr std::size_t bucket_count = 16;

/// Update of a VM's record. Without addresses (`region` empty) it carries only
/// the state.
struct member_update
{
    std::string id;
    std::uint64_t incarnation = 0;
    vm_state state = vm_state::alive;
    std::string region;
    std::string data_center;
    std::string http_address;
    std::string peer_address;
    std::uint64_t config_version = 0;
    bool overloaded = false;
    bool control = false;
    bool isolated = false;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(id, incarnation, state, region, data_center, http_address,
           peer_address, config_version, overloaded, control, isolated);
    }
};

/// Update of an upstream's record. Without an address it carries only the
/// state.
struct upstream_update
{
    std::string id;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// Sequence of the announcement that last changed the description, that is
    /// the fields from `address` on.
    std::uint64_t description_sequence = 0;
    upstream_state state = upstream_state::serving;
    std::string address;
    std::string role;
    std::string region;
    std::string data_center;
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    std::string version;
    std::uint32_t capacity = 1;
    std::uint8_t capabilities = 0; ///< Bits of capability_bits().

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(id, incarnation, sequence, description_sequence, state, address,
           role, region, data_center, models, adapters, version, capacity,
           capabilities);
    }
};

/// Lease renewals of one bucket: one byte for each upstream of the bucket in
/// the order of identifiers. Only a VM with the same digest can apply it.
struct bucket_renewals
{
    std::uint8_t bucket = 0;
    std::array<std::uint8_t, 4> digest{};
    std::string renewals;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(bucket, digest, renewals);
    }
};

/// Load of one region's upstreams in a bucket, `load_bytes` each, in the order
/// of identifiers.
struct bucket_loads
{
    std::uint8_t bucket = 0;
    std::array<std::uint8_t, 4> digest{};
    std::string loads;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(bucket, digest, loads);
    }
};

struct summary_update
{
    std::string region;
    std::uint32_t age_ms = 0;
    std::uint32_t upstreams = 0;
    std::uint64_t capacity = 0;
    std::uint64_t running = 0;
    std::uint64_t queued = 0;
    std::uint64_t tokens_per_second = 0;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(region, age_ms, upstreams, capacity, running, queued,
           tokens_per_second);
    }
};

/// Updates piggybacked on probes.
struct piggyback
{
    std::vector<member_update> members;
    std::vector<upstream_update> upstreams;
    std::vector<key_digest> withdrawn;
    std::vector<bucket_renewals> renewals;
    std::vector<bucket_loads> loads;
    std::vector<summary_update> summaries;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(members, upstreams, withdrawn, renewals, loads, summaries);
    }
};

/// Expects an ack with the same probe number; with number 0 it only carries
/// updates.
struct ping
{
    std::uint64_t probe_number = 0;
    std::string target; ///< Empty for a seed, whose identifier is unknown.
    member_update self;
    piggyback updates;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(probe_number, target, self, updates);
    }
};

struct ack
{
    std::uint64_t probe_number = 0;
    member_update self;
    /// In the answer to a ping_request the record of the VM that was probed,
    /// else empty.
    std::vector<member_update> probed_member;
    piggyback updates;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(probe_number, self, probed_member, updates);
    }
};

struct ping_request
{
    std::uint64_t probe_number = 0;
    std::string target;
    std::string target_address;
    member_update self;
    /// The requester's record of a suspect or dead target, so that the target
    /// can refute it; at most one.
    std::vector<member_update> target_update;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(probe_number, target, target_address, self, target_update);
    }
};

/// Short form of a table entry, to find out which records differ.
struct table_row
{
    std::uint64_t id_hash = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;             ///< Upstreams only.
    std::uint64_t description_sequence = 0; ///< Upstreams only.
    std::uint8_t state = 0;                 ///< vm_state or upstream_state.

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(id_hash, incarnation, sequence, description_sequence, state);
    }
};

enum class sync_stage : std::uint8_t
{
    digests, ///< Starts an exchange.
    rows,    ///< Rows of the buckets that differ.
    records, ///< Records that the peer lacks, and the rows wanted from it.
    last     ///< The wanted records; ends the exchange.
};

inline constexpr core::enum_table<sync_stage, 4> sync_stage_names{
    {{sync_stage::digests, "digests"},
     {sync_stage::rows, "rows"},
     {sync_stage::records, "records"},
     {sync_stage::last, "last"}}};

using bucket_digests = std::array<std::uint64_t, bucket_count>;

/// Push-pull exchange of the tables. VMs with equal tables exchange only
/// digests.
struct state_sync
{
    sync_stage stage = sync_stage::digests;
    member_update self;
    bucket_digests member_digests{};
    bucket_digests upstream_digests{};
    std::uint64_t withdrawn_digest = 0;
    std::uint16_t member_buckets = 0;   ///< Bit set: its rows are included.
    std::uint16_t upstream_buckets = 0; ///< Likewise.
    std::vector<table_row> member_rows;
    std::vector<table_row> upstream_rows;
    std::vector<std::uint64_t> wanted_members; ///< Hashes of identifiers.
    std::vector<std::uint64_t> wanted_upstreams;
    std::vector<member_update> members;
    std::vector<upstream_update> upstreams;
    std::vector<key_digest> withdrawn;
    std::vector<summary_update> summaries;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(stage, self, member_digests, upstream_digests, withdrawn_digest,
           member_buckets, upstream_buckets, member_rows, upstream_rows,
           wanted_members, wanted_upstreams, members, upstreams, withdrawn,
           summaries);
    }
};

using message = std::variant<ping, ack, ping_request, state_sync>;

/// Checks what the decoder does not: unknown enumerators, empty or overlong
/// identifiers, too many elements. An invalid message must be dropped.
bool is_valid(const message& it);

std::uint8_t capability_bits(const upstream_capabilities& it);
upstream_capabilities capabilities_from_bits(std::uint8_t bits);

/// Size in bytes of LibWire's encoding.
std::size_t encoded_size(const member_update& it);
std::size_t encoded_size(const upstream_update& it);
std::size_t encoded_size(const summary_update& it);

} // namespace hyssoploft::membership

#endif
