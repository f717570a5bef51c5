#ifndef HYSSOPLOFT_LIBMEMBERSHIP_FAILURE_DETECTOR_HPP
#define HYSSOPLOFT_LIBMEMBERSHIP_FAILURE_DETECTOR_HPP

// SWIM failure detector with suspicion. Each VM also sends direct confirmation
// probes to a suspect before it declares the suspect dead, so that packet loss
// alone does not cause a false positive.

#include <LibMembership/member_table.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssoploft::membership {

struct detector_timing
{
    core::duration probe_period = std::chrono::seconds(1);
    core::duration probe_timeout = std::chrono::milliseconds(200);
    core::duration suspicion_timeout = std::chrono::seconds(3);
    /// At 20% packet loss, all ten confirmation probes of a suspicion go
    /// unanswered once in 27,000 suspicions; refutations by gossip lower this
    /// further.
    core::duration confirm_period = std::chrono::milliseconds(300);
    /// Interval of pings to dead VMs and absent seeds, by which the sides of a
    /// healed partition find each other.
    core::duration rejoin_period = std::chrono::seconds(2);
    core::duration isolation = std::chrono::seconds(5);
    /// A longer gap between two ticks means that this process was paused, so
    /// missing messages during the gap are not evidence of a failure.
    core::duration pause_threshold = std::chrono::seconds(1);
    std::size_t indirect_probes = 3;
};

/// A probe for the owner to send.
struct probe_action
{
    enum class probe_kind : std::uint8_t
    {
        ping,
        confirm, ///< A ping with no update but the suspicion.
        ping_request
    };

    probe_kind kind = probe_kind::ping;
    std::string to; ///< Empty for a seed.
    std::string address;
    std::uint64_t probe_number = 0;
    std::string target;         ///< Of a ping_request.
    std::string target_address; ///< Of a ping_request.
};

/// Destination of an ack that this VM forwards for an indirect probe.
struct ack_destination
{
    std::string requester;
    std::string requester_address;
    std::uint64_t probe_number = 0; ///< As numbered by the requester.
};

class failure_detector
{
public:
    failure_detector(
        vm_record self, std::vector<std::string> seeds, detector_timing timing,
        core::random_source& random);

    /// Call at least every 100 ms.
    std::vector<probe_action> tick(core::time_point now);

    /// Handles the ack of `responder`. Returns the destination if the ack is
    /// to be forwarded.
    std::optional<ack_destination>
    on_ack(std::uint64_t probe_number, const std::string& responder);

    /// Probes the target of a ping_request on behalf of the requester.
    std::optional<probe_action> start_relay(
        const std::string& requester, const std::string& requester_address,
        const ping_request& it, core::time_point now);

    /// True if the last tick came after a pause of this process.
    bool was_paused() const
    {
        return paused_;
    }

    /// True if the region has other VMs but none was heard for the isolation
    /// timeout. False if all of them are dead and VMs of other regions are
    /// heard: those would have forwarded a refutation.
    bool is_cut_off_from_region(core::time_point now) const;

    /// True if the region has another VM that isn't dead, even if it is silent.
    bool has_live_region_peer() const;

    member_table& table()
    {
        return table_;
    }

    const member_table& table() const
    {
        return table_;
    }

private:
    struct probe_in_flight
    {
        std::string target;
        core::time_point sent{};
        bool indirect = false;
    };

    struct relay_in_flight
    {
        ack_destination to;
        std::string target;
        core::time_point sent{};
    };

    void detect_pause(core::time_point now);
    void check_probes(core::time_point now, std::vector<probe_action>& out);
    void check_suspects(core::time_point now, std::vector<probe_action>& out);
    void start_probe(core::time_point now, std::vector<probe_action>& out);
    void rejoin(core::time_point now, std::vector<probe_action>& out);
    const member* next_target();

    std::vector<std::string> seeds_;
    detector_timing timing_;
    core::random_source& random_;
    member_table table_;
    std::vector<std::string> probe_order_; // Shuffled in each round.
    std::size_t next_target_index_ = 0;
    std::uint64_t next_probe_number_;
    std::map<std::uint64_t, probe_in_flight>
        pending_probes_; // At most one a period.
    std::map<std::uint64_t, relay_in_flight>
        pending_relays_; // At most max_relays.
    std::optional<core::time_point> last_tick_;
    core::time_point started_{};
    core::time_point next_period_{};
    core::time_point next_rejoin_{};
    bool paused_ = false;
};

} // namespace hyssoploft::membership

#endif
