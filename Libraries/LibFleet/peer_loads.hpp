#ifndef HYSSOPLOFT_LIBFLEET_PEER_LOADS_HPP
#define HYSSOPLOFT_LIBFLEET_PEER_LOADS_HPP

// Load notices between the entry VMs of a region and its load aggregators,
// control VMs of which one sends the sums back. The regular state exchange is
// too slow for this: an engine has processed a prompt before the report of it
// arrives. Does no I/O.

#include <LibCore/time.hpp>
#include <LibFleet/fleet_messages.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hyssoploft::fleet {

/// A datagram between an entry VM and a load aggregator. Notices may be lost or
/// reordered, so each row is sent again after
/// load_notice_builder::repeat_interval.
struct load_notice
{
    std::uint64_t incarnation = 0; ///< Of the sender.
    std::uint64_t sequence = 0;    ///< Increases with each notice.
    std::vector<load_row> rows;    ///< Other upstreams are unchanged.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(incarnation, sequence, rows);
    }
};

/// Builds the notices of one VM from rows that changed since they were last
/// sent and rows that are due for repetition.
class load_notice_builder
{
public:
    explicit load_notice_builder(std::uint64_t incarnation)
        : incarnation_(incarnation)
    {}

    /// Notices to send, each small enough for one datagram; empty if no row is
    /// due. `loads` holds a row for each upstream with calls of this VM.
    std::vector<load_notice>
    next_notices(const std::vector<load_row>& loads, core::time_point now);

    /// Same, and an empty notice if none was sent for keepalive_interval: the
    /// receiver knows that the rows are still right.
    std::vector<load_notice> next_notices_or_keepalive(
        const std::vector<load_row>& loads, core::time_point now);

    /// The rows as last sent.
    std::vector<load_row> sent_rows() const;

    /// Bounds the time for which a lost notice leaves the receiver outdated.
    static constexpr core::duration repeat_interval = std::chrono::seconds(1);

    static constexpr core::duration keepalive_interval =
        std::chrono::milliseconds(150);

    /// Limit on the encoded rows of a notice: a datagram without its framing.
    static constexpr std::size_t max_row_bytes = 900;

private:
    struct sent_row
    {
        load_row row;
        core::time_point sent_at{};
    };

    const std::uint64_t incarnation_;
    std::uint64_t sequence_ = 0;
    core::time_point last_notice_at_{};
    std::map<std::string, sent_row> sent_; // Without rows of zero load.
};

/// Aggregates the notices received from other VMs.
class peer_load_table
{
public:
    void
    apply(const std::string& vm, const load_notice& it, core::time_point now);

    /// Number of VMs with a notice within the last row_lifetime.
    std::size_t live_peer_count(core::time_point now) const;

    /// Sums of the unexpired rows of all VMs, by upstream.
    std::map<std::string, load_row> sums(core::time_point now) const;

    /// The first of `senders` from which a notice arrived within
    /// sums_lifetime; empty: none.
    std::string first_current(
        const std::vector<std::string>& senders, core::time_point now) const;

    /// Unexpired rows of one VM, by upstream.
    std::map<std::string, load_row>
    rows_of(const std::string& vm, core::time_point now) const;

    /// When the newest notice of `vm` arrived; the epoch if none is known.
    core::time_point last_received_at(const std::string& vm) const;

    /// An aggregator that sent nothing for this time is silent, and its sums
    /// are outdated: three keepalives.
    static constexpr core::duration sums_lifetime =
        std::chrono::milliseconds(500);

    /// A row that is not repeated within this time is outdated: its VM has
    /// stopped or is partitioned, or the notice of its last change was lost.
    static constexpr core::duration row_lifetime =
        std::chrono::milliseconds(2500);

private:
    struct received_row
    {
        load_row row;
        std::uint64_t sequence = 0;
        core::time_point received_at{};
    };

    struct peer
    {
        std::uint64_t incarnation = 0;
        core::time_point last_received_at{};
        std::map<std::string, received_row> rows;
    };

    std::map<std::string, peer> peers_;
};

/// Subtracts a VM's own rows from sums that include them. The sums may not yet
/// include its newest changes, so differences are clamped at 0.
void subtract_loads(
    std::map<std::string, load_row>& sums, const std::vector<load_row>& own);

} // namespace hyssoploft::fleet

#endif
