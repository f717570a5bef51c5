#ifndef HYSSOPLOFT_LIBMEMBERSHIP_UPSTREAM_REGISTRY_HPP
#define HYSSOPLOFT_LIBMEMBERSHIP_UPSTREAM_REGISTRY_HPP

// Registry of the upstreams known to this VM and of their leases.
//
// 600 upstreams that renew every 2 s cause 300 renewals a second, too many to
// gossip one by one within 11 KB/s. Live upstreams are therefore grouped in
// buckets, ordered by identifier, and a VM sends one byte for each: its latest
// sequence modulo 255. A receiver whose bucket has the same digest maps each
// byte to its upstream.

#include <LibCore/time.hpp>
#include <LibMembership/broadcast_queue.hpp>
#include <LibMembership/messages.hpp>

#include <absl/status/status.h>

#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssoploft::membership {

class upstream_registry
{
public:
    static constexpr std::size_t max_upstreams = 4096;
    static constexpr core::duration lease_duration = std::chrono::seconds(6);
    /// Time for which expired upstreams are kept, so that outdated updates
    /// don't bring them back.
    static constexpr core::duration tombstone_retention =
        std::chrono::minutes(10);
    /// Time for which expired upstreams stay in their bucket. If a lease that
    /// expired on one VM alone changed the digest at once, that VM would reject
    /// the renewals of the whole bucket.
    static constexpr core::duration bucket_retention = std::chrono::seconds(30);
    /// A renewal byte that is further ahead than this is ignored, because
    /// sequences are sent modulo 255.
    static constexpr std::uint64_t max_renewal_gap = 32;

    explicit upstream_registry(std::string region);

    /// Applies an announcement by the upstream itself. FAILED_PRECONDITION if
    /// its incarnation has left or a newer one is known, ALREADY_EXISTS if this
    /// sequence or a newer one is known, RESOURCE_EXHAUSTED if the registry
    /// is full, INVALID_ARGUMENT on a field that is missing or too long.
    absl::Status announce(const upstream_record& it, core::time_point now);

    /// Marks an incarnation as leaving. This is final, also if its announcement
    /// has not arrived here yet. NOT_FOUND if a later incarnation is known,
    /// RESOURCE_EXHAUSTED if the registry is full.
    absl::Status leave(
        const std::string& id, std::uint64_t incarnation, core::time_point now);

    /// NOT_FOUND if the upstream isn't known.
    absl::Status report_load(
        const std::string& id, const load_report& load, core::time_point now);

    /// Merges an update from a peer. True if the set of upstreams or a
    /// description changed.
    bool apply(const upstream_update& it, core::time_point now);

    /// Extends a lease if a peer's row has a newer sequence.
    void apply_row(const table_row& it, core::time_point now);

    /// Expires leases and removes old entries. True if a lease expired.
    bool tick(core::time_point now);

    /// Renewals of one bucket, to send to a peer.
    bucket_renewals renewals_of(std::size_t bucket);
    /// False if the peer's bucket has other upstreams or descriptions.
    bool apply_renewals(const bucket_renewals& it, core::time_point now);

    /// Loads of this VM's region in one bucket; empty if there are none.
    bucket_loads loads_of(std::size_t bucket, core::time_point now);
    /// For peers of the same region only. True if a load is new.
    bool apply_loads(const bucket_loads& it, core::time_point now);

    /// Aggregate load of this VM's region.
    summary_update own_region_summary() const;

    bucket_digests digests();
    void append_rows(std::size_t bucket, std::vector<table_row>& out) const;

    struct entry
    {
        upstream_record record;
        std::uint64_t id_hash = 0;
        std::uint64_t description_sequence = 0;
        core::time_point lease_until{};
        core::time_point ended_at{};      // Valid while the lease is expired.
        core::time_point load_measured{}; // Zero without a load report.
        bool has_left = false;
        bool in_bucket = true; // Listed in its bucket.
    };

    const entry* find(const std::string& id) const;

    const std::map<std::string, entry>& entries() const
    {
        return entries_;
    }

    upstream_update update_of(const entry& it, bool state_only) const;

    /// Counts the changes: an upstream appears, expires, leaves or changes its
    /// description.
    std::uint64_t changes() const
    {
        return changes_;
    }

    broadcast_queue<std::string>& queue()
    {
        return queue_;
    }

private:
    struct live_bucket
    {
        std::vector<entry*> members; // Ordered by identifier.
        std::uint64_t digest = 0;
        bool stale = true; // The fields above must be recomputed.
    };

    entry* add(const std::string& id);
    live_bucket& refresh_bucket(std::size_t n);
    void mark_bucket_stale(const entry& it);
    void extend_lease(entry& it, std::uint64_t sequence, core::time_point now);
    void set_description(entry& it, const upstream_update& update);

    std::string region_;
    std::map<std::string, entry> entries_; // At most max_upstreams.
    std::array<live_bucket, bucket_count> buckets_;
    std::uint64_t changes_ = 0;
    broadcast_queue<std::string> queue_;
};

} // namespace hyssoploft::membership

#endif
