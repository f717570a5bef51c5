#ifndef HYSSOPLOFT_LIBFLEET_PEER_LOADS_HPP
#define HYSSOPLOFT_LIBFLEET_PEER_LOADS_HPP

// Loads that the VMs of a region tell one control VM there, the hub, and the
// sums that it tells them. The exchange of state is slower than an engine reads
// the prompts of which it tells. Pure.

#include <LibCore/time.hpp>
#include <LibFleet/fleet_messages.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hyssoploft::fleet {

/// A datagram between an entry VM and its region's hub. Notices may be lost
/// or overtake each other; each row is repeated after a second.
struct load_notice
{
    std::uint64_t incarnation = 0; ///< Of the sender.
    std::uint64_t sequence = 0;    ///< Increases with each notice.
    std::vector<load_row> rows;    ///< Upstreams not named are as before.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(incarnation, sequence, rows);
    }
};

/// What a VM has to tell: rows that changed, and rows told too long ago.
class load_announcer
{
public:
    explicit load_announcer(std::uint64_t incarnation)
        : incarnation_(incarnation)
    {}

    /// Notices that fit into a datagram each; empty if there is nothing to
    /// tell. `loads` holds this VM's calls at each upstream that has some.
    std::vector<load_notice>
    next(const std::vector<load_row>& loads, core::time_point now);

    /// The rows that were told last.
    std::vector<load_row> told() const;

    /// Lost notices are made good after this time.
    static constexpr core::duration repeat_interval = std::chrono::seconds(1);

    /// Bytes of rows in a notice: a datagram without its frame.
    static constexpr std::size_t max_row_bytes = 900;

private:
    struct told_row
    {
        load_row row;
        core::time_point at{};
    };

    const std::uint64_t incarnation_;
    std::uint64_t sequence_ = 0;
    std::map<std::string, told_row> told_; // Rows of 0 are left out.
};

/// What a VM heard from the others.
class peer_loads
{
public:
    void
    hear(const std::string& vm, const load_notice& it, core::time_point now);

    /// VMs that were heard lately.
    std::size_t heard(core::time_point now) const;

    /// Sums over the VMs that were heard lately, by upstream.
    std::map<std::string, load_row> sums(core::time_point now) const;

    /// A row that is not repeated for this long is not true any more: its VM
    /// has ended, is cut off, or the notice of its last change was lost.
    static constexpr core::duration row_life = std::chrono::milliseconds(2500);

private:
    struct heard_load
    {
        load_row row;
        std::uint64_t sequence = 0;
        core::time_point at{};
    };

    struct peer
    {
        std::uint64_t incarnation = 0;
        core::time_point at{};
        std::map<std::string, heard_load> rows;
    };

    std::map<std::string, peer> peers_;
};

/// Takes a VM's own rows from sums that contain them. Its newest changes may
/// be missing there, so that nothing falls below 0.
void subtract_loads(
    std::map<std::string, load_row>& sums, const std::vector<load_row>& own);

} // namespace hyssoploft::fleet

#endif
