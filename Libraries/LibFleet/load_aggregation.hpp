#ifndef HYSSOPLOFT_LIBFLEET_LOAD_AGGREGATION_HPP
#define HYSSOPLOFT_LIBFLEET_LOAD_AGGREGATION_HPP

// Decides which control VM sends the sums of a region's loads. Entry VMs report
// to every control VM of their region, so that another one can take over at
// once when the first falls silent. One that was paused or has just started
// sends nothing until every VM has reported again: with sums that are too low,
// all VMs place their calls at the same few upstreams. Does no I/O.

#include <LibCore/time.hpp>
#include <LibMembership/fleet_view.hpp>

#include <map>
#include <string>
#include <vector>

namespace hyssoploft::fleet {

/// Living control VMs of a region, in the order in which they are preferred as
/// aggregators. The same on each VM with the same view.
std::vector<std::string> load_aggregators(
    const membership::fleet_view& fleet, const std::string& region);

/// State of one control VM.
class load_aggregation
{
public:
    load_aggregation(std::string self, core::time_point now);

    /// Call several times a second. A longer gap is a pause of the process, in
    /// which reports were lost.
    void tick(core::time_point now);

    /// Another control VM sent a message.
    void record_contact(const std::string& vm, core::time_point now);

    /// Whether all VMs have reported since the start or the last pause.
    bool is_complete(core::time_point now) const;

    /// Whether this VM sends the sums: it is complete, and those preferred to
    /// it are silent or not complete yet.
    bool sends_sums(
        const membership::fleet_view& fleet, const std::string& region,
        core::time_point now) const;

    /// Control VMs exchange several messages a second.
    static constexpr core::duration silence_timeout =
        std::chrono::milliseconds(700);
    /// Longer than load_notice_builder::repeat_interval, and than an exchange
    /// of state with one repetition.
    static constexpr core::duration collection_time =
        std::chrono::milliseconds(1500);
    static constexpr core::duration pause_threshold = std::chrono::seconds(1);

private:
    struct contact
    {
        core::time_point since{}; // Without a silence.
        core::time_point last{};
    };

    const std::string self_;
    core::time_point last_tick_;
    core::time_point collecting_since_;
    std::map<std::string, contact> contacts_; // By control VM.
};

} // namespace hyssoploft::fleet

#endif
