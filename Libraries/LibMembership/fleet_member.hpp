#ifndef HYSSOPLOFT_LIBMEMBERSHIP_FLEET_MEMBER_HPP
#define HYSSOPLOFT_LIBMEMBERSHIP_FLEET_MEMBER_HPP

// Membership protocol of this VM: connects failure detector, upstream registry
// and withdrawals with the messages of peers. It does no I/O: the owner
// supplies time, messages and random numbers.
//
// The owner calls tick() at least every 100 ms, passes in authenticated
// messages, and after each call sends take_outgoing() and handles
// take_events().

#include <LibMembership/failure_detector.hpp>
#include <LibMembership/upstream_registry.hpp>
#include <LibMembership/withdrawal_set.hpp>

#include <absl/status/statusor.h>

#include <memory>
#include <string>
#include <vector>

namespace hyssoploft::membership {

struct member_options
{
    /// Identifier, region, data centre and addresses are required. The
    /// incarnation must be higher at each start, for example the start time.
    vm_record self;
    std::vector<std::string> seeds; ///< Peer addresses to join through.
    detector_timing timing;
    /// Bytes of a datagram's payload: 1,200 less frame header, HMAC (44
    /// bytes) and the longest sender identifier (64 bytes).
    std::size_t datagram_payload = 1092;
    core::duration gossip_period = std::chrono::seconds(1);
    core::duration sync_period = std::chrono::seconds(10);
    core::duration min_sync_gap = std::chrono::seconds(2);
    /// True for a withdrawn key that the installed configuration contains.
    std::function<bool(const key_digest&)> is_committed;
};

/// A state_sync goes over TCP, every other message is a datagram.
struct outgoing_message
{
    std::string to; ///< Empty for a seed.
    std::string address;
    message body;
};

/// `vm` has a newer configuration, which can be fetched from `address`.
struct config_newer
{
    std::string vm;
    std::string address;
    std::uint64_t config_version = 0;
};

/// A peer reported a withdrawn key, which must be refused from now on.
struct key_withdrawn
{
    key_digest digest{};
};

using member_event = std::variant<config_newer, key_withdrawn>;

struct member_counters
{
    std::uint64_t invalid_messages = 0;
    std::uint64_t syncs_started = 0;
    std::uint64_t syncs_without_changes = 0; ///< Digests were equal.
    std::uint64_t withdrawals_rejected = 0;  ///< The set was full.
};

class fleet_member
{
public:
    /// INVALID_ARGUMENT on a missing or overlong field.
    static absl::StatusOr<std::unique_ptr<fleet_member>>
    create(member_options options, core::random_source& random);

    void tick(core::time_point now);

    /// `sender` is the authenticated sender of the frame. Messages that are
    /// invalid or name another sender are dropped and counted.
    void on_message(
        const std::string& sender, const message& it, core::time_point now);

    std::vector<outgoing_message> take_outgoing();
    std::vector<member_event> take_events();

    /// Errors as upstream_registry.
    absl::Status announce(const upstream_record& it, core::time_point now);
    absl::Status leave(
        const std::string& id, std::uint64_t incarnation, core::time_point now);
    absl::Status report_load(
        const std::string& id, const load_report& load, core::time_point now);

    /// Adds a withdrawal accepted by this VM. RESOURCE_EXHAUSTED if too many
    /// are not yet committed to the log.
    absl::Status withdraw(const key_digest& it);

    /// Sets the version of the installed configuration and drops the
    /// withdrawals that it contains.
    void set_config_version(std::uint64_t version);

    void set_overloaded(bool overloaded);

    /// Announces that this VM takes no new work and will stop.
    void begin_leaving();

    /// The current view; the same object as before if nothing changed. Changes
    /// are published within 200 ms, loads within 500 ms.
    std::shared_ptr<const fleet_view> publish(core::time_point now);

    bool isolated() const
    {
        return isolated_;
    }

    const member_table& table() const
    {
        return detector_.table();
    }

    const upstream_registry& upstreams() const
    {
        return upstreams_;
    }

    const withdrawal_set& withdrawals() const
    {
        return withdrawals_;
    }

    const member_counters& counters() const
    {
        return counters_;
    }

private:
    fleet_member(member_options options, core::random_source& random);

    void handle(const ping& it, core::time_point now);
    void handle(const ack& it, core::time_point now);
    void handle(const ping_request& it, core::time_point now);
    void handle(const state_sync& it, core::time_point now);

    void send_probe(const probe_action& it, core::time_point now);
    void send_gossip(core::time_point now);
    void send(const std::string& to, const std::string& address, message body);
    void record_sender(const member_update& sender, core::time_point now);
    void update_isolation(core::time_point now);

    // Updates piggybacked on probes (fleet_member_piggyback.cpp).
    void fill_piggyback(
        piggyback& out, std::size_t used, const std::string& to,
        core::time_point now);
    void append_disputed_state(
        std::vector<member_update>& out, const std::string& member_id) const;
    void apply_piggyback(
        const piggyback& it, const member_update& sender, core::time_point now);
    void add_withdrawal(const key_digest& it);
    std::vector<summary_update>
    summaries(const std::string& for_region, core::time_point now) const;
    void apply_summary(const summary_update& it, core::time_point now);

    // Push-pull exchange (fleet_member_sync.cpp).
    void start_sync(const member& peer, core::time_point now);
    void sync_periodically(core::time_point now);
    state_sync make_sync(sync_stage stage, core::time_point now);
    void answer_digests(const state_sync& it, core::time_point now);
    void answer_rows(const state_sync& it, core::time_point now);
    void answer_records(const state_sync& it, core::time_point now);
    void apply_records(const state_sync& it, core::time_point now);
    void on_sync_complete(const member_update& peer);

    member_options options_;
    core::random_source& random_;
    failure_detector detector_;
    upstream_registry upstreams_;
    withdrawal_set withdrawals_;
    std::map<std::string, region_summary> regions_; // At most max_regions.
    std::vector<outgoing_message> outgoing_;        // Bounded by the input.
    std::vector<member_event> events_;              // Likewise.
    member_counters counters_;
    core::time_point next_gossip_{};
    core::time_point next_sync_{};
    core::time_point last_sync_{};
    core::time_point last_config_event_{};
    std::uint64_t last_config_event_version_ = 0;
    std::size_t next_renewal_bucket_ = 0; // Sent first in the next message.
    std::size_t next_load_bucket_ = 0;    // Likewise.
    bool isolated_ = false;
    bool sync_requested_ = false; // Once a region peer is heard.
    std::shared_ptr<const fleet_view> view_;
    core::time_point view_built_{};
    std::uint64_t view_changes_ = UINT64_MAX; // Sum of the tables' counts.
    bool loads_changed_ = false;
};

} // namespace hyssoploft::membership

#endif
